"""Delays between attempts, spread so that callers do not come back together."""

from typing import Protocol

INITIAL_DELAY_S = 0.02
MAX_DELAY_S = 0.25


class RandomSource(Protocol):
    """The part of `random.Random` that delays need."""

    def random(self) -> float:
        """Returns a number from 0 up to, but without, 1."""


class Backoff:
    """Exponential delays with jitter.

    Args:
        rng: Source of the jitter.
        first_s: Longest delay before the second try, in seconds.
        longest_s: Longest delay of all, in seconds.
    """

    def __init__(
        self,
        *,
        rng: RandomSource,
        first_s: float = INITIAL_DELAY_S,
        longest_s: float = MAX_DELAY_S,
    ) -> None:
        self._rng = rng
        self._first_s = first_s
        self._longest_s = longest_s

    def delay_s(self, attempts: int) -> float:
        """Returns the delay in seconds after ``attempts`` attempts, at least one."""
        ceiling = min(self._first_s * 2.0 ** (attempts - 1), self._longest_s)
        return ceiling * (1 + self._rng.random()) / 2
