"""Keeps the registry of instances in step with the store's table of them."""

from collections.abc import Callable

from heatherpier._engine_ports import UnreadableRowError
from heatherpier.discovery import InstanceRecord, InstanceRegistry
from heatherpier.tables import Row, TableCopy
from heatherpier.timers import Timers

EXPIRY_PERIOD_S = 0.25


class InstanceList:
    """Applies rows of the instances' table to the registry.

    Args:
        copy: Copy of the instances' table.
        registry: The registered instances.
        read: Decodes an instance from its name and the body of its row; raises
            UnreadableRowError.
        max_age_s: Age of the copy in seconds from which it does not show whether an
            entry that it lacks was removed.
        timers: Timer service.
    """

    def __init__(
        self,
        copy: TableCopy,
        *,
        registry: InstanceRegistry,
        read: Callable[[str, bytes], InstanceRecord],
        max_age_s: float,
        timers: Timers,
    ) -> None:
        self._copy = copy
        self._registry = registry
        self._read = read
        self._max_age_s = max_age_s
        self._timers = timers
        self._current_since = timers.elapsed()
        copy.subscribe(self._apply)
        copy.subscribe_to_epochs(self._restart)

    def current_s(self) -> float:
        """Returns for how many seconds the list has been up to date."""
        if self._copy.age_s() >= self._max_age_s:
            return 0.0
        return self._timers.elapsed() - self._current_since

    async def expire(self) -> None:
        """Drops instances whose entries stay missing, until cancelled."""
        async for _ in self._timers.every(EXPIRY_PERIOD_S):
            if self._copy.age_s() >= self._max_age_s:
                self._current_since = self._timers.elapsed()
                continue
            self._registry.expire()

    def _apply(self, row: Row) -> None:
        if row.body is None:
            self._registry.remove(row.key, reason="entry removed")
            return
        try:
            record = self._read(row.key, row.body)
        except UnreadableRowError as exc:
            self._registry.remove(row.key, reason=str(exc))
            return
        self._registry.put(record)

    def _restart(self) -> None:
        """Counts the list as out of date from a restore of the store on.

        Entries that the restore discarded are missing until the instances write again.
        """
        self._current_since = self._timers.elapsed()
