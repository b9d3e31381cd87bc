"""A copy of one table of the coordination store, and its age."""

from collections.abc import Callable

from heatherpier.tables._epochs import epoch_of
from heatherpier.tables._interface import Changes, Row
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("feeds")
# Maximum number of deleted rows that are kept; beyond it the oldest is discarded. A
# peer that asks for changes from before a discarded one gets all rows instead.
MAX_DELETED = 256

RowListener = Callable[[Row], None]
EpochListener = Callable[[], None]
ReadListener = Callable[[float], None]


class TableCopy:
    """Rows of a table as they were at a known time.

    Args:
        table: Name of the table.
        timers: Timer service.

    Attributes:
        table: Name of the table.
        version: Version of the store up to which the rows are complete, or 0 before
            the first read.
        read_version: Version of the store at the last whole read.
        followed_since: Time in seconds by `Timers.elapsed` of the last whole read; all
            changes after it were applied. It is infinite before the first read, and
            minus infinite if all changes since the table's creation were applied.
        epoch_since: Time in seconds by `Timers.elapsed` at which this copy reached the
            present epoch of the store, which is after the restore that began it. It is
            minus infinite while the store was never restored.
    """

    def __init__(self, table: str, *, timers: Timers) -> None:
        self.table = table
        self.version = 0
        self.read_version = 0
        self.followed_since = float("inf")
        self.epoch_since = float("-inf")
        self._timers = timers
        self._rows: dict[str, Row] = {}
        # Rows that were deleted since the last whole read, by key.
        self._deleted: dict[str, Row] = {}
        # All deletions after this version are known. It rises with each whole read,
        # which does not show earlier deletions, and when old ones are discarded.
        self._deletions_since = 0
        self._complete_as_of: float | None = None
        self._listeners: list[RowListener] = []
        self._epoch_listeners: list[EpochListener] = []
        self._read_listeners: list[ReadListener] = []

    @property
    def epoch(self) -> int:
        """The epoch of the store that the copy shows."""
        return epoch_of(self.version)

    def subscribe_to_epochs(self, listener: EpochListener) -> None:
        """Calls ``listener`` before the rows of a later epoch replace the present ones.

        It is not called for the first read.
        """
        self._epoch_listeners.append(listener)

    def subscribe_to_whole_reads(self, listener: ReadListener) -> None:
        """Calls ``listener`` before a whole read replaces the rows.

        It is given the age of the rows in seconds, which is infinite for the first
        read. Rows that were written and deleted within that time remain unseen.
        """
        self._read_listeners.append(listener)

    def subscribe(self, listener: RowListener) -> None:
        """Calls ``listener`` with each changed row; a deleted row has no body."""
        self._listeners.append(listener)

    def rows(self) -> tuple[Row, ...]:
        """Returns all rows."""
        return tuple(self._rows.values())

    def get(self, key: str) -> Row | None:
        """Returns the row with this key, or None if there is none."""
        return self._rows.get(key)

    def changes_since(self, version: int) -> tuple[Row, ...] | None:
        """Returns the rows that changed after a version, including deleted ones.

        Returns:
            The rows, or None if not all deletions after that version are known.
        """
        if version < self._deletions_since:
            return None
        rows = (*self._rows.values(), *self._deleted.values())
        return tuple(row for row in rows if row.version > version)

    def age_s(self) -> float:
        """Returns the time in seconds since the copy was surely complete.

        It is infinite before the first read.
        """
        if self._complete_as_of is None:
            return float("inf")
        return self._timers.elapsed() - self._complete_as_of

    def replace(self, changes: Changes) -> None:
        """Replaces the copy by all rows of the table, unless the copy is newer."""
        if changes.version < self.version:
            return
        for listener in self._read_listeners:
            listener(self.age_s())
        self._enter_epoch(changes)
        present = {row.key for row in changes.rows}
        for key in self._rows.keys() - present:
            if self._rows[key].version > changes.version:
                # The row was received after the whole table was read.
                continue
            self._delete(Row(key=key, version=changes.version, body=None))
        self._deleted.clear()
        self.followed_since = self._timers.elapsed()
        self.read_version = self._deletions_since = changes.version
        for row in changes.rows:
            if not self._has_same_or_newer(row):
                self._write(row)
        self._record_completeness(changes)

    def apply_from_beginning(self, changes: Changes) -> None:
        """Applies all changes since the table's creation.

        After a restore, these lack the changes that were discarded, so they do not
        count as complete.
        """
        self._enter_epoch(changes)
        if self.version == 0 and epoch_of(changes.version) == 0:
            self.followed_since = float("-inf")
        self.apply(changes)

    def apply(self, changes: Changes) -> None:
        """Applies changed rows, and the version and time of their completeness."""
        for row in changes.rows:
            self.apply_row(row)
        self._record_completeness(changes)

    def apply_row(self, row: Row) -> None:
        """Applies one row unless the same or a newer version of it is known."""
        if self._has_same_or_newer(row) or self._is_deleted(row):
            return
        if row.body is None:
            self._delete(row)
        else:
            self._write(row)

    def _enter_epoch(self, changes: Changes) -> None:
        """Records that the store was restored, if the changes are of a later epoch."""
        if epoch_of(changes.version) <= self.epoch:
            return
        if self.version:
            log.warning(
                "store restored from a backup",
                table=self.table,
                epoch=epoch_of(changes.version),
                previous=self.epoch,
                age_s=round(self.age_s(), 3),
            )
            for listener in self._epoch_listeners:
                listener()
        self.epoch_since = self._timers.elapsed()

    def _record_completeness(self, changes: Changes) -> None:
        if self.followed_since == float("inf"):
            self.followed_since = self._timers.elapsed()
            self.read_version = changes.version
        self.version = max(self.version, changes.version)
        if self._complete_as_of is None or changes.as_of > self._complete_as_of:
            self._complete_as_of = changes.as_of

    def _has_same_or_newer(self, row: Row) -> bool:
        known = self._rows.get(row.key)
        return known is not None and known.version >= row.version

    def _is_deleted(self, row: Row) -> bool:
        """Returns whether this version of the row is known to be deleted."""
        if row.key in self._rows:
            return False
        deleted = self._deleted.get(row.key)
        # A row that the last whole read lacked was deleted before it.
        deleted_at = self.read_version if deleted is None else deleted.version
        return row.version <= deleted_at

    def _write(self, row: Row) -> None:
        self._rows[row.key] = row
        self._deleted.pop(row.key, None)
        self._notify(row)

    def _delete(self, row: Row) -> None:
        # The deletion is recorded even if this proxy never had the row: peers that ask
        # this proxy for changes may have it.
        self._rows.pop(row.key, None)
        self._record_deletion(row)
        self._notify(row)

    def _notify(self, row: Row) -> None:
        for listener in self._listeners:
            listener(row)

    def _record_deletion(self, row: Row) -> None:
        if len(self._deleted) >= MAX_DELETED:
            oldest = min(self._deleted.values(), key=lambda item: item.version)
            del self._deleted[oldest.key]
            self._deletions_since = max(self._deletions_since, oldest.version)
        self._deleted[row.key] = row
