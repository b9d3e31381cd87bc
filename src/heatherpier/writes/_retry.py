"""Jittered delays between attempts."""

from heatherpier.writes._keys import RandomBits

FIRST_DELAY_S = 0.02
LARGEST_DELAY_S = 0.25
JITTER_BITS = 16


class Backoff:
    """Gives delays that double, each shortened by up to half at random.

    Args:
        rng: Random source.
    """

    def __init__(self, rng: RandomBits) -> None:
        self._rng = rng
        self._delay_s = FIRST_DELAY_S

    def next_s(self) -> float:
        """Returns the next delay in seconds."""
        jitter: float = self._rng.getrandbits(JITTER_BITS) / 2**JITTER_BITS
        delay_s = self._delay_s * (1 - jitter / 2)
        self._delay_s = min(self._delay_s * 2, LARGEST_DELAY_S)
        return delay_s
