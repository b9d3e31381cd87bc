"""In-flight work on primaries, which ends before a lease is released."""

import asyncio
from collections.abc import Callable

from heatherpier.timers import Timers


class InFlightWork:
    """Keeps track of the in-flight work on the primary of each service.

    Args:
        timers: Timer service.
    """

    def __init__(self, *, timers: Timers) -> None:
        self._timers = timers
        self._aborts: dict[str, set[Callable[[], None]]] = {}
        self._drained: dict[str, asyncio.Event] = {}

    def begin(self, service: str, abort: Callable[[], None]) -> None:
        """Records the start of one piece of work.

        Args:
            service: Name of the service.
            abort: Ends the work at once. It also identifies the work in `end`.
        """
        self._aborts.setdefault(service, set()).add(abort)

    def end(self, service: str, abort: Callable[[], None]) -> None:
        """Records the end of one piece of work that `begin` recorded."""
        aborts = self._aborts.get(service, set())
        aborts.discard(abort)
        if not aborts:
            event = self._drained.pop(service, None)
            if event is not None:
                event.set()

    def count(self, service: str) -> int:
        """Returns how many pieces of work are in flight on a service's primary."""
        return len(self._aborts.get(service, ()))

    async def drain(self, service: str, *, limit_s: float) -> int:
        """Waits until no work is in flight, and aborts what is left at the limit.

        Args:
            service: Name of the service.
            limit_s: Maximum wait in seconds.

        Returns:
            How many pieces of work were aborted.
        """
        if self.count(service):
            event = self._drained.setdefault(service, asyncio.Event())
            try:
                async with self._timers.timeout(limit_s):
                    await event.wait()
            except TimeoutError:
                return self._abort_all(service)
        return 0

    def _abort_all(self, service: str) -> int:
        remaining = list(self._aborts.get(service, ()))
        for abort in remaining:
            abort()
        return len(remaining)
