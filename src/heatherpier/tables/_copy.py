"""A copy of one table of the store, and up to when it is surely complete."""

from collections.abc import Callable

from heatherpier.tables._interface import Changes, Row
from heatherpier.timers import Timers

# Deleted rows beyond this are forgotten; who asks for older changes gets all rows.
MAX_DELETED = 256

RowListener = Callable[[Row], None]


class TableCopy:
    """Rows of a table as they were at a known moment.

    Args:
        table: Name of the table.
        timers: Timer service.

    Attributes:
        table: Name of the table.
        version: The store's version that the rows are complete up to; 0 while
            nothing was read.
        read_version: The store's version of the last whole read.
        followed_since: Time in seconds by `Timers.elapsed` of the last whole read; all
            changes after it were taken in. It is infinite before the first read, and
            minus infinite if the changes since the table's beginning are known.
    """

    def __init__(self, table: str, *, timers: Timers) -> None:
        self.table = table
        self.version = 0
        self.read_version = 0
        self.followed_since = float("inf")
        self._timers = timers
        self._rows: dict[str, Row] = {}
        # Deleted rows since the last whole read, by key.
        self._deleted: dict[str, Row] = {}
        # Deletions since this version are all known; a row that the last whole read
        # lacked was deleted before it.
        self._whole_since = 0
        self._as_of: float | None = None
        self._listeners: list[RowListener] = []

    def subscribe(self, listener: RowListener) -> None:
        """Has ``listener`` called with each changed row; without body if deleted."""
        self._listeners.append(listener)

    def rows(self) -> tuple[Row, ...]:
        """Returns all rows."""
        return tuple(self._rows.values())

    def get(self, key: str) -> Row | None:
        """Returns one row, or None."""
        return self._rows.get(key)

    def changes_since(self, version: int) -> tuple[Row, ...] | None:
        """Returns the rows that changed after a version, deleted ones included.

        Returns:
            The rows, or None if deletions since then are not all known.
        """
        if version < self._whole_since:
            return None
        rows = (*self._rows.values(), *self._deleted.values())
        return tuple(row for row in rows if row.version > version)

    def age_s(self) -> float:
        """Returns how long ago the copy was surely complete, in seconds."""
        if self._as_of is None:
            return float("inf")
        return self._timers.elapsed() - self._as_of

    def replace(self, changes: Changes) -> None:
        """Takes in all rows of the table; ignored if the copy is newer."""
        if changes.version < self.version:
            return
        present = {row.key for row in changes.rows}
        for key in self._rows.keys() - present:
            self._delete(Row(key=key, version=changes.version, body=None))
        self._deleted.clear()
        self.followed_since = self._timers.elapsed()
        self.read_version = self._whole_since = changes.version
        for row in changes.rows:
            if not self._knows(row):
                self._write(row)
        self._note_complete(changes)

    def begin(self, changes: Changes) -> None:
        """Takes in all changes since the table's beginning."""
        if self.version == 0:
            self.followed_since = float("-inf")
        self.apply(changes)

    def apply(self, changes: Changes) -> None:
        """Takes in changed rows and the moment up to which they are complete."""
        for row in changes.rows:
            self.take_row(row)
        self._note_complete(changes)

    def take_row(self, row: Row) -> None:
        """Takes in one row unless the same or a newer one is known."""
        if self._knows(row) or self._knows_deleted(row):
            return
        if row.body is None:
            self._delete(row)
        else:
            self._write(row)

    def _note_complete(self, changes: Changes) -> None:
        if self.followed_since == float("inf"):
            self.followed_since = self._timers.elapsed()
            self.read_version = changes.version
        self.version = max(self.version, changes.version)
        if self._as_of is None or changes.as_of > self._as_of:
            self._as_of = changes.as_of

    def _knows(self, row: Row) -> bool:
        known = self._rows.get(row.key)
        return known is not None and known.version >= row.version

    def _knows_deleted(self, row: Row) -> bool:
        """Tells whether a row was deleted after this version of it."""
        if row.key in self._rows:
            return False
        deleted = self._deleted.get(row.key)
        deleted_at = self.read_version if deleted is None else deleted.version
        return row.version <= deleted_at

    def _write(self, row: Row) -> None:
        self._rows[row.key] = row
        self._deleted.pop(row.key, None)
        self._notify(row)

    def _delete(self, row: Row) -> None:
        # Proxies that ask here may have seen a row that this one never saw.
        self._rows.pop(row.key, None)
        self._note_deleted(row)
        self._notify(row)

    def _notify(self, row: Row) -> None:
        for listener in self._listeners:
            listener(row)

    def _note_deleted(self, row: Row) -> None:
        if len(self._deleted) >= MAX_DELETED:
            oldest = min(self._deleted.values(), key=lambda item: item.version)
            del self._deleted[oldest.key]
            self._whole_since = max(self._whole_since, oldest.version)
        self._deleted[row.key] = row
