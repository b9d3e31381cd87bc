"""How many tries may follow first ones."""

RETRY_SHARE = 0.2
MAX_RETRIES = 20.0


class RetryBudget:
    """Allows retries as a share of first tries, so that an outage can't multiply work.

    Args:
        share: Retries that each first try adds.
        maximum: Retries that can be saved up; the budget begins with as many.
    """

    def __init__(
        self, *, share: float = RETRY_SHARE, maximum: float = MAX_RETRIES
    ) -> None:
        self._share = share
        self._maximum = maximum
        self._left = maximum

    def record_first_try(self) -> None:
        """Takes in a first try."""
        self._left = min(self._left + self._share, self._maximum)

    def take(self) -> bool:
        """Takes one retry out and tells whether there was one."""
        if self._left < 1:
            return False
        self._left -= 1
        return True
