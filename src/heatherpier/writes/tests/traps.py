"""Faults that come at one moment of a write."""

import asyncio
from dataclasses import dataclass

from heatherpier.upstreams import ConnectionLostError


@dataclass
class Trap:
    """Springs a fault when a proxy sends a statement, once.

    Attributes:
        prefix: How the statement begins.
        after: Whether the fault comes after the effect instead of before it.
        spring: Coroutine function of the connection; returns whether the
            answer is lost.
    """

    prefix: str
    after: bool
    spring: object
    sprung: bool = False

    def matches(self, sql):
        return not self.sprung and sql.startswith(self.prefix)


class TrapConnector:
    """Wraps a connector so that traps see its statements."""

    def __init__(self, connector):
        self._connector = connector
        self.traps = []

    async def connect(self, instance):
        conn = await self._connector.connect(instance)
        return TrapConnection(conn, self.traps)


class TrapConnection:
    """Wraps one connection."""

    def __init__(self, conn, traps):
        self.conn = conn
        self._traps = traps

    async def execute(self, sql):
        trap = next((t for t in self._traps if t.matches(sql)), None)
        if trap is None:
            return await self.conn.execute(sql)
        trap.sprung = True
        if trap.after:
            result = await self.conn.execute(sql)
        if await trap.spring(self):
            self.conn.abort()
            raise ConnectionLostError("reset by the test")
        if trap.after:
            return result
        return await self.conn.execute(sql)

    def abort(self):
        self.conn.abort()


# Faults: coroutine functions of a bench, made into springs by `spring_of`.


async def reset(bench, conn):
    """Loses the connection."""
    return True


async def silence(bench, conn):
    """Lets the connection go silent for good."""
    conn.conn.silent = True
    return False


async def crash(bench, conn):
    """Kills the primary; another is promoted 300 ms later."""
    old = bench.primary
    bench.memory_group.network.crash(old.name)
    bench.later(0.3, lambda: bench.fail_over(old))
    return False


async def pause(bench, conn):
    """Pauses the primary; another is promoted 300 ms later."""
    old = bench.primary
    old.pause()
    bench.later(0.3, lambda: bench.fail_over(old))
    return False


async def isolate(bench, conn):
    """Cuts the primary off from the other instances, but not from the proxies.

    Another is promoted at once; the old one still takes itself for primary.
    """
    old = bench.primary
    for other in bench.instances:
        if other is not old:
            bench.memory_group.network.cut(old.name, other.name)
    bench.fail_over(old)
    return False


async def fence(bench, conn):
    """Promotes another and fences the old primary too."""
    bench.fail_over(bench.primary, fence_old=True)
    return False


async def lose_majority(bench, conn):
    """Kills two instances for good."""
    for instance in bench.instances[:2]:
        bench.memory_group.network.crash(instance.name)
    return False


async def lose_replicas(bench, conn):
    """Kills both replicas for good."""
    for instance in bench.instances[1:]:
        bench.memory_group.network.crash(instance.name)
    return False


async def stop_replication(bench, conn):
    """Stops both replicas' replication for good."""
    for instance in bench.instances:
        instance.faults.replication_stopped = True
    return False


async def stall_commit(bench, conn):
    """Loses the connection while its COMMIT still travels."""
    bench.primary.faults.late_commit_ms = 1500
    return False


def spring_of(fault, bench):
    """Returns ``fault`` as the spring of a trap."""

    async def spring(conn):
        return await fault(bench, conn)

    return spring


def call_later(timers, delay_s, action):
    """Runs ``action`` after a delay."""

    async def run():
        await timers.sleep(delay_s)
        action()

    return asyncio.create_task(run())
