"""Limits reads on a busy primary, so that writes find capacity there."""

from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("serving")
# Lower bound of the rate in reads per second, for one proxy and one primary.
MIN_READS_PER_S = 1.0
# Rate in reads per second at which the limiter admits every read. It is higher than any
# rate that one proxy sends to one primary.
MAX_READS_PER_S = 200.0
# Factor by which a rejection lowers the rate.
DECREASE_FACTOR = 0.7
# Rejections within this time are caused by the same full queue and lower the rate once.
DECREASE_PERIOD_S = 0.1
# Reads per second that each served read adds to the rate.
INCREASE_PER_READ = 0.5
# Number of reads that may be sent at once.
BURST_READS = 3.0


class ReadRateLimiter:
    """Token bucket for reads on a primary, with an adaptive rate.

    The rate follows additive increase, multiplicative decrease (AIMD): each served
    read raises it, and rejections by the primary lower it.

    Args:
        timers: Timer service.
    """

    def __init__(self, *, timers: Timers) -> None:
        self._timers = timers
        self._rate = MAX_READS_PER_S
        self._tokens = BURST_READS
        self._refilled_at = timers.now()
        self._decreased_at = float("-inf")

    @property
    def rate(self) -> float:
        """Current limit in reads per second."""
        return self._rate

    def try_acquire(self) -> bool:
        """Takes a token; returns whether a read may be sent to the primary."""
        if self._rate >= MAX_READS_PER_S:
            return True
        now = self._timers.now()
        tokens = self._tokens + (now - self._refilled_at) * self._rate
        self._tokens = min(tokens, BURST_READS)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def note_rejected(self) -> None:
        """Records that the primary rejected a statement as busy."""
        now = self._timers.now()
        if now - self._decreased_at < DECREASE_PERIOD_S:
            return
        self._decreased_at = now
        if self._rate >= MAX_READS_PER_S:
            log.info("limiting reads on busy primary")
        self._rate = max(self._rate * DECREASE_FACTOR, MIN_READS_PER_S)

    def note_served(self) -> None:
        """Records that the primary served a read."""
        self._rate = min(self._rate + INCREASE_PER_READ, MAX_READS_PER_S)
