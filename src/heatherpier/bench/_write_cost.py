"""Compares writes that carry request keys with plain ones, under virtual time."""

import asyncio
import random
import statistics
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from heatherpier.bench._cluster import GROUP, MemoryGroup, start_memory_group
from heatherpier.groups import Group, fetch_last_commit
from heatherpier.requests import Answer, Request
from heatherpier.timers import LoopTimers, Timers, VirtualTimeLoop
from heatherpier.upstreams import (
    Connection,
    Connector,
    Instance,
    PooledConnection,
    Result,
)
from heatherpier.writes import KeyGenerator, Writer

WRITES_PER_KIND = 50
DELAYS_S = (0.001, 0.012)
LAGS_MS = (0, 50)
DEADLINE_S = 5.0
STATEMENT_TIMEOUT_S = 1.0
MS_PER_S = 1000
WALL_OFFSET_S = 1_700_000_000

Write = Callable[[int], Awaitable[object]]


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteCost:
    """Cost of one kind of write.

    Attributes:
        kind: Kind of write.
        delay_ms: One-way network delay in milliseconds.
        lag_ms: Replication delay in milliseconds.
        statements: Mean count of statements sent to the primary for each write.
        median_ms: Median duration of a write, in milliseconds of virtual time.
    """

    kind: str
    delay_ms: int
    lag_ms: int
    statements: float
    median_ms: float


class _CountingConnector:
    """Connects to instances and counts the statements sent to one of them."""

    def __init__(self, connector: Connector, name: str) -> None:
        self._connector = connector
        self._name = name
        self.statements = 0

    async def connect(self, instance: Instance) -> Connection:
        conn = await self._connector.connect(instance)
        if instance.name != self._name:
            return conn
        return _CountingConnection(conn, self)


class _CountingConnection:
    """A connection to the instance whose statements are counted."""

    def __init__(self, conn: Connection, counter: _CountingConnector) -> None:
        self._conn = conn
        self._counter = counter

    async def execute(self, sql: str) -> Result:
        self._counter.statements += 1
        return await self._conn.execute(sql)

    def has_unread(self) -> bool:
        return self._conn.has_unread()

    def abort(self) -> None:
        self._conn.abort()


class _WriteKinds:
    """Carries out the kinds of writes that are compared."""

    def __init__(self, group: Group, *, writer: Writer, timers: Timers) -> None:
        self._group = group
        self._writer = writer
        self._timers = timers

    def kinds(self) -> dict[str, Write]:
        """Returns a function for each kind; its argument is the number of the write."""
        return {
            "plain": self.plain,
            "key made by the proxy": lambda n: self.write(n, key=None),
            "key of the caller": lambda n: self.write(n, key=f"call-{n}"),
            "repeat of a key": lambda n: self.write(n, key=f"call-{n}"),
            "plain transaction": self.plain_transaction,
            "transaction": self.transaction,
        }

    async def plain(self, number: int) -> None:
        primary = self._group.primary().instance
        async with self._group.pools[primary].acquire(
            timeout_s=STATEMENT_TIMEOUT_S
        ) as conn:
            await conn.execute(_insert(number), timeout_s=STATEMENT_TIMEOUT_S)
            await self._acknowledge(conn)

    async def plain_transaction(self, number: int) -> None:
        primary = self._group.primary().instance
        async with self._group.pools[primary].acquire(
            timeout_s=STATEMENT_TIMEOUT_S
        ) as conn:
            for sql in ("BEGIN", _insert(number), _insert(number), "COMMIT"):
                await conn.execute(sql, timeout_s=STATEMENT_TIMEOUT_S)
            await self._acknowledge(conn)

    async def _acknowledge(self, conn: PooledConnection) -> None:
        position = await fetch_last_commit(conn, timeout_s=STATEMENT_TIMEOUT_S)
        deadline = self._timers.now() + DEADLINE_S
        await self._group.acknowledge(position, primary=conn.name, deadline=deadline)

    async def write(self, number: int, *, key: str | None) -> Answer:
        return await self._writer.execute(
            self._group, self._request(_insert(number), key)
        )

    async def transaction(self, number: int) -> None:
        caller = self._writer.open_caller(
            on_commit=lambda answer, group: None, idle_limit_s=DEADLINE_S
        )
        req = self._request("BEGIN", None)
        await caller.begin(self._group, req, read_only=False)
        for _ in range(2):
            req = self._request(_insert(number), None)
            await caller.execute(self._group, req, changes=True)
        await caller.commit(self._request("COMMIT", None))

    def _request(self, sql: str, key: str | None) -> Request:
        deadline = self._timers.now() + DEADLINE_S
        return Request(sql=sql, group=GROUP, deadline=deadline, key=key)


def _insert(number: int) -> str:
    return f"INSERT INTO calls VALUES ({number})"


async def _measure(*, delay_s: float, lag_ms: int) -> list[WriteCost]:
    timers = LoopTimers(wall_offset_s=WALL_OFFSET_S)
    memory_group = start_memory_group(timers, lag_ms=lag_ms)
    memory_group.network.delay_s = delay_s
    try:
        return await _measure_kinds(memory_group, timers)
    finally:
        await memory_group.close()


async def _measure_kinds(memory_group: MemoryGroup, timers: Timers) -> list[WriteCost]:
    primary = memory_group.instances[0].name
    counter = _CountingConnector(memory_group.network.connector("proxy-1"), primary)
    group = Group(memory_group.view("proxy-1").spec, connector=counter, timers=timers)
    await group.refresh()
    rng = random.Random(1)
    keys = KeyGenerator(proxy="proxy-1", rng=rng, timers=timers)
    writer = Writer(timers=timers, keys=keys, rng=rng)
    write_kinds = _WriteKinds(group, writer=writer, timers=timers)
    await writer.execute(
        group, write_kinds._request("CREATE TABLE calls (id INT)", None)
    )
    costs = []
    for kind, write in write_kinds.kinds().items():
        await write(WRITES_PER_KIND)
        counter.statements = 0
        times_s = [
            await _measure_write_s(write, number, timers)
            for number in range(WRITES_PER_KIND)
        ]
        costs.append(
            WriteCost(
                kind=kind,
                delay_ms=round(memory_group.network.delay_s * MS_PER_S),
                lag_ms=memory_group.instances[0].faults.lag_ms,
                statements=counter.statements / WRITES_PER_KIND,
                median_ms=round(statistics.median(times_s) * MS_PER_S, 1),
            )
        )
    group.close()
    return costs


async def _measure_write_s(write: Write, number: int, timers: Timers) -> float:
    began = timers.now()
    await write(number)
    return timers.now() - began


def measure_write_costs() -> list[WriteCost]:
    """Returns the cost of each kind of write at each delay and lag."""
    costs = []
    for delay_s in DELAYS_S:
        for lag_ms in LAGS_MS:
            with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
                costs += runner.run(_measure(delay_s=delay_s, lag_ms=lag_ms))
    return costs


def print_write_costs() -> None:
    """Prints the table of `measure_write_costs`."""
    print(f"{'kind':24}{'one-way':>9}{'lag':>7}{'statements':>12}{'median':>11}")
    for cost in measure_write_costs():
        print(
            f"{cost.kind:24}{cost.delay_ms:>6} ms{cost.lag_ms:>4} ms"
            f"{cost.statements:>12.1f}{cost.median_ms:>8.1f} ms"
        )
