"""Delays between attempts, with jitter so that callers do not retry all at once."""

from typing import Protocol

INITIAL_DELAY_S = 0.02
MAX_DELAY_S = 0.25


class RandomSource(Protocol):
    """The part of `random.Random` that `Backoff` needs."""

    def random(self) -> float:
        """Returns a random number of at least 0 and less than 1."""


class Backoff:
    """Exponential delays with jitter.

    Args:
        rng: Source of the jitter.
        initial_s: Maximum delay after the first attempt, in seconds.
        max_s: Maximum delay after any attempt, in seconds.
    """

    def __init__(
        self,
        *,
        rng: RandomSource,
        initial_s: float = INITIAL_DELAY_S,
        max_s: float = MAX_DELAY_S,
    ) -> None:
        self._rng = rng
        self._initial_s = initial_s
        self._max_s = max_s

    def delay_s(self, attempts: int) -> float:
        """Returns the delay in seconds after ``attempts`` attempts, at least 1."""
        ceiling = min(self._initial_s * 2.0 ** (attempts - 1), self._max_s)
        return ceiling * (1 + self._rng.random()) / 2
