"""Measures the rate limits of organisations with many proxies in one process.

Gates, allocators and messages are the real ones; all proxies share one copy of the
members' table, and time is virtual.
"""

import asyncio
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import logbook
from prometheus_client import CollectorRegistry

from heatherpier.bench._memory_peers import MemoryFleet
from heatherpier.fleet import Codec, Peer
from heatherpier.leases import FLEET_TABLE, MEMBER_PREFIX, FleetView, encode_member
from heatherpier.quotas import (
    QUOTA_MESSAGES,
    FleetRows,
    LossPolicy,
    QuotaGate,
    QuotaMetrics,
    QuotaPolicy,
    Rate,
    Right,
    first_allocators,
)
from heatherpier.routing import ActiveRoutes, Organisation, RoutingTable
from heatherpier.tables import Changes, Row, TableCopy
from heatherpier.timers import LoopTimers, VirtualTimeLoop

DATA_CENTRES = 6
# Time after which the rows of members in a new deployment have stood long enough.
SETTLE_S = 5.0
LOAD_S = 20.0
# Longest wait for a right, a quarter of a latency objective of 0.5 s.
WAIT_S = 0.125
USUAL_ORGANISATIONS = 20
# Time after which allocators that are cut off are removed from the members.
REMOVAL_S = 2.0


@dataclass(slots=True, kw_only=True)
class _Load:
    """Operations of one kind of organisation.

    Attributes:
        names: Names of the organisations.
        limit: Rate limit of each.
        asked: Fraction of the limit that arrives.
        one_proxy: Whether all operations arrive at one proxy, else at random ones.
        admitted_at: Times of admission in seconds, by organisation.
        refused: Count of refused operations.
    """

    names: list[str]
    limit: Rate
    asked: float
    one_proxy: bool = False
    admitted_at: dict[str, list[float]] = field(default_factory=dict)
    refused: int = 0

    @property
    def served(self) -> int:
        """Count of admitted operations."""
        return sum(len(times) for times in self.admitted_at.values())

    def as_dict(self, *, missing: int) -> dict[str, Any]:
        """Returns the figures.

        Args:
            missing: Number of allocators whose shares others may make up for.
        """
        asked = self.served + self.refused
        return {
            "operations": asked,
            "served": self.served,
            "share_served": round(self.served / asked, 4),
            "served_of_limit": round(
                self.served / (self.limit.per_s * LOAD_S * len(self.names)), 4
            ),
            "worst_window_minus_bound": round(
                max(
                    _excess(times, self.limit, missing)
                    for times in self.admitted_at.values()
                ),
                2,
            ),
        }


def _make_loads() -> dict[str, _Load]:
    large, small = Rate(100.0, 100.0), Rate(10.0, 10.0)
    return {
        "0.95 of the limit at one proxy": _Load(
            names=["single"], limit=large, asked=0.95, one_proxy=True
        ),
        "0.95 of the limit everywhere": _Load(
            names=["spread"], limit=large, asked=0.95
        ),
        "7.5 times the limit": _Load(names=["hot"], limit=Rate(20.0, 20.0), asked=7.5),
        "0.62 of the limit": _Load(
            names=[f"usual-{number}" for number in range(USUAL_ORGANISATIONS)],
            limit=small,
            asked=0.62,
        ),
    }


def run_quotas(
    *, proxies: int, seed: int, lost: int = 0, loss: LossPolicy | None = None
) -> dict[str, Any]:
    """Runs one fleet under virtual time and returns its figures.

    Args:
        proxies: Count of proxies.
        seed: Seed of the run.
        lost: Count of allocators that are cut off when the load begins, and removed
            `REMOVAL_S` later.
        loss: What allocators create while others are missing; by default as the
            product.
    """
    loop = VirtualTimeLoop()
    try:
        with logbook.NullHandler().applicationbound():
            policy = QuotaPolicy() if loss is None else QuotaPolicy(loss=loss)
            return loop.run_until_complete(_run(proxies, seed, lost, policy))
    finally:
        loop.close()


async def _run(
    proxies: int, seed: int, lost: int, policy: QuotaPolicy
) -> dict[str, Any]:
    return await _QuotaRun(proxies, seed, lost=lost, policy=policy).run()


class _QuotaRun:
    def __init__(
        self, proxies: int, seed: int, *, lost: int, policy: QuotaPolicy
    ) -> None:
        self._policy = policy
        self._timers = LoopTimers(wall_offset_s=0)
        self._rng = random.Random(seed)
        self._fleet = MemoryFleet(
            timers=self._timers, codec=Codec(QUOTA_MESSAGES), rng=self._rng
        )
        self._copy = TableCopy(FLEET_TABLE, timers=self._timers)
        self._view = FleetView(self._copy, timers=self._timers)
        self._peers = [
            Peer(
                name=f"proxy-{number}",
                host=f"proxy-{number}",
                port=7000,
                data_centre=f"place-{number % DATA_CENTRES}",
            )
            for number in range(proxies)
        ]
        self._loads = _make_loads()
        self._routes = ActiveRoutes()
        self._routes.replace_if_newer(_make_table(self._loads))
        self._gates = [self._make_gate(peer) for peer in self._peers]
        first = first_allocators([peer.name for peer in self._peers])
        self._lost = set(first[:lost])
        # Callers are at the other proxies.
        self._present = [
            gate
            for gate, peer in zip(self._gates, self._peers, strict=True)
            if peer.name not in self._lost
        ]
        self._removed = False

    def _make_gate(self, me: Peer) -> QuotaGate:
        return QuotaGate(
            me,
            network=self._fleet.network(me),
            rows=FleetRows(me, view=self._view, timers=self._timers),
            routes=self._routes,
            distance=lambda name: int(name != me.data_centre),
            timers=self._timers,
            metrics=QuotaMetrics(CollectorRegistry()),
            policy=self._policy,
        )

    async def run(self) -> dict[str, Any]:
        """Runs the loads and returns the figures."""
        tasks = [asyncio.create_task(gate.run()) for gate in self._gates]
        tasks.append(asyncio.create_task(self._refresh()))
        await self._timers.sleep(SETTLE_S)
        for name in self._lost:
            self._fleet.stop(name)
        tasks.append(asyncio.create_task(self._remove_lost()))
        messages, began = self._fleet.message_count, time.process_time()
        await asyncio.gather(
            *(
                self._send(load, name)
                for load in self._loads.values()
                for name in load.names
            )
        )
        cpu_s = time.process_time() - began
        messages = self._fleet.message_count - messages
        for task in tasks:
            task.cancel()
        for gate in self._gates:
            gate.close()
        operations = sum(item.served + item.refused for item in self._loads.values())
        return {
            "proxies": len(self._peers),
            "messages_per_operation": round(messages / operations, 3),
            "cpu_us_per_operation": round(cpu_s / operations * 1e6, 1),
            "loads": {
                kind: load.as_dict(missing=len(self._lost))
                for kind, load in self._loads.items()
            },
        }

    async def _remove_lost(self) -> None:
        await self._timers.sleep(REMOVAL_S)
        self._removed = True

    async def _refresh(self) -> None:
        """Keeps the copy of the members' table fresh."""
        rows = tuple(
            Row(
                key=MEMBER_PREFIX + peer.name,
                version=number + 1,
                body=encode_member(peer),
            )
            for number, peer in enumerate(self._peers)
        )
        async for _ in self._timers.every(1.0):
            as_of = self._timers.elapsed()
            version = len(self._peers)
            if self._removed:
                rows, version = self._removals(version), version + len(self._lost)
            changes = Changes(rows=rows, version=version, as_of=as_of)
            if self._copy.version:
                self._copy.apply(changes)
            else:
                self._copy.apply_from_beginning(changes)

    def _removals(self, version: int) -> tuple[Row, ...]:
        return tuple(
            Row(key=MEMBER_PREFIX + name, version=version + number, body=None)
            for number, name in enumerate(sorted(self._lost), start=1)
        )

    async def _send(self, load: _Load, name: str) -> None:
        """Sends the operations of one organisation, in a Poisson process."""
        load.admitted_at[name] = []
        per_s = load.limit.per_s * load.asked
        until = self._timers.now() + LOAD_S
        home = self._rng.choice(self._present)
        tasks = []
        while self._timers.now() < until:
            await self._timers.sleep(self._rng.expovariate(per_s))
            gate = home if load.one_proxy else self._rng.choice(self._present)
            tasks.append(asyncio.create_task(self._admit(gate, load, name)))
        await asyncio.gather(*tasks)

    async def _admit(self, gate: QuotaGate, load: _Load, name: str) -> None:
        answer = await gate.admit(name, deadline=self._timers.now() + WAIT_S)
        if isinstance(answer, Right):
            load.admitted_at[name].append(self._timers.now())
        else:
            load.refused += 1


def _make_table(loads: dict[str, _Load]) -> RoutingTable:
    organisations = {
        name: Organisation(
            name=name, rate_per_s=load.limit.per_s, burst=load.limit.burst
        )
        for load in loads.values()
        for name in load.names
    }
    return RoutingTable(version=1, organisations=organisations)


def _excess(times: list[float], limit: Rate, missing: int) -> float:
    """Returns the worst window's count of operations less its bound."""
    return max(_excesses(times, limit, missing), default=0.0)


def _excesses(times: list[float], limit: Rate, missing: int) -> Iterator[float]:
    for first, start in enumerate(times):
        for last in range(first, len(times)):
            bound = limit.max_operations(times[last] - start, missing=missing)
            yield last - first + 1 - bound
