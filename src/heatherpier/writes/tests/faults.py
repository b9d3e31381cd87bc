"""Injects faults when a proxy sends a given statement of a write."""

import asyncio
from dataclasses import dataclass

from heatherpier.upstreams import ConnectionLostError


@dataclass
class InjectedFault:
    """Fault that is applied once, when a proxy sends a matching statement.

    Attributes:
        prefix: Beginning of the matching statement.
        after: Whether the fault is applied after the statement takes effect,
            instead of before.
        apply: Coroutine function that takes the connection and returns whether the
            connection, and with it the answer, is lost.
        triggered: Whether the fault was applied.
    """

    prefix: str
    after: bool
    apply: object
    triggered: bool = False

    def matches(self, sql):
        return not self.triggered and sql.startswith(self.prefix)


class FaultConnector:
    """Wraps a connector, and applies injected faults to its connections."""

    def __init__(self, connector):
        self._connector = connector
        self.injected_faults = []
        self.connects = 0

    async def connect(self, instance):
        self.connects += 1
        conn = await self._connector.connect(instance)
        return FaultConnection(conn, self.injected_faults)


class FaultConnection:
    """Wraps a connection, and applies the first injected fault that matches."""

    def __init__(self, conn, injected_faults):
        self.conn = conn
        self._injected_faults = injected_faults

    async def execute(self, sql):
        injected = next((t for t in self._injected_faults if t.matches(sql)), None)
        if injected is None:
            return await self.conn.execute(sql)
        injected.triggered = True
        if injected.after:
            result = await self.conn.execute(sql)
        if await injected.apply(self):
            self.conn.abort()
            raise ConnectionLostError("reset by the test")
        if injected.after:
            return result
        return await self.conn.execute(sql)

    def has_unread(self):
        return self.conn.has_unread()

    def abort(self):
        self.conn.abort()


# Each fault below takes the bench and the connection that sends the statement, and
# returns whether that connection is lost. `bind_fault` binds the bench.


async def reset(bench, conn):
    """Loses the connection."""
    return True


async def stop_answering(bench, conn):
    """Makes the connection stop answering for good."""
    conn.conn.silent = True
    return False


async def crash(bench, conn):
    """Crashes the primary; another instance is promoted 300 ms later."""
    old = bench.primary
    bench.memory_group.network.crash(old.name)
    bench.call_later(0.3, lambda: bench.fail_over(old))
    return False


async def pause(bench, conn):
    """Pauses the primary; another instance is promoted 300 ms later."""
    old = bench.primary
    old.pause()
    bench.call_later(0.3, lambda: bench.fail_over(old))
    return False


async def isolate(bench, conn):
    """Partitions the primary from the other instances, but not from the proxies.

    Another instance is promoted at once, and the old one still acts as primary.
    """
    old = bench.primary
    for other in bench.instances:
        if other is not old:
            bench.memory_group.network.cut(old.name, other.name)
    bench.fail_over(old)
    return False


async def fence(bench, conn):
    """Promotes another instance and also fences the old primary."""
    bench.fail_over(bench.primary, fence_old=True)
    return False


async def crash_majority(bench, conn):
    """Crashes two of the three instances for good."""
    for instance in bench.instances[:2]:
        bench.memory_group.network.crash(instance.name)
    return False


async def crash_replicas(bench, conn):
    """Crashes both replicas for good."""
    for instance in bench.instances[1:]:
        bench.memory_group.network.crash(instance.name)
    return False


async def stop_replication(bench, conn):
    """Stops both replicas' replication for good."""
    for instance in bench.instances:
        instance.faults.replication_stopped = True
    return False


async def delay_commit(bench, conn):
    """Makes the next COMMIT arrive 1500 ms late, after its connection is lost."""
    bench.primary.faults.late_commit_ms = 1500
    return False


def bind_fault(fault, bench):
    """Returns ``fault`` with its bench bound, for `InjectedFault.apply`."""

    async def apply(conn):
        return await fault(bench, conn)

    return apply


def schedule(timers, delay_s, action):
    """Starts a task that runs ``action`` after a delay."""

    async def run():
        await timers.sleep(delay_s)
        action()

    return asyncio.create_task(run())
