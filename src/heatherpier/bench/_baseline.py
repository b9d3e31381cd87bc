"""Failure detection with a fixed time-out, the baseline that benches compare with."""

import random

from heatherpier.bench._cluster import MemoryGroup
from heatherpier.groups import (
    Group,
    GroupError,
    NoPrimaryError,
    Promoter,
    fetch_status,
)
from heatherpier.timers import Timers
from heatherpier.upstreams import UpstreamError

POLL_PERIOD_S = 0.5
FIXED_TIMEOUT_S = 3.0
RANK_DELAY_S = 0.25
STATUS_TIMEOUT_S = 0.5


def start_fixed_timeout_watcher(
    cluster: MemoryGroup, peer: str, *, rank: int, connections: int
) -> Group:
    """Starts the baseline's watcher and returns the group as ``peer`` sees it.

    Args:
        cluster: Database group in memory.
        peer: Name of the proxy, also the seed of its random numbers.
        rank: Rank of the proxy among the proposers, from 0. Each rank waits
            `RANK_DELAY_S` longer, so that proxies do not propose at once.
        connections: Maximum number of connections to each instance.
    """
    group = cluster.view(peer, connections=connections)
    timers = cluster.network.timers
    promoter = Promoter(group, proxy=peer, timers=timers, rng=random.Random(peer))
    watcher = _FixedTimeoutWatcher(group, promoter, timers=timers, rank=rank)
    group.start(watcher.run())
    return group


class _FixedTimeoutWatcher:
    """Replaces the primary once no primary has answered a poll for a fixed time."""

    def __init__(
        self, group: Group, promoter: Promoter, *, timers: Timers, rank: int
    ) -> None:
        self._group = group
        self._promoter = promoter
        self._timers = timers
        self._timeout_s = FIXED_TIMEOUT_S + rank * RANK_DELAY_S
        self._primary_seen_at = timers.now()

    async def run(self) -> None:
        async for now in self._timers.every(POLL_PERIOD_S):
            for name in self._group.pools:
                await self._poll(name)
            try:
                self._group.primary()
                self._primary_seen_at = self._timers.now()
            except NoPrimaryError:
                if now - self._primary_seen_at > self._timeout_s:
                    await self._replace()

    async def _poll(self, name: str) -> None:
        try:
            async with self._group.pools[name].acquire(
                timeout_s=STATUS_TIMEOUT_S
            ) as conn:
                self._group.learn(await fetch_status(conn, timeout_s=STATUS_TIMEOUT_S))
        except (UpstreamError, GroupError):
            self._group.forget(name)

    async def _replace(self) -> None:
        try:
            await self._promoter.replace_primary(cause="fixed time-out")
        except GroupError:
            return
