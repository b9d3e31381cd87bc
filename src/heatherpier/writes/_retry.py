"""Jittered delays between attempts."""

from random import Random

FIRST_DELAY_S = 0.02
LARGEST_DELAY_S = 0.25


class Backoff:
    """Gives delays that double, each shortened by up to half at random.

    Args:
        rng: Random source.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._delay_s = FIRST_DELAY_S

    def next_s(self) -> float:
        """Returns the next delay in seconds."""
        delay_s = self._delay_s * (1 - self._rng.random() / 2)
        self._delay_s = min(self._delay_s * 2, LARGEST_DELAY_S)
        return delay_s
