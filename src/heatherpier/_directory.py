"""Stores the primary of each database group in the platform's table service."""

import msgspec

from heatherpier.decoding import DECODE_ERRORS
from heatherpier.groups import DirectoryError, DirectoryRecord
from heatherpier.stores import ConflictError, PlatformError, Record, TableStore

KEY_PREFIX = "groups/"


class _Entry(msgspec.Struct, frozen=True):
    """Body of a group's record, as JSON."""

    term: int
    primary: str
    proposer: str


class PlatformDirectory:
    """Implements `heatherpier.groups.Directory` over a `TableStore`.

    Args:
        tables: The platform's table service.
    """

    def __init__(self, tables: TableStore) -> None:
        self._tables = tables

    async def read(self, group: str) -> DirectoryRecord | None:
        """Returns the record of a group, or None if it has none.

        Raises:
            DirectoryError: The record could not be read or is malformed.
        """
        stored = await self._get(group)
        return None if stored is None else _decode(group, stored)

    async def record(
        self, record: DirectoryRecord, *, expected_term: int | None
    ) -> bool:
        """Replaces a group's record if the stored one has the expected term.

        Args:
            record: The new record.
            expected_term: Term of the stored record, or None if there must be none.

        Returns:
            Whether the record was stored.

        Raises:
            DirectoryError: The stored record could not be read or is malformed, or
                the outcome of the write is unknown.
        """
        stored = await self._get(record.group)
        term = None if stored is None else _decode(record.group, stored).term
        if term != expected_term:
            return False
        entry = _Entry(
            term=record.term, primary=record.primary, proposer=record.proposer
        )
        version = 0 if stored is None else stored.version
        try:
            await self._tables.put(
                Record(
                    key=KEY_PREFIX + record.group,
                    version=version + 1,
                    body=msgspec.json.encode(entry),
                )
            )
        except ConflictError:
            return False
        except PlatformError as exc:
            raise DirectoryError(
                f"writing the record of group {record.group} failed: {exc}"
            ) from exc
        return True

    async def _get(self, group: str) -> Record | None:
        try:
            return await self._tables.get(KEY_PREFIX + group)
        except PlatformError as exc:
            raise DirectoryError(
                f"reading the record of group {group} failed: {exc}"
            ) from exc


def _decode(group: str, stored: Record) -> DirectoryRecord:
    try:
        entry = msgspec.json.decode(stored.body, type=_Entry)
    except DECODE_ERRORS as exc:
        raise DirectoryError(
            f"the record of group {group} is malformed: {exc}"
        ) from exc
    return DirectoryRecord(
        group=group, term=entry.term, primary=entry.primary, proposer=entry.proposer
    )
