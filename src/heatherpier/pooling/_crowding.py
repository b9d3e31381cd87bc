"""Recognises that instances have too few connections for all proxies."""

from collections.abc import Callable

from heatherpier.timers import Timers

# Time after the last rejection for which instances count as crowded.
CROWDED_S = 1.5


class Crowding:
    """Notes rejections of connections to instances that this proxy has none to.

    After all proxies have started at once, instances still count the connections of
    the ended processes for some seconds. Too few are left then for each proxy to keep
    one to each primary, but enough if each closes its own after use.

    Args:
        timers: Timer service.
        on_begin: Called when instances begin to be crowded.
    """

    def __init__(self, *, timers: Timers, on_begin: Callable[[], None]) -> None:
        self._timers = timers
        self._on_begin = on_begin
        self._until = float("-inf")

    @property
    def active(self) -> bool:
        """Whether an instance rejected this proxy's only connection recently."""
        return self._timers.now() < self._until

    def note_rejected(self) -> None:
        """Records that an instance rejected the only connection to it."""
        was_active = self.active
        self._until = self._timers.now() + CROWDED_S
        if not was_active:
            self._on_begin()
