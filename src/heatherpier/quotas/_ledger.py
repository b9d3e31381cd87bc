"""The rights that a proxy holds, with their expiry."""

import heapq
from collections.abc import Iterator

from heatherpier.quotas._buckets import EPSILON


class Ledger:
    """Rights of all organisations that a proxy may still spend.

    Attributes:
        expired: Number of rights that expired unspent.
    """

    def __init__(self) -> None:
        # Expiry and amount of what is held, by organisation; the earliest first.
        self._lots: dict[str, list[tuple[float, float]]] = {}
        self.expired = 0.0

    def add(
        self, organisation: str, amount: float, *, expires_at: float, now: float
    ) -> None:
        """Adds rights, unless they have expired.

        Args:
            organisation: Name of the organisation.
            amount: Number of rights.
            expires_at: Time in seconds from which they are invalid.
            now: Time in seconds.
        """
        if amount <= 0:
            return
        if expires_at <= now:
            self.expired += amount
            return
        heapq.heappush(self._lots.setdefault(organisation, []), (expires_at, amount))

    def held(self, organisation: str, now: float) -> float:
        """Returns how many rights of an organisation can be spent."""
        self._expire(organisation, now)
        return sum(amount for _, amount in self._lots.get(organisation, ()))

    def take(self, organisation: str, now: float) -> float | None:
        """Takes one right, of those that expire first.

        Returns:
            Time in seconds until which it is valid, or None if less than one is held.
        """
        if self.held(organisation, now) < 1 - EPSILON:
            return None
        return min(self._take_parts(self._lots[organisation]))

    def _take_parts(self, lots: list[tuple[float, float]]) -> Iterator[float]:
        missing = 1.0
        while missing > EPSILON and lots:
            expires_at, amount = heapq.heappop(lots)
            used = min(amount, missing)
            missing -= used
            if amount - used > EPSILON:
                heapq.heappush(lots, (expires_at, amount - used))
            yield expires_at

    def expire_all(self, now: float) -> None:
        """Removes all rights that have expired."""
        for organisation in list(self._lots):
            self._expire(organisation, now)

    def _expire(self, organisation: str, now: float) -> None:
        lots = self._lots.get(organisation)
        if lots is None:
            return
        while lots and lots[0][0] <= now:
            self.expired += heapq.heappop(lots)[1]
        if not lots:
            del self._lots[organisation]
