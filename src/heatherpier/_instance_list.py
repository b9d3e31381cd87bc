"""Keeps the registry of instances in step with the store's table of them."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Gauge

from heatherpier._engine_ports import UnreadableRowError
from heatherpier.discovery import InstanceRecord, InstanceRegistry
from heatherpier.tables import Row, TableCopy
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("discovery")
EXPIRY_PERIOD_S = 0.25
# Time after a restore of the store in which live instances have written their entries
# anew. Until then an entry may be one of the backup.
REWRITE_S = 5.0
MAX_LOGGED_CHARS = 300


class InstanceList:
    """Applies rows of the instances' table to the registry.

    Args:
        copy: Copy of the instances' table.
        registry: The registered instances.
        read: Decodes an instance from its name and the body of its row; raises
            UnreadableRowError.
        max_age_s: Age of the copy in seconds from which it does not show whether an
            entry that it lacks was removed.
        metrics: Registry for the metrics of the list.
        timers: Timer service.
    """

    def __init__(
        self,
        copy: TableCopy,
        *,
        registry: InstanceRegistry,
        read: Callable[[str, bytes], InstanceRecord],
        max_age_s: float,
        metrics: CollectorRegistry,
        timers: Timers,
    ) -> None:
        self._copy = copy
        self._registry = registry
        self._read = read
        self._max_age_s = max_age_s
        self._timers = timers
        self._current_since = timers.elapsed()
        # Names of the entries that can't be read at present.
        self._unreadable: set[str] = set()
        self._unreadable_count = Gauge(
            "heatherpier_unreadable_instances",
            "Entries of instances that can't be read at present.",
            registry=metrics,
        )
        copy.subscribe(self._apply)
        copy.subscribe_to_epochs(self._restart)

    def current_s(self) -> float:
        """Returns for how many seconds the list has been up to date."""
        if self._copy.age_s() >= self._max_age_s:
            return 0.0
        return self._timers.elapsed() - self._current_since

    async def expire(self) -> None:
        """Drops instances whose entries stay missing, until cancelled.

        Its period also shows how late this process runs.
        """
        due = self._timers.elapsed()
        async for _ in self._timers.every(EXPIRY_PERIOD_S):
            now = self._timers.elapsed()
            self._registry.note_delay(now - due)
            due = now + EXPIRY_PERIOD_S
            if self._copy.age_s() >= self._max_age_s:
                self._current_since = self._timers.elapsed()
                continue
            self._registry.expire()

    def _apply(self, row: Row) -> None:
        if row.body is None:
            self._note_readable(row.key)
            self._registry.remove(row.key, reason="entry removed")
            return
        try:
            record = self._read(row.key, row.body)
        except UnreadableRowError as exc:
            self._leave_out(row, str(exc))
            return
        except Exception as exc:
            # Whatever one entry contains, the others of the same read are applied.
            self._leave_out(row, f"unexpected {type(exc).__name__}: {exc}")
            return
        self._note_readable(row.key)
        since_restore_s = self._timers.elapsed() - self._copy.epoch_since
        self._registry.put(
            record,
            may_be_old=since_restore_s < REWRITE_S,
            list_age_s=self._copy.age_s(),
        )

    def _leave_out(self, row: Row, reason: str) -> None:
        """Treats an entry that can't be read like a missing one.

        What its instance has said before holds for as long as that of a missing entry.
        """
        if row.key not in self._unreadable:
            self._unreadable.add(row.key)
            self._unreadable_count.set(len(self._unreadable))
            log.warning(
                "instance entry can't be read",
                instance=row.key[:MAX_LOGGED_CHARS],
                version=row.version,
                reason=reason[:MAX_LOGGED_CHARS],
            )
        self._registry.remove(row.key, reason="entry can't be read")

    def _note_readable(self, name: str) -> None:
        if name in self._unreadable:
            self._unreadable.discard(name)
            self._unreadable_count.set(len(self._unreadable))

    def _restart(self) -> None:
        """Counts the list as out of date from a restore of the store on.

        Entries that the restore discarded are missing until the instances write again.
        """
        self._current_since = self._timers.elapsed()
