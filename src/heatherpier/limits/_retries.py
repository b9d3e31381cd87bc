"""Limit on retries in proportion to first attempts."""

RETRY_RATIO = 0.2
MAX_RETRIES = 20.0


class RetryBudget:
    """Allows retries in proportion to first attempts.

    An outage thus can't multiply the load.

    Args:
        ratio: Number of retries that each first attempt adds.
        maximum: Maximum number of retries that can accumulate, and the initial number.
    """

    def __init__(
        self, *, ratio: float = RETRY_RATIO, maximum: float = MAX_RETRIES
    ) -> None:
        self._ratio = ratio
        self._maximum = maximum
        self._available = maximum

    def record_first_attempt(self) -> None:
        """Records a first attempt, which adds to the budget."""
        self._available = min(self._available + self._ratio, self._maximum)

    def try_acquire(self) -> bool:
        """Takes one retry from the budget; returns False if there is none."""
        if self._available < 1:
            return False
        self._available -= 1
        return True
