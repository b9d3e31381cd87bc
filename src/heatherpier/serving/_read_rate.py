"""Keeps reads away from a primary that has no room for what only it can serve."""

from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("serving")
# Reads a second that one proxy may send to a primary which rejects work.
MIN_RATE = 1.0
# More than one proxy ever sends to one primary; reached, nothing is shed.
MAX_RATE = 200.0
DECREASE = 0.7
# Rejected work within this time tells of one and the same full queue.
DECREASE_PERIOD_S = 0.1
# A read that was served adds this part of a second's read to the rate.
INCREASE = 0.5
# Reads that may come at once.
BURST = 3.0


class ReadRateLimiter:
    """Rate of reads at a primary: additive increase, multiplicative decrease.

    Args:
        timers: Timer service.
    """

    def __init__(self, *, timers: Timers) -> None:
        self._timers = timers
        self._rate = MAX_RATE
        self._tokens = BURST
        self._filled_at = timers.now()
        self._decreased_at = float("-inf")

    @property
    def rate(self) -> float:
        """Reads a second that are let through."""
        return self._rate

    def try_acquire(self) -> bool:
        """Tells whether one more read may go to the primary."""
        if self._rate >= MAX_RATE:
            return True
        now = self._timers.now()
        filled = self._tokens + (now - self._filled_at) * self._rate
        self._tokens = min(filled, BURST)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def note_rejected(self) -> None:
        """Takes in that the primary had no room."""
        now = self._timers.now()
        if now - self._decreased_at < DECREASE_PERIOD_S:
            return
        self._decreased_at = now
        if self._rate >= MAX_RATE:
            log.info("reads are kept away from a busy primary")
        self._rate = max(self._rate * DECREASE, MIN_RATE)

    def note_served(self) -> None:
        """Takes in that the primary served a read."""
        self._rate = min(self._rate + INCREASE, MAX_RATE)
