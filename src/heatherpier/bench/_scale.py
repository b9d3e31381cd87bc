"""Measures membership and configuration of many proxies in one process.

The proxies run the production code; only the transport and the clock are replaced.
Messages are encoded and decoded as on the wire, and time is virtual. The figures per
node are therefore counts of real messages and bytes, and the processor time is that
of the production code.
"""

import asyncio
import gc
import random
import time
from dataclasses import asdict, dataclass
from typing import Any

import psutil

from heatherpier.bench._memory_fleet_node import make_fleet_node, make_peers
from heatherpier.bench._memory_peers import MemoryFleet
from heatherpier.bench._platform import MemoryPlatform, PlatformLink
from heatherpier.configuration import MESSAGES as CONFIGURATION_MESSAGES
from heatherpier.configuration import Follower, Publisher, Submission
from heatherpier.fleet import MEMBERSHIP_MESSAGES, Codec, Membership, MemberState, Peer
from heatherpier.settings import Document
from heatherpier.timers import LoopTimers, Timers, VirtualTimeLoop

DATA_CENTRE_COUNT = 15
REGIONS = 6
DATA_CENTRE_NAMES = tuple(f"place-{number}" for number in range(DATA_CENTRE_COUNT))
SEED_COUNT = 3
WARM_UP_S = 20.0
MEASUREMENT_S = 60.0
CHANGE_COUNT = 5
CONVERGENCE_TIMEOUT_S = 60.0
POLL_S = 0.05
PARTITION_S = 180.0
BYTES_PER_KIB = 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class ScaleResult:
    """Figures of one run.

    Attributes:
        nodes: Count of proxies.
        messages_per_node_s: Messages that a node sends per second.
        bytes_per_node_s: Bytes that a node sends per second, without framing.
        cpu_us_per_message: Processor time of sender and receiver for each message, in
            microseconds.
        cpu_percent_per_node: Processor use of a node, in percent of one core.
        memory_kb_per_node: Memory of a node's membership and configuration state, in
            KiB.
        notice_s: Time in seconds until every node of the data centre of a stopped node
            considers that node dead.
        notice_everywhere_s: Time in seconds until every node considers it dead.
        change_in_force_s: Longest time in seconds until a change of the configuration
            is active on every node.
        rejoin_s: Time in seconds from the end of a partition until the change that was
            submitted during it is active on every node that was cut off.
        false_deaths: Count of pairs of a live node and another live node that it
            considers dead.
    """

    nodes: int
    messages_per_node_s: float
    bytes_per_node_s: float
    cpu_us_per_message: float
    cpu_percent_per_node: float
    memory_kb_per_node: float
    notice_s: float
    notice_everywhere_s: float
    change_in_force_s: float
    rejoin_s: float
    false_deaths: int

    def as_dict(self) -> dict[str, Any]:
        """Returns the figures by field name, rounded to three decimals."""
        return {
            name: round(value, 3) if isinstance(value, float) else value
            for name, value in asdict(self).items()
        }


def run_scale(*, nodes: int, seed: int) -> ScaleResult:
    """Runs one fleet under virtual time and returns its figures.

    Args:
        nodes: Count of proxies.
        seed: Seed of the run.
    """
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(_ScaleRun(nodes=nodes, seed=seed).run())
    finally:
        loop.close()


class _ScaleRun:
    """One run of a fleet."""

    def __init__(self, *, nodes: int, seed: int) -> None:
        self._timers: Timers = LoopTimers(wall_offset_s=0)
        self._rng = random.Random(seed)
        codec = Codec((*MEMBERSHIP_MESSAGES, *CONFIGURATION_MESSAGES))
        self._fleet = MemoryFleet(timers=self._timers, codec=codec, rng=self._rng)
        self._platform = MemoryPlatform(timers=self._timers)
        self._publisher = Publisher(
            tables=self._platform, objects=self._platform, timers=self._timers
        )
        self._peers = make_peers(nodes, data_centres=DATA_CENTRE_NAMES)
        self._members: dict[str, Membership] = {}
        self._followers: dict[str, Follower] = {}
        self._links: dict[str, PlatformLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._version = 0

    async def run(self) -> ScaleResult:
        before = _resident_bytes()
        for peer in self._peers:
            self._start(peer)
        await self._timers.sleep(WARM_UP_S)
        # The figures are those of a steady fleet, without the messages of its start.
        while any(node.table.pending_update_count for node in self._members.values()):
            await self._timers.sleep(WARM_UP_S)
        await self._submit()
        await self._wait_for_version(self._peers)
        gc.collect()
        memory = _resident_bytes() - before
        messages, sent_bytes, cpu_s = await self._measure_load()
        changes = [await self._measure_change() for _ in range(CHANGE_COUNT)]
        notice_s, everywhere_s = await self._measure_loss_notice()
        rejoin_s = await self._measure_rejoin()
        false_deaths = self._count_false_deaths()
        await self._close()
        count = len(self._peers)
        return ScaleResult(
            nodes=count,
            messages_per_node_s=messages / count / MEASUREMENT_S,
            bytes_per_node_s=sent_bytes / count / MEASUREMENT_S,
            cpu_us_per_message=cpu_s / messages * 1e6,
            cpu_percent_per_node=cpu_s / count / MEASUREMENT_S * 100,
            memory_kb_per_node=memory / count / BYTES_PER_KIB,
            notice_s=notice_s,
            notice_everywhere_s=everywhere_s,
            change_in_force_s=max(changes),
            rejoin_s=rejoin_s,
            false_deaths=false_deaths,
        )

    def _start(self, peer: Peer) -> None:
        node = make_fleet_node(
            peer,
            fleet=self._fleet,
            platform=self._platform,
            rng=self._rng,
            apply=_apply,
        )
        members, follower = node.members, node.follower
        self._links[peer.name] = node.link
        self._members[peer.name] = members
        self._followers[peer.name] = follower
        self._tasks[peer.name] = asyncio.create_task(
            self._run_member(members, follower)
        )

    async def _run_member(self, members: Membership, follower: Follower) -> None:
        # The starts are spread over one probe period, as VMs do not start together.
        await self._timers.sleep(self._rng.random())
        await members.join(self._peers[:SEED_COUNT])
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(members.run())
            tasks.create_task(follower.run())

    async def _measure_load(self) -> tuple[int, int, float]:
        messages, sent_bytes = self._fleet.message_count, self._fleet.byte_count
        began = time.process_time()
        await self._timers.sleep(MEASUREMENT_S)
        cpu_s = time.process_time() - began
        return (
            self._fleet.message_count - messages,
            self._fleet.byte_count - sent_bytes,
            cpu_s,
        )

    async def _submit(self) -> None:
        await self._publisher.submit(
            Submission(
                document=_make_document(self._version),
                author="scale",
                submission=f"scale-{self._version}",
                base_version=self._version,
            )
        )
        self._version += 1

    async def _measure_change(self) -> float:
        await self._submit()
        return await self._wait_for_version(self._peers)

    async def _wait_for_version(self, peers: list[Peer]) -> float:
        names = [peer.name for peer in peers if peer.name in self._tasks]
        return await self._wait(
            lambda: all(
                self._followers[name].version() == self._version for name in names
            )
        )

    async def _wait(self, condition: Any) -> float:
        began = self._timers.now()
        while not condition():
            if self._timers.now() - began > CONVERGENCE_TIMEOUT_S:
                return float("inf")
            await self._timers.sleep(POLL_S)
        return self._timers.now() - began

    async def _measure_loss_notice(self) -> tuple[float, float]:
        stopped_peer = self._peers[-1]
        self._fleet.stop(stopped_peer.name)
        self._tasks.pop(stopped_peer.name).cancel()
        same_data_centre = [
            peer
            for peer in self._peers[:-1]
            if peer.data_centre == stopped_peer.data_centre
        ]
        notice_s = await self._wait(
            lambda: self._all_consider_dead(stopped_peer, same_data_centre)
        )
        further_s = await self._wait(
            lambda: self._all_consider_dead(stopped_peer, self._peers[:-1])
        )
        return notice_s, notice_s + further_s

    def _all_consider_dead(self, stopped_peer: Peer, peers: list[Peer]) -> bool:
        return all(
            self._members[peer.name].table.state_of(stopped_peer.name)
            >= MemberState.DEAD
            for peer in peers
        )

    async def _measure_rejoin(self) -> float:
        cut_off = {f"place-{number}" for number in range(0, DATA_CENTRE_COUNT, REGIONS)}
        others = {peer.data_centre for peer in self._peers} - cut_off
        for data_centre in cut_off:
            for other in others:
                self._fleet.cut(data_centre, other)
        cut_off_peers = [peer for peer in self._peers if peer.data_centre in cut_off]
        for peer in cut_off_peers:
            self._links[peer.name].cut = True
        await self._submit()
        await self._timers.sleep(PARTITION_S)
        self._fleet.heal()
        return await self._wait_for_version(cut_off_peers)

    def _count_false_deaths(self) -> int:
        alive = set(self._tasks)
        return sum(
            member.state >= MemberState.DEAD and member.peer.name in alive
            for name in alive
            for member in self._members[name].table.members()
        )

    async def _close(self) -> None:
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        for follower in self._followers.values():
            await follower.close()


async def _apply(document: Document, version: int) -> None:
    return None


def _make_document(version: int) -> Document:
    return Document.model_validate(
        {
            "services": [
                {
                    "name": "assist-core",
                    "slots": version + 1,
                    "groups": [
                        {
                            "name": "assist-core-1",
                            "database": "assist_core_1",
                            "instances": [
                                {
                                    "name": "assist-core-1-a",
                                    "host": "10.0.0.2",
                                    "port": 3306,
                                    "data_centre": "place-0",
                                }
                            ],
                        }
                    ],
                }
            ]
        }
    )


def _resident_bytes() -> int:
    return int(psutil.Process().memory_info().rss)
