"""What this package needs of a source of random numbers."""

from typing import Protocol


class RandomSource(Protocol):
    """The part of `random.Random` that is used here."""

    def random(self) -> float:
        """Returns a number from 0 up to 1."""

    def getrandbits(self, k: int, /) -> int:
        """Returns ``k`` random bits as an integer."""
