"""Interface of the source of random numbers."""

from typing import Protocol


class RandomSource(Protocol):
    """Methods of `random.Random` that this package uses."""

    def random(self) -> float:
        """Returns a number from 0 to 1, excluding 1."""

    def getrandbits(self, k: int, /) -> int:
        """Returns ``k`` random bits as an integer."""
