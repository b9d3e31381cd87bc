"""Proxies without sockets in front of one group in memory, for measurements."""

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
# More slots than statements ever run at once: stands for a proxy without admission
# control.
UNBOUNDED_SLOTS = 100_000
# Connections on each instance that are reserved for replication and probes.
SPARE_CONNECTIONS = 4


@dataclass(frozen=True, slots=True)
class MemoryProxy:
    """The parts of one proxy that serve callers' statements."""

    group: Group
    reader: Reader
    writer: Writer
    admission: Admission
    timers: Timers

    def open_session(self, *, max_age_ms: int | None = None) -> Session:
        """Opens the session of a new caller.

        Args:
            max_age_ms: Maximum staleness of its reads in milliseconds; None for reads
                of its own writes.
        """
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
    """A group and the proxies that share it.

    `heatherpier.bench._memory_peers.MemoryFleet` is another class: the network between
    proxies.
    """

    memory: MemoryGroup
    proxies: list[MemoryProxy]

    @property
    def read_counts(self) -> tuple[int, int]:
        """Counts of callers' reads that ran on the primary, and on replicas."""
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
    """Runs a group with a table ``t``, and proxies in front of it.

    Args:
        timers: Timer service.
        proxies: Count of proxies; they are spread over the data centres.
        connections: Connections that an instance accepts.
        seed: Seed of all random choices.
        lag_ms: Replication delay in milliseconds.
        work_ms: Time that a statement occupies a slot, in milliseconds.
        slots: Slots of an instance that admission control shares among the proxies.
        admission: Whether the proxies use admission control.
    """
    memory = start_memory_group(timers, lag_ms=lag_ms)
    admission_bounds = (slots, proxies) if admission else (UNBOUNDED_SLOTS, 1)
    fleet_proxies = [
        _make_proxy(
            memory,
            timers,
            name=f"proxy-{number}",
            data_centre_index=number % len(DATA_CENTRES),
            connections=max((connections - SPARE_CONNECTIONS) // proxies, 1),
            admission_bounds=admission_bounds,
            seed=seed * 1000 + number,
        )
        for number in range(proxies)
    ]
    tasks = [
        asyncio.create_task(_refresh_periodically(proxy)) for proxy in fleet_proxies
    ]
    try:
        await timers.sleep(SETTLE_S)
        await (
            fleet_proxies[0]
            .open_session()
            .execute("CREATE TABLE t (v INT)", database=DATABASE, hints={})
        )
        for instance in memory.instances:
            instance.faults.work_ms = work_ms
        await timers.sleep(SETTLE_S)
        yield MemoryFleet(memory, fleet_proxies)
    finally:
        for task in tasks:
            task.cancel()
        for proxy in fleet_proxies:
            proxy.admission.close()
        await memory.close()


def _make_proxy(
    memory: MemoryGroup,
    timers: Timers,
    *,
    name: str,
    data_centre_index: int,
    connections: int,
    admission_bounds: tuple[int, int],
    seed: int,
) -> MemoryProxy:
    rng = random.Random(seed)
    slots, sharing_proxies = admission_bounds
    admission = Admission(timers=timers, slots=slots, proxies=sharing_proxies)
    reader = Reader(
        timers=timers,
        data_centre=DATA_CENTRES[data_centre_index],
        rng=rng,
        admission=admission,
    )
    keys = KeyGenerator(proxy=name, rng=rng, timers=timers)
    writer = Writer(timers=timers, keys=keys, rng=rng, admission=admission)
    group = memory.view(name, connections=connections)
    return MemoryProxy(group, reader, writer, admission, timers)


async def _refresh_periodically(proxy: MemoryProxy) -> None:
    async for _ in proxy.timers.every(REFRESH_PERIOD_S):
        await proxy.group.refresh()
