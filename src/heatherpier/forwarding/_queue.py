"""Bounds how many requests wait for a connection at a home."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

MAX_WAITING_PER_SENDER = 64
MAX_WAITING = 256


class WaitingRequests:
    """Counts the requests of each sender that wait for a connection."""

    def __init__(self) -> None:
        self._by_sender: Counter[str] = Counter()
        self._total = 0

    @property
    def total(self) -> int:
        """Number of waiting requests."""
        return self._total

    def has_room(self, sender: str) -> bool:
        """Returns whether one more request of a sender may wait."""
        return (
            self._total < MAX_WAITING
            and self._by_sender[sender] < MAX_WAITING_PER_SENDER
        )

    @contextmanager
    def enter(self, sender: str) -> Iterator[None]:
        """Counts a request of a sender as waiting for the duration of the context."""
        self._by_sender[sender] += 1
        self._total += 1
        try:
            yield
        finally:
            self._by_sender[sender] -= 1
            self._total -= 1
            if not self._by_sender[sender]:
                del self._by_sender[sender]
