"""Work that is under way on primaries, so that a lease is released after it."""

import asyncio
from collections.abc import Callable

from heatherpier.timers import Timers


class InFlightWork:
    """Counts the work on each service's primary.

    Args:
        timers: Timer service.
    """

    def __init__(self, *, timers: Timers) -> None:
        self._timers = timers
        self._users: dict[str, set[Callable[[], None]]] = {}
        self._emptied: dict[str, asyncio.Event] = {}

    def begin(self, service: str, abort: Callable[[], None]) -> None:
        """Takes in that work begins.

        Args:
            service: The service.
            abort: Ends the work at once; also its identity for `end`.
        """
        self._users.setdefault(service, set()).add(abort)

    def end(self, service: str, abort: Callable[[], None]) -> None:
        """Takes in that work has ended."""
        users = self._users.get(service, set())
        users.discard(abort)
        if not users:
            event = self._emptied.pop(service, None)
            if event is not None:
                event.set()

    def count(self, service: str) -> int:
        """Returns how much work is under way."""
        return len(self._users.get(service, ()))

    async def drain(self, service: str, *, limit_s: float) -> int:
        """Waits until no work is under way; aborts what is left then.

        Args:
            service: The service.
            limit_s: Longest wait in seconds.

        Returns:
            Count of aborted works.
        """
        if self.count(service):
            event = self._emptied.setdefault(service, asyncio.Event())
            try:
                async with self._timers.timeout(limit_s):
                    await event.wait()
            except TimeoutError:
                return self._abort_all(service)
        return 0

    def _abort_all(self, service: str) -> int:
        left = list(self._users.get(service, ()))
        for abort in left:
            abort()
        return len(left)
