"""Moving measures of delay and of arrivals."""

import math

SMOOTHING = 0.1
RATE_WINDOW_S = 1.0
MINIMUM_WINDOW_S = 10.0


class Average:
    """Exponentially weighted mean.

    Args:
        first: Value until the first sample.
    """

    def __init__(self, first: float) -> None:
        self.value = first
        self._sampled = False

    def record(self, sample: float) -> None:
        """Takes in a sample."""
        if not self._sampled:
            self._sampled = True
            self.value = sample
            return
        self.value += SMOOTHING * (sample - self.value)


class Rate:
    """Events a second, over about the last `RATE_WINDOW_S` seconds."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at = 0.0

    def record(self, now: float) -> None:
        """Takes in one event."""
        self._count = self._decayed(now) + 1
        self._at = now

    def per_s(self, now: float) -> float:
        """Returns events a second."""
        return self._decayed(now) / RATE_WINDOW_S

    def _decayed(self, now: float) -> float:
        return self._count * math.exp(-(now - self._at) / RATE_WINDOW_S)


class WindowedMinimum:
    """Smallest sample of the last one to two windows of `MINIMUM_WINDOW_S` seconds."""

    def __init__(self) -> None:
        self._former = math.inf
        self._current = math.inf
        self._began = 0.0

    def record(self, sample: float, *, now: float) -> float:
        """Takes in a sample and returns the smallest one."""
        if now - self._began >= MINIMUM_WINDOW_S:
            self._former, self._current = self._current, math.inf
            self._began = now
        self._current = min(self._current, sample)
        return min(self._former, self._current)
