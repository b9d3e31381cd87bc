"""Interface of the coordination store."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Protocol

# No other rows have to be unchanged.
NO_CONDITIONS: Mapping[str, int] = MappingProxyType({})


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row of a table.

    Attributes:
        key: Key of the row in its table.
        version: Version of the store at which the row was written; it rises with
            each change in any table.
        body: Content of the row, or None if it was deleted.
    """

    key: str
    version: int
    body: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """All rows of a table, or those that changed after a version.

    Attributes:
        rows: The rows; deleted ones have no body.
        version: Version of the store up to which the rows are complete.
        as_of: Time in seconds by `Timers.elapsed` up to which the rows are surely
            complete.
    """

    rows: tuple[Row, ...]
    version: int
    as_of: float


class RowStore(Protocol):
    """Tables of small rows, each written only if it has an expected version."""

    async def read_table(self, table: str) -> Changes:
        """Returns all rows of a table.

        Raises:
            StoreError: The store did not answer or rejected the call.
        """

    async def watch(self, table: str, *, after: int, wait_s: float) -> Changes:
        """Returns the changes after a version, as soon as there are any.

        Args:
            table: Name of the table.
            after: Version of the store after which changes are returned.
            wait_s: Longest wait for a change, in seconds.

        Raises:
            HistoryLostError: The store no longer keeps these changes; the whole
                table has to be read again.
            StoreError: The store did not answer or rejected the call.
        """

    async def put(self, table: str, key: str, body: bytes, *, expected: int) -> int:
        """Writes one row and returns its new version.

        Args:
            table: Name of the table.
            key: Key of the row.
            body: Content of the row.
            expected: Version that the row must have, or 0 if it must not exist.

        Raises:
            ChangeConflictError: The row has another version; nothing changed.
            StoreRefusedError: The store rejected the call; nothing changed.
            StoreUnavailableError: The outcome is unknown.
        """

    async def delete(
        self,
        table: str,
        key: str,
        *,
        expected: int,
        unchanged: Mapping[str, int] = NO_CONDITIONS,
    ) -> None:
        """Deletes one row if it has the expected version.

        Args:
            table: Name of the table.
            key: Key of the row.
            expected: Version that the row must have.
            unchanged: Versions that other rows of the table must have, by key.

        Raises:
            ChangeConflictError: A row has another version; nothing changed.
            StoreRefusedError: The store rejected the call; nothing changed.
            StoreUnavailableError: The outcome is unknown.
        """
