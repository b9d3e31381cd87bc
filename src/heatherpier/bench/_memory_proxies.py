"""Proxies' decision code over one group in memory, for measurements."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from heatherpier._session import Session
from heatherpier.bench._cluster import (
    DATA_CENTRES,
    GROUP,
    MemoryGroup,
    start_memory_group,
)
from heatherpier.groups import Group
from heatherpier.limits import Admission
from heatherpier.reads import Reader
from heatherpier.sessions import TokenSigner
from heatherpier.timers import Timers
from heatherpier.writes import KeyGenerator, Writer

DATABASE = GROUP.replace("-", "_")
DEADLINE_MS = 5000
REFRESH_PERIOD_S = 0.5
SETTLE_S = 1.0
# Room without bounds stands for a proxy without admission.
UNBOUNDED_SLOTS = 100_000
# Connections that replication and probes need on each instance.
SPARE_CONNECTIONS = 4


@dataclass(frozen=True, slots=True)
class MemoryProxy:
    """What one proxy is made of."""

    group: Group
    reader: Reader
    writer: Writer
    admission: Admission
    timers: Timers

    def open_session(self, *, max_age_ms: int | None = None) -> Session:
        """Makes the session of a new caller."""
        return Session(
            groups={DATABASE: self.group},
            reader=self.reader,
            writer=self.writer,
            signer=TokenSigner(deployment="bench", keys=(b"k" * 16,)),
            timers=self.timers,
            deadline_ms=DEADLINE_MS,
            max_age_ms=max_age_ms,
            user="bench",
        )


@dataclass(frozen=True, slots=True)
class MemoryFleet:
    """A group and the proxies that share it."""

    memory: MemoryGroup
    proxies: list[MemoryProxy]

    @property
    def read_counts(self) -> tuple[int, int]:
        """Callers' reads that ran on the primary, and on replicas."""
        primary, *replicas = (
            sum(instance.reads.values()) for instance in self.memory.instances
        )
        return primary, sum(replicas)


@asynccontextmanager
async def memory_fleet(
    timers: Timers,
    *,
    proxies: int,
    connections: int,
    seed: int,
    lag_ms: int = 50,
    work_ms: int = 5,
    slots: int = 3,
    admission: bool = True,
) -> AsyncIterator[MemoryFleet]:
    """Runs a group with a table ``t`` and its proxies.

    Args:
        timers: Timer service.
        proxies: Count of proxies; they are spread over the data centres.
        connections: Connections that an instance accepts.
        seed: Seed of all random choices.
        lag_ms: Replication delay in milliseconds.
        work_ms: Time that a statement holds a slot, in milliseconds.
        slots: Statements that an instance runs at once.
        admission: Whether proxies bound what they send.
    """
    memory = start_memory_group(timers, lag_ms=lag_ms)
    bounds = (slots, proxies) if admission else (UNBOUNDED_SLOTS, 1)
    members = [
        _make_proxy(
            memory,
            timers,
            name=f"proxy-{number}",
            place=number % len(DATA_CENTRES),
            connections=max((connections - SPARE_CONNECTIONS) // proxies, 1),
            bounds=bounds,
            seed=seed * 1000 + number,
        )
        for number in range(proxies)
    ]
    tasks = [asyncio.create_task(_refresh(proxy)) for proxy in members]
    try:
        await timers.sleep(SETTLE_S)
        await (
            members[0]
            .open_session()
            .execute("CREATE TABLE t (v INT)", database=DATABASE, hints={})
        )
        for instance in memory.instances:
            instance.faults.work_ms = work_ms
        await timers.sleep(SETTLE_S)
        yield MemoryFleet(memory, members)
    finally:
        for task in tasks:
            task.cancel()
        for proxy in members:
            proxy.admission.close()
        await memory.close()


def _make_proxy(
    memory: MemoryGroup,
    timers: Timers,
    *,
    name: str,
    place: int,
    connections: int,
    bounds: tuple[int, int],
    seed: int,
) -> MemoryProxy:
    rng = random.Random(seed)
    slots, sharers = bounds
    admission = Admission(timers=timers, slots=slots, proxies=sharers)
    reader = Reader(
        timers=timers, data_centre=DATA_CENTRES[place], rng=rng, admission=admission
    )
    keys = KeyGenerator(proxy=name, rng=rng, timers=timers)
    writer = Writer(timers=timers, keys=keys, rng=rng, admission=admission)
    group = memory.view(name, connections=connections)
    return MemoryProxy(group, reader, writer, admission, timers)


async def _refresh(proxy: MemoryProxy) -> None:
    async for _ in proxy.timers.every(REFRESH_PERIOD_S):
        await proxy.group.refresh()
