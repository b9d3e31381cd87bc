"""How many tries may follow first ones."""

RETRY_SHARE = 0.2
MOST_RETRIES = 20.0


class RetryBudget:
    """Allows retries as a share of first tries, so that an outage can't multiply work.

    Args:
        share: Retries that each first try adds.
        most: Retries that can be saved up; the budget begins with as many.
    """

    def __init__(
        self, *, share: float = RETRY_SHARE, most: float = MOST_RETRIES
    ) -> None:
        self._share = share
        self._most = most
        self._left = most

    def record_first_try(self) -> None:
        """Takes in a first try."""
        self._left = min(self._left + self._share, self._most)

    def take(self) -> bool:
        """Takes one retry out and tells whether there was one."""
        if self._left < 1:
            return False
        self._left -= 1
        return True
