"""Moving averages and minima of delays, and arrival rates."""

import math

SMOOTHING = 0.1
RATE_WINDOW_S = 1.0
MINIMUM_WINDOW_S = 10.0


class Average:
    """Exponentially weighted moving average.

    Args:
        initial: Value until the first sample, which replaces it.

    Attributes:
        value: The current average.
    """

    def __init__(self, initial: float) -> None:
        self.value = initial
        self._sampled = False

    def record(self, sample: float) -> None:
        """Updates the average with a sample."""
        if not self._sampled:
            self._sampled = True
            self.value = sample
            return
        self.value += SMOOTHING * (sample - self.value)


class Rate:
    """Rate of events that decays exponentially over `RATE_WINDOW_S` seconds."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at = 0.0

    def record(self, now: float, amount: float = 1.0) -> None:
        """Records one event, or another amount, at ``now``, a monotonic time in s."""
        self._count = self._decayed(now) + amount
        self._at = now

    def per_s(self, now: float) -> float:
        """Returns the rate at ``now``, in events per second."""
        return self._decayed(now) / RATE_WINDOW_S

    def _decayed(self, now: float) -> float:
        return self._count * math.exp(-(now - self._at) / RATE_WINDOW_S)


class WindowedMinimum:
    """Minimum over the current and previous windows of `MINIMUM_WINDOW_S` seconds."""

    def __init__(self) -> None:
        self._previous = math.inf
        self._current = math.inf
        self._began = 0.0

    def record(self, sample: float, *, now: float) -> float:
        """Records a sample and returns the minimum of both windows."""
        if now - self._began >= MINIMUM_WINDOW_S:
            self._previous, self._current = self._current, math.inf
            self._began = now
        self._current = min(self._current, sample)
        return min(self._previous, self._current)
