"""Adaptive limit on the statements that one proxy runs on an instance at once."""

from heatherpier.limits._meters import Average, WindowedMinimum
from heatherpier.requests import Priority

INITIAL_DELAY_S = 0.01
# Mean ratio of the delay to the unloaded delay above which statements are taken to
# queue on the instance.
CONGESTION_RATIO = 2.0
DECREASE_FACTOR = 0.8
DECREASE_PERIOD_S = 0.1


class ConcurrencyLimit:
    """Concurrency limit with additive increase and multiplicative decrease.

    The limit falls while the instance's delay is well above the recent minimum of the
    same priority class, and rises slowly otherwise. Classes are not compared with each
    other, because they run different statements.

    Args:
        maximum: Initial and maximum limit, at least 1.

    Attributes:
        delay: Moving average of the delays of all classes, in seconds.
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
        """Number of statements that may now run at once, at least 1."""
        return int(self._limit)

    def record(self, delay_s: float, *, priority: Priority, now: float) -> None:
        """Records that a statement took ``delay_s`` seconds, and adapts the limit."""
        self.delay.record(delay_s)
        minimum = self._minimum[priority].record(delay_s, now=now)
        self._slowdown.record(delay_s / minimum if minimum > 0 else 1.0)
        if self._slowdown.value <= CONGESTION_RATIO:
            self._limit = min(self._limit + 1 / self._limit, float(self._maximum))
            return
        if now - self._decreased_at >= DECREASE_PERIOD_S:
            self._decreased_at = now
            self._limit = max(self._limit * DECREASE_FACTOR, 1.0)
