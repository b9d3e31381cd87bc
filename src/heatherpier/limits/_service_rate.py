"""Measured rate at which a queue is served."""

import math

# Time over which the rate is measured. It spans several uses of the slowest class
# (55 ms), and follows a pause of the instance within a second.
RATE_WINDOW_S = 1.0
# The expected rate counts like a measurement over this time. Until more was measured
# it decides, and a queue that stands still keeps 1/21 of its expected rate. With 0.2 s,
# a queue that was served at a quarter of what was expected promised half of its wait.
PRIOR_S = 0.05


class ServiceRate:
    """Cost served per second while the queue has entries.

    Costs are seconds for which a connection is held, so the rate is the number of
    connections that the queue is served by. It is measured lower if opening
    connections, pauses or failures of the instance take part of their time.

    Attributes:
        expected: Rate that is assumed before one is measured.
    """

    def __init__(self, expected: float) -> None:
        self.expected = expected
        self._served = 0.0
        self._busy_s = 0.0
        self._at: float | None = None

    def begin(self, now: float) -> None:
        """Records that the queue has entries from ``now`` on."""
        self._at = now

    def end(self, now: float) -> None:
        """Records that the queue is empty from ``now`` on."""
        self._advance(now)
        self._at = None

    def note_served(self, cost_s: float, now: float) -> None:
        """Records that an entry was served."""
        self._advance(now)
        self._served += cost_s

    def value(self, now: float) -> float:
        """Returns the rate, in seconds of use per second."""
        self._advance(now)
        served = self._served + self.expected * PRIOR_S
        return served / (self._busy_s + PRIOR_S)

    def _advance(self, now: float) -> None:
        if self._at is None or now <= self._at:
            return
        elapsed_s = now - self._at
        decay = math.exp(-elapsed_s / RATE_WINDOW_S)
        self._served *= decay
        self._busy_s = self._busy_s * decay + RATE_WINDOW_S * (1 - decay)
        self._at = now
