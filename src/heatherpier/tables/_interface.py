"""What the proxy needs from the store."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row of a table.

    Attributes:
        key: Its key.
        version: Number of the change that wrote it; rises over the whole store.
        body: Its content, or None if it was deleted.
    """

    key: str
    version: int
    body: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """Rows of a table, or what has changed in it.

    Attributes:
        rows: The rows.
        version: The store's version that the rows are complete up to.
        as_of: Time in seconds by `Timers.elapsed` at which they were complete,
            at the earliest.
    """

    rows: tuple[Row, ...]
    version: int
    as_of: float


class RowStore(Protocol):
    """Tables of small rows that change only under a condition."""

    async def read_table(self, table: str) -> Changes:
        """Returns all rows of a table.

        Raises:
            StoreError: The store did not answer, or rejected the call.
        """

    async def watch(self, table: str, *, after: int, wait_s: float) -> Changes:
        """Returns the changes after a version, as soon as there are any.

        Args:
            table: Name of the table.
            after: The version.
            wait_s: Longest wait for a change, in seconds.

        Raises:
            HistoryLostError: The table has to be read anew.
            StoreError: The store did not answer, or rejected the call.
        """

    async def put(self, table: str, key: str, body: bytes, *, expected: int) -> int:
        """Writes one row and returns its new version.

        Args:
            table: Name of the table.
            key: Key of the row.
            body: Its content.
            expected: Version that the row must have; 0 if it must not exist.

        Raises:
            ChangeConflictError: It has another version.
            StoreRefusedError: Nothing changed.
            StoreUnavailableError: The outcome is unknown.
        """

    async def delete(self, table: str, key: str, *, expected: int) -> None:
        """Deletes one row of the given version.

        Raises:
            ChangeConflictError: It has another version.
            StoreRefusedError: Nothing changed.
            StoreUnavailableError: The outcome is unknown.
        """
