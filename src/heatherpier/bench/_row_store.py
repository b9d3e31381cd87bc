"""A stand-in for the store, in memory, with fault switches."""

import asyncio
from dataclasses import dataclass, field

from heatherpier.tables import (
    ChangeConflictError,
    Changes,
    HistoryLostError,
    Row,
    StoreRefusedError,
    StoreUnavailableError,
)
from heatherpier.timers import Timers

ANSWER_S = 0.004
# Time after which a client of the real store takes a call for lost.
CALL_TIMEOUT_S = 1.2


@dataclass(slots=True)
class StoreFaults:
    """Switches of the store; sets hold names of proxies.

    Attributes:
        silent: Who gets no answers, and whose calls have no effect.
        refused: Whose calls are rejected.
        lose_answers: Count of coming writes that take effect without an answer.
        late_s: Time in seconds after which such a write takes effect.
    """

    silent: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    lose_answers: int = 0
    late_s: float = 0.0


class MemoryRowStore:
    """Tables in memory.

    Args:
        timers: Timer service.

    Attributes:
        faults: Its switches.
        calls: Count of calls.
    """

    def __init__(self, *, timers: Timers) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        self.version = 0
        self._timers = timers
        self._tables: dict[str, dict[str, Row]] = {}
        self._history: list[tuple[str, Row]] = []
        self._forgotten = 0
        self._changed = asyncio.Event()

    def client(self, name: str) -> "MemoryRowClient":
        """Returns the store as the proxy ``name`` sees it."""
        return MemoryRowClient(self, name, timers=self._timers)

    def forget_history(self) -> None:
        """Drops the history, so that watches have to read anew."""
        self._forgotten = self.version
        self._history.clear()
        self._notify()

    def row(self, table: str, key: str) -> Row | None:
        """Returns a row, or None."""
        return self._tables.get(table, {}).get(key)

    def write(self, table: str, key: str, body: bytes | None) -> int:
        """Writes a row without a condition, as the operator or an instance does."""
        self.version += 1
        row = Row(key=key, version=self.version, body=body)
        rows = self._tables.setdefault(table, {})
        if body is None:
            rows.pop(key, None)
        else:
            rows[key] = row
        self._history.append((table, row))
        self._notify()
        return self.version

    def check(self, table: str, key: str, expected: int) -> None:
        """Raises ChangeConflictError if a row has another version."""
        row = self.row(table, key)
        if (row.version if row is not None else 0) != expected:
            raise ChangeConflictError(f"{table}/{key} is not at version {expected}")

    def snapshot(self, table: str) -> Changes:
        """Returns all rows of a table."""
        rows = tuple(self._tables.get(table, {}).values())
        return Changes(rows=rows, version=self.version, as_of=self._timers.elapsed())

    def since(self, table: str, after: int) -> Changes:
        """Returns the changes of a table after a version."""
        if after < self._forgotten:
            raise HistoryLostError(f"nothing before {self._forgotten}")
        rows = tuple(
            row for name, row in self._history if name == table and row.version > after
        )
        return Changes(rows=rows, version=self.version, as_of=self._timers.elapsed())

    async def wait(self, limit_s: float) -> None:
        """Returns at the next change, or after a time."""
        try:
            async with self._timers.timeout(limit_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class MemoryRowClient:
    """Implements `RowStore` for one proxy.

    Args:
        store: The store.
        name: Name of the proxy.
        timers: Timer service.
    """

    def __init__(self, store: MemoryRowStore, name: str, *, timers: Timers) -> None:
        self._store = store
        self._name = name
        self._timers = timers

    async def read_table(self, table: str) -> Changes:
        """Returns all rows of a table."""
        await self._enter()
        return self._store.snapshot(table)

    async def watch(self, table: str, *, after: int, wait_s: float) -> Changes:
        """Returns the changes after a version, as soon as there are any."""
        await self._enter()
        until = self._timers.now() + wait_s
        while True:
            changes = self._store.since(table, after)
            left_s = until - self._timers.now()
            if changes.rows or left_s <= 0:
                break
            await self._store.wait(left_s)
        await self._require_path()
        return changes

    async def put(self, table: str, key: str, body: bytes, *, expected: int) -> int:
        """Writes one row of the given version and returns its new version."""
        return await self._change(table, key, body, expected)

    async def delete(self, table: str, key: str, *, expected: int) -> None:
        """Deletes one row of the given version."""
        await self._change(table, key, None, expected)

    async def _change(
        self, table: str, key: str, body: bytes | None, expected: int
    ) -> int:
        await self._enter()
        faults = self._store.faults
        if faults.lose_answers:
            faults.lose_answers -= 1
            await self._timers.sleep(faults.late_s)
            try:
                self._store.check(table, key, expected)
                self._store.write(table, key, body)
            finally:
                await self._lose()
        self._store.check(table, key, expected)
        return self._store.write(table, key, body)

    async def _enter(self) -> None:
        self._store.calls += 1
        await self._require_path()
        await self._timers.sleep(ANSWER_S)

    async def _require_path(self) -> None:
        faults = self._store.faults
        if self._name in faults.silent:
            await self._lose()
        if self._name in faults.refused:
            raise StoreRefusedError("turned away")

    async def _lose(self) -> None:
        await self._timers.sleep(CALL_TIMEOUT_S)
        raise StoreUnavailableError("no answer")
