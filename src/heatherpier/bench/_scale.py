"""Runs the real membership and configuration code of many proxies in one process.

Only the transport and the clock are replaced: messages are encoded and decoded
as on the wire, and time is virtual. Figures per node are therefore counts of
real messages and bytes, and processor time is that of the real code.
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

DATA_CENTRES = 15
REGIONS = 6
PLACES = tuple(f"place-{number}" for number in range(DATA_CENTRES))
SEEDS = 3
WARM_UP_S = 20.0
MEASURED_S = 60.0
CHANGES = 5
LIMIT_S = 60.0
STEP_S = 0.05
CUT_S = 180.0
KB = 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class ScaleResult:
    """Figures of one run.

    Attributes:
        nodes: Count of proxies.
        messages_per_node_s: Messages that a node sends in a second.
        bytes_per_node_s: Bytes that a node sends in a second, without framing.
        cpu_us_per_message: Processor time of a message in microseconds, both ends.
        cpu_percent_per_node: Share of a core that control takes on a node.
        memory_kb_per_node: Memory of a node's control state in KB.
        notice_s: Time until every node of the data centre knew of a loss.
        notice_everywhere_s: Time until every node knew of it.
        change_in_force_s: Worst time of a change of configuration to reach all.
        rejoin_s: Time until a region that was cut off had a change made meanwhile.
        false_deaths: Live members that any node held for dead.
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
        """Returns the figures by name, rounded for people."""
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
        return loop.run_until_complete(_Scale(nodes=nodes, seed=seed).run())
    finally:
        loop.close()


class _Scale:
    """One run."""

    def __init__(self, *, nodes: int, seed: int) -> None:
        self._timers: Timers = LoopTimers(wall_offset_s=0)
        self._rng = random.Random(seed)
        codec = Codec((*MEMBERSHIP_MESSAGES, *CONFIGURATION_MESSAGES))
        self._fleet = MemoryFleet(timers=self._timers, codec=codec, rng=self._rng)
        self._platform = MemoryPlatform(timers=self._timers)
        self._publisher = Publisher(
            tables=self._platform, objects=self._platform, timers=self._timers
        )
        self._peers = make_peers(nodes, data_centres=PLACES)
        self._members: dict[str, Membership] = {}
        self._followers: dict[str, Follower] = {}
        self._links: dict[str, PlatformLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._version = 0

    async def run(self) -> ScaleResult:
        before = _rss()
        for peer in self._peers:
            self._start(peer)
        await self._timers.sleep(WARM_UP_S)
        # Figures are those of a fleet at rest, not of its first start.
        while any(node.table.pending_update_count for node in self._members.values()):
            await self._timers.sleep(WARM_UP_S)
        await self._submit()
        await self._wait_for_version(self._peers)
        gc.collect()
        memory = _rss() - before
        messages, size, cpu_s = await self._measure()
        changes = [await self._time_change() for _ in range(CHANGES)]
        notice_s, everywhere_s = await self._time_loss()
        rejoin_s = await self._time_rejoin()
        false_deaths = self._count_false_deaths()
        await self._close()
        count = len(self._peers)
        return ScaleResult(
            nodes=count,
            messages_per_node_s=messages / count / MEASURED_S,
            bytes_per_node_s=size / count / MEASURED_S,
            cpu_us_per_message=cpu_s / messages * 1e6,
            cpu_percent_per_node=cpu_s / count / MEASURED_S * 100,
            memory_kb_per_node=memory / count / KB,
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
        self._tasks[peer.name] = asyncio.create_task(self._live(members, follower))

    async def _live(self, members: Membership, follower: Follower) -> None:
        # Starts are spread over a probe period, as those of VMs are.
        await self._timers.sleep(self._rng.random())
        await members.join(self._peers[:SEEDS])
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(members.run())
            tasks.create_task(follower.run())

    async def _measure(self) -> tuple[int, int, float]:
        messages, size = self._fleet.message_count, self._fleet.byte_count
        began = time.process_time()
        await self._timers.sleep(MEASURED_S)
        cpu_s = time.process_time() - began
        return (
            self._fleet.message_count - messages,
            self._fleet.byte_count - size,
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

    async def _time_change(self) -> float:
        await self._submit()
        return await self._wait_for_version(self._peers)

    async def _wait_for_version(self, peers: list[Peer]) -> float:
        names = [peer.name for peer in peers if peer.name in self._tasks]
        return await self._wait(
            lambda: all(
                self._followers[name].version() == self._version for name in names
            )
        )

    async def _wait(self, reached: Any) -> float:
        began = self._timers.now()
        while not reached():
            if self._timers.now() - began > LIMIT_S:
                return float("inf")
            await self._timers.sleep(STEP_S)
        return self._timers.now() - began

    async def _time_loss(self) -> tuple[float, float]:
        lost = self._peers[-1]
        self._fleet.stop(lost.name)
        self._tasks.pop(lost.name).cancel()
        near = [
            peer for peer in self._peers[:-1] if peer.data_centre == lost.data_centre
        ]
        notice_s = await self._wait(lambda: self._all_know(lost, near))
        rest_s = await self._wait(lambda: self._all_know(lost, self._peers[:-1]))
        return notice_s, notice_s + rest_s

    def _all_know(self, lost: Peer, peers: list[Peer]) -> bool:
        return all(
            self._members[peer.name].table.state_of(lost.name) >= MemberState.DEAD
            for peer in peers
        )

    async def _time_rejoin(self) -> float:
        cut_off = {f"place-{number}" for number in range(0, DATA_CENTRES, REGIONS)}
        others = {peer.data_centre for peer in self._peers} - cut_off
        for place in cut_off:
            for other in others:
                self._fleet.cut(place, other)
        inside = [peer for peer in self._peers if peer.data_centre in cut_off]
        for peer in inside:
            self._links[peer.name].cut = True
        await self._submit()
        await self._timers.sleep(CUT_S)
        self._fleet.heal()
        return await self._wait_for_version(inside)

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


def _rss() -> int:
    return int(psutil.Process().memory_info().rss)
