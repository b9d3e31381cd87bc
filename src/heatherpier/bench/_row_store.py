"""Simulates the table store in memory, with its faults."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from heatherpier.tables import (
    NO_CONDITIONS,
    ChangeConflictError,
    Changes,
    HistoryLostError,
    Row,
    StoreEpoch,
    StoreRefusedError,
    StoreUnavailableError,
    make_version,
    number_of,
)
from heatherpier.timers import Timers

ANSWER_DELAY_S = 0.004
# Time after which the client of the real store reports a call without an answer as
# failed.
CALL_TIMEOUT_S = 1.2


@dataclass(slots=True)
class StoreFaults:
    """Switches for faults of the store.

    Attributes:
        unresponsive_to: Names of proxies that get no answers and whose calls have no
            effect.
        refused: Names of proxies whose calls are rejected.
        lose_answers: Number of next writes that take effect but whose answers are
            lost.
        late_s: Delay in seconds after which such a write takes effect.
    """

    unresponsive_to: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    lose_answers: int = 0
    late_s: float = 0.0


class MemoryRowStore:
    """Holds the tables and their history of changes.

    Args:
        timers: Timer service.

    Attributes:
        faults: Switches for faults.
        calls: Number of calls of all proxies so far.
        version: The store's own number of the last change; 0 before the first one.
        epoch: Number of restores so far.
    """

    def __init__(self, *, timers: Timers) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        self.version = 0
        self.epoch = 0
        self._timers = timers
        self._tables: dict[str, dict[str, Row]] = {}
        self._history: list[tuple[str, Row]] = []
        # All changes with the times at which they were made, for a restore.
        self._backup: list[tuple[float, str, Row]] = []
        # Newest rows of writers other than the proxies, which write them again.
        self._external: dict[tuple[str, str], bytes | None] = {}
        self._dropped_until = 0
        self._changed = asyncio.Event()

    def client(self, name: str) -> "MemoryRowClient":
        """Returns the client of the proxy ``name``."""
        return MemoryRowClient(self, name, timers=self._timers)

    def drop_history(self) -> None:
        """Drops the history, so that watches have to read whole tables."""
        self._dropped_until = self.version
        self._history.clear()
        self._notify()

    def restore(self, *, back_s: float) -> None:
        """Loses all changes of the last ``back_s`` seconds and begins a new epoch.

        The versions of the lost changes are given out again.
        """
        until = self._timers.now() - back_s
        self._backup = [item for item in self._backup if item[0] <= until]
        self._tables.clear()
        self._history.clear()
        for _, table, row in self._backup:
            self._apply(table, row)
            self._history.append((table, row))
        self.version = max((row.version for _, _, row in self._backup), default=0)
        self._dropped_until = min(self._dropped_until, self.version)
        self.epoch += 1
        self._notify()

    def rewrite_external(self) -> None:
        """Writes again what the operator and the instances wrote and a restore lost."""
        for (table, key), body in self._external.items():
            row = self.row(table, key)
            if (None if row is None else row.body) != body:
                self.write(table, key, body)

    def row(self, table: str, key: str) -> Row | None:
        """Returns a row, or None if it does not exist."""
        return self._tables.get(table, {}).get(key)

    def write(self, table: str, key: str, body: bytes | None) -> int:
        """Writes a row without a precondition, as the operator or an instance does.

        Args:
            table: Name of the table.
            key: Key of the row.
            body: Content of the row; None deletes it.

        Returns:
            The new version.
        """
        self._external[(table, key)] = body
        return self.commit(table, key, body)

    def commit(self, table: str, key: str, body: bytes | None) -> int:
        """Changes a row, and returns the store's own number of the change."""
        self.version += 1
        row = Row(key=key, version=self.version, body=body)
        self._apply(table, row)
        self._history.append((table, row))
        self._backup.append((self._timers.now(), table, row))
        self._notify()
        return self.version

    def _apply(self, table: str, row: Row) -> None:
        rows = self._tables.setdefault(table, {})
        if row.body is None:
            rows.pop(row.key, None)
        else:
            rows[row.key] = row

    def check(self, table: str, key: str, expected: int) -> None:
        """Checks the store's own number of a row, whatever its epoch.

        Args:
            table: Name of the table.
            key: Key of the row.
            expected: Expected number; 0 if the row must not exist.

        Raises:
            ChangeConflictError: The row has another version.
        """
        row = self.row(table, key)
        if (row.version if row is not None else 0) != expected:
            raise ChangeConflictError(f"{table}/{key} is not at version {expected}")

    def snapshot(self, table: str) -> Changes:
        """Returns all rows of a table."""
        return self._changes(tuple(self._tables.get(table, {}).values()))

    def since(self, table: str, after: int) -> Changes:
        """Returns the changes of a table after a version.

        Raises:
            HistoryLostError: The history no longer covers these changes.
        """
        if after < self._dropped_until:
            raise HistoryLostError(f"no history up to version {self._dropped_until}")
        if after > self.version:
            raise HistoryLostError(f"version {after} is not known")
        rows = tuple(
            row for name, row in self._history if name == table and row.version > after
        )
        return self._changes(rows)

    def _changes(self, rows: tuple[Row, ...]) -> Changes:
        return Changes(
            rows=tuple(
                replace(row, version=make_version(self.epoch, row.version))
                for row in rows
            ),
            version=make_version(self.epoch, self.version),
            as_of=self._timers.elapsed(),
        )

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits for the next change of any table, at most ``timeout_s`` seconds."""
        try:
            async with self._timers.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class MemoryRowClient:
    """Implements `RowStore` for one proxy.

    Args:
        store: Store that holds the tables.
        name: Name of the proxy, by which faults select whose calls fail.
        timers: Timer service.
    """

    def __init__(self, store: MemoryRowStore, name: str, *, timers: Timers) -> None:
        self._store = store
        self._name = name
        self._timers = timers
        self._epoch = StoreEpoch()

    async def read_table(self, table: str) -> Changes:
        """Returns all rows of a table."""
        await self._begin_call()
        self._epoch.note(self._store.epoch)
        return self._store.snapshot(table)

    async def watch(self, table: str, *, after: int, wait_s: float) -> Changes:
        """Returns the changes after a version, once there are any.

        Returns no changes if there are none within ``wait_s`` seconds.
        """
        self._epoch.check_watch(after)
        await self._begin_call()
        until = self._timers.now() + wait_s
        while True:
            self._epoch.note(self._store.epoch)
            self._epoch.check_watched(after, answered_in=self._store.epoch)
            changes = self._store.since(table, number_of(after))
            remaining_s = until - self._timers.now()
            if changes.rows or remaining_s <= 0:
                break
            await self._store.wait_for_change(remaining_s)
        await self._check_reachable()
        return changes

    async def put(self, table: str, key: str, body: bytes, *, expected: int) -> int:
        """Writes a row if it has the expected version, and returns its new version."""
        return await self._change(table, key, body, expected)

    async def delete(
        self,
        table: str,
        key: str,
        *,
        expected: int,
        unchanged: Mapping[str, int] = NO_CONDITIONS,
    ) -> None:
        """Deletes a row if it and others have the expected versions."""
        await self._change(table, key, None, expected, unchanged)

    async def _change(
        self,
        table: str,
        key: str,
        body: bytes | None,
        expected: int,
        unchanged: Mapping[str, int] = NO_CONDITIONS,
    ) -> int:
        conditions = {key: expected, **unchanged}
        for version in conditions.values():
            self._epoch.check_expected(version)
        await self._begin_call()
        faults = self._store.faults
        if faults.lose_answers:
            faults.lose_answers -= 1
            await self._timers.sleep(faults.late_s)
            try:
                self._check(table, conditions)
                self._store.commit(table, key, body)
            finally:
                await self._time_out()
        epoch = self._store.epoch
        self._epoch.note(epoch)
        self._check(table, conditions)
        version = self._store.commit(table, key, body)
        self._epoch.check_written(expected, answered_in=epoch)
        return make_version(epoch, version)

    def _check(self, table: str, conditions: Mapping[str, int]) -> None:
        for key, version in conditions.items():
            self._store.check(table, key, number_of(version))

    async def _begin_call(self) -> None:
        self._store.calls += 1
        await self._check_reachable()
        await self._timers.sleep(ANSWER_DELAY_S)

    async def _check_reachable(self) -> None:
        faults = self._store.faults
        if self._name in faults.unresponsive_to:
            await self._time_out()
        if self._name in faults.refused:
            raise StoreRefusedError("call rejected")

    async def _time_out(self) -> None:
        await self._timers.sleep(CALL_TIMEOUT_S)
        raise StoreUnavailableError("no answer")
