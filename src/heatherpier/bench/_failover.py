"""Loses primaries under virtual time while callers write all the time."""

import asyncio
import random
from dataclasses import dataclass, field, replace
from enum import Enum
from itertools import pairwise

from heatherpier.bench._baseline import start_fixed_timeout_watcher
from heatherpier.bench._cluster import MemoryGroup, start_memory_group
from heatherpier.bench._directory import MemoryDirectory
from heatherpier.bench._instance import Instance
from heatherpier.bench._writing_caller import (
    STATEMENT_S,
    WRITE_BUDGET_S,
    WRITE_PERIOD_S,
    WritingCaller,
)
from heatherpier.groups import (
    Group,
    NotAcknowledgedError,
)
from heatherpier.timers import Timers

REGION_DELAY_S = 0.012
LAG_MS = 50
WARM_UP_S = 2.0
# The loss comes at a random time within this span after the warm-up.
LOSS_WINDOW_S = 1.0
MAX_GAP_S = 20.0
SETTLE_S = 6.0


class Loss(Enum):
    """Kinds of loss of a primary."""

    CRASH = "crash"
    PAUSE = "pause"
    CUT_FROM_ALL = "cut from all"
    CUT_FROM_PROXIES = "cut from proxies"
    CUT_FROM_REPLICAS = "cut from replicas"


@dataclass(slots=True)
class FailoverCluster:
    """A group that several proxies watch, each with a writing caller.

    Attributes:
        group: The instances and their network.
        views: The group as each proxy sees it.
        callers: The writing caller of each proxy.
        directory: Where proxies record promotions.
        proxies: Names of the proxies.
    """

    group: MemoryGroup
    views: list[Group]
    callers: list[WritingCaller]
    directory: MemoryDirectory
    proxies: list[str]
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def instance(self, name: str) -> Instance:
        """Returns the instance named ``name``."""
        return self.group.network.instances[name]

    def primary(self) -> Instance:
        """Returns the instance that is the primary in the highest term."""
        leaders = [item for item in self.group.instances if item.status().leads()]
        return max(leaders, key=lambda item: item.adopted_term)

    def lose(self, loss: Loss, name: str) -> None:
        """Injects the fault ``loss`` into the instance named ``name``."""
        network = self.group.network
        match loss:
            case Loss.CRASH:
                network.crash(name)
            case Loss.PAUSE:
                self.instance(name).pause()
            case Loss.CUT_FROM_ALL:
                self._cut(name, self.proxies + self._others(name))
            case Loss.CUT_FROM_PROXIES:
                self._cut(name, self.proxies)
            case Loss.CUT_FROM_REPLICAS:
                self._cut(name, self._others(name))

    def restore(self, name: str) -> None:
        """Removes every fault of the instance named ``name``."""
        network = self.group.network
        network.restart(name)
        self.instance(name).resume()
        self.instance(name).faults.replication_stopped = False
        for peer in self.proxies + self._others(name):
            network.heal(peer, name)

    def leave(self, name: str) -> None:
        """Marks the instance as leaving in the configuration of every proxy."""
        for view in self.views:
            instances = tuple(
                replace(item, leaving=item.leaving or item.name == name)
                for item in view.spec.instances
            )
            view.spec = replace(view.spec, instances=instances)

    def longest_stall_s(self) -> float:
        """Returns the longest time in seconds without an acknowledgement to a caller.

        The time since a caller's last acknowledgement counts too.
        """
        now = self.group.network.timers.now()
        moments = [[w.at for w in c.acknowledged] + [now] for c in self.callers]
        return max(late - early for times in moments for early, late in pairwise(times))

    def lost_writes(self) -> list[str]:
        """Returns the acknowledged writes that are not in the current primary's log."""
        log = self.primary().log
        statements_by_position = {
            (entry.term, entry.index): entry.statements for entry in log
        }
        return [
            write.value
            for caller in self.callers
            for write in caller.acknowledged
            if write.value
            not in str(
                statements_by_position.get((write.position.term, write.position.index))
            )
        ]

    def resumed_at(self, *, after_term: int) -> float | None:
        """Returns when every caller had a write acknowledged in a later term.

        Args:
            after_term: Term of the lost primary.

        Returns:
            Monotonic time in seconds of the last caller's first such write, or
            None while a caller has none.
        """
        first_times = [
            next(
                (w.at for w in caller.acknowledged if w.position.term > after_term),
                None,
            )
            for caller in self.callers
        ]
        known_times = [first for first in first_times if first is not None]
        return max(known_times) if len(known_times) == len(first_times) else None

    async def until_resumed(self, *, after_term: int) -> float:
        """Waits until every caller had a write acknowledged in a later term.

        Args:
            after_term: Term of the lost primary.

        Returns:
            Monotonic time in seconds of the last caller's first such write.

        Raises:
            NotAcknowledgedError: Writes did not resume within `MAX_GAP_S`.
        """
        timers = self.group.network.timers
        timeout_at = timers.now() + MAX_GAP_S
        while (resumed_at := self.resumed_at(after_term=after_term)) is None:
            if timers.now() > timeout_at:
                raise NotAcknowledgedError(
                    f"no write acknowledged in a term after {after_term} "
                    f"within {MAX_GAP_S:.0f} s"
                )
            await timers.sleep(WRITE_PERIOD_S)
        return resumed_at

    def _others(self, name: str) -> list[str]:
        return [item.name for item in self.group.instances if item.name != name]

    def _cut(self, name: str, peers: list[str]) -> None:
        for peer in peers:
            self.group.network.cut(peer, name)

    async def close(self) -> None:
        """Stops the callers and closes the group."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.group.close()


async def start_failover_cluster(
    timers: Timers,
    *,
    proxies: int = 4,
    connections: int = 4,
    baseline: bool = False,
    ranked: bool = True,
) -> FailoverCluster:
    """Starts a group, a watcher for each proxy and a writing caller for each.

    Args:
        timers: Timer service.
        proxies: Count of proxies.
        connections: Connections of each proxy to each instance.
        baseline: Whether proxies detect a loss by a fixed timeout alone.
        ranked: Has no effect: proposers always delay their proposals by rank.
    """
    group = start_memory_group(timers, lag_ms=LAG_MS)
    group.network.delay_s = REGION_DELAY_S
    directory = MemoryDirectory(timers=timers)
    names = [f"proxy-{number + 1}" for number in range(proxies)]
    views = [
        start_fixed_timeout_watcher(group, name, rank=rank, connections=connections)
        if baseline
        else group.watch(name, rank=rank, connections=connections, directory=directory)
        for rank, name in enumerate(names)
    ]
    callers = [
        WritingCaller(name, view, timers=timers)
        for name, view in zip(names, views, strict=True)
    ]
    cluster = FailoverCluster(group, views, callers, directory, names)
    await _create_table(views[0], timers)
    cluster._tasks = [asyncio.create_task(caller.run()) for caller in callers]
    return cluster


async def _create_table(view: Group, timers: Timers) -> None:
    primary = await view.wait_for_primary(deadline=timers.now() + WRITE_BUDGET_S)
    async with view.pools[primary.instance].acquire(timeout_s=STATEMENT_S) as conn:
        await conn.execute(
            "CREATE TABLE claims (value VARCHAR(64) PRIMARY KEY)",
            timeout_s=STATEMENT_S,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class LossResult:
    """Result of one loss of a primary.

    Attributes:
        loss: Kind of loss.
        gap_s: Time in seconds from the loss until the callers of all proxies had a
            write acknowledged again.
        lost: Count of acknowledged writes that the group lost.
    """

    loss: Loss
    gap_s: float
    lost: int


async def measure_loss(
    timers: Timers,
    loss: Loss,
    *,
    seed: int,
    proxies: int = 4,
    connections: int = 4,
    store_down: bool = False,
    baseline: bool = False,
) -> LossResult:
    """Loses a primary once and measures the failover gap.

    Args:
        timers: Timer service.
        loss: Kind of loss.
        seed: Seed of the random time of the loss.
        proxies: Count of proxies.
        connections: Connections of each proxy to each instance.
        store_down: Whether the directory is down during the whole run.
        baseline: Whether proxies detect a loss by a fixed timeout alone.

    Raises:
        NotAcknowledgedError: Writes did not resume within `MAX_GAP_S`.
    """
    cluster = await start_failover_cluster(
        timers, proxies=proxies, connections=connections, baseline=baseline
    )
    cluster.directory.faults.down = store_down
    try:
        await timers.sleep(WARM_UP_S + random.Random(seed).random() * LOSS_WINDOW_S)
        old = cluster.primary()
        term, lost_at = old.adopted_term, timers.now()
        cluster.lose(loss, old.name)
        resumed_at = await cluster.until_resumed(after_term=term)
        cluster.restore(old.name)
        await timers.sleep(SETTLE_S)
        lost = len(cluster.lost_writes())
        return LossResult(loss=loss, gap_s=resumed_at - lost_at, lost=lost)
    finally:
        await cluster.close()


async def measure_handover(timers: Timers, *, proxies: int, connections: int) -> float:
    """Marks the primary as leaving; returns the longest stall of a caller in seconds.

    Args:
        timers: Timer service.
        proxies: Count of proxies.
        connections: Connections of each proxy to each instance.

    Raises:
        NotAcknowledgedError: The primary was not replaced within `SETTLE_S`.
    """
    cluster = await start_failover_cluster(
        timers, proxies=proxies, connections=connections
    )
    try:
        await timers.sleep(WARM_UP_S)
        old = cluster.primary()
        cluster.leave(old.name)
        await timers.sleep(SETTLE_S)
        if cluster.primary() is old:
            raise NotAcknowledgedError(f"{old.name} is still the primary")
        return cluster.longest_stall_s()
    finally:
        await cluster.close()
