"""How many statements one proxy runs on an instance at once."""

from heatherpier.limits._meters import Average, WindowedMinimum
from heatherpier.requests import Priority

INITIAL_DELAY_S = 0.01
# Delay over this multiple of the unloaded one means that work queues there.
CONGESTION_RATIO = 2.0
DECREASE = 0.8
DECREASE_PERIOD_S = 0.1


class ConcurrencyLimit:
    """Limit that falls when an instance's delay grows, and rises slowly again.

    Delays are compared within a priority class, because classes run different
    statements.

    Args:
        maximum: Highest limit, at least 1.
    """

    def __init__(self, *, maximum: int) -> None:
        self._maximum = maximum
        self._limit = float(maximum)
        self._minimum = {priority: WindowedMinimum() for priority in Priority}
        self._slowdown = Average(1.0)
        self._decreased_at = 0.0
        self.delay = Average(INITIAL_DELAY_S)

    @property
    def limit(self) -> int:
        """Statements that may run at once now, at least 1."""
        return int(self._limit)

    def record(self, delay_s: float, *, priority: Priority, now: float) -> None:
        """Takes in how long a statement took, in seconds."""
        self.delay.record(delay_s)
        minimum = self._minimum[priority].record(delay_s, now=now)
        self._slowdown.record(delay_s / minimum if minimum > 0 else 1.0)
        if self._slowdown.value <= CONGESTION_RATIO:
            self._limit = min(self._limit + 1 / self._limit, float(self._maximum))
            return
        if now - self._decreased_at >= DECREASE_PERIOD_S:
            self._decreased_at = now
            self._limit = max(self._limit * DECREASE, 1.0)
