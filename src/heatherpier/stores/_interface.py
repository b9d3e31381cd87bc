"""Interfaces of the table service and the object store."""

from dataclasses import dataclass
from typing import Protocol

# Version that stands for a record that does not exist.
ABSENT_VERSION = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """Versioned record of the table service.

    Attributes:
        key: Key of the record in the table.
        version: Version of the record, from 1, incremented by each change.
        body: Content of the record.
    """

    key: str
    version: int
    body: bytes


class TableStore(Protocol):
    """Store of records that are changed only by conditional writes."""

    async def get(self, key: str) -> Record | None:
        """Returns the record of ``key``, or None if there is none.

        Raises:
            PlatformError: The service did not answer or rejected the call.
        """

    async def put(self, record: Record) -> None:
        """Writes ``record`` if the stored version is its predecessor.

        A record of version 1 is written only if none is stored.

        Raises:
            ConflictError: The stored version is another one; nothing changed.
            ThrottledError: The rate limit is reached; nothing changed.
            PlatformUnavailableError: No usable answer arrived; the outcome is unknown.
        """


class ObjectStore(Protocol):
    """Store of immutable blobs by name."""

    async def get_object(self, name: str) -> bytes | None:
        """Returns the blob ``name``, or None if there is none.

        Raises:
            PlatformError: The service did not answer or rejected the call.
        """

    async def put_object(self, name: str, body: bytes) -> None:
        """Stores the blob ``body`` as ``name``. Repeating the call has no effect.

        Raises:
            PlatformError: The blob is possibly not stored.
        """
