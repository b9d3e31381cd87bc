"""Fixture with a fleet of memberships on an in-memory network."""

import asyncio
import random

import pytest

from heatherpier.bench import MemoryFleet, make_peers
from heatherpier.fleet import Codec, Membership
from heatherpier.fleet._membership import MEMBERSHIP_MESSAGES

DATA_CENTRES = ("north-a", "central-a", "south-a")


class RunningFleet:
    """Runs memberships over a `MemoryFleet`, one task per proxy."""

    def __init__(self, timers, *, count, seed=7):
        self.timers = timers
        self.rng = random.Random(seed)
        self.fleet = MemoryFleet(
            timers=timers, codec=Codec(MEMBERSHIP_MESSAGES), rng=self.rng
        )
        self.nodes = {}
        self.tasks = {}
        self.versions = {}
        self.peers = make_peers(count, data_centres=DATA_CENTRES)

    async def start(self, peer, *, incarnation=1, seeds=None):
        node = Membership(
            peer,
            network=self.fleet.network(peer),
            timers=self.timers,
            rng=self.rng,
            incarnation=incarnation,
            version=lambda: self.versions.get(peer.name, 0),
            on_version=lambda _, version: self.versions.__setitem__(
                peer.name, max(version, self.versions.get(peer.name, 0))
            ),
        )
        self.nodes[peer.name] = node
        self.tasks[peer.name] = asyncio.create_task(self._run(node, seeds))

    async def _run(self, node, seeds):
        await node.join(self.peers if seeds is None else seeds)
        await node.run()

    def kill(self, name):
        self.fleet.stop(name)
        self.tasks.pop(name).cancel()
        self.nodes.pop(name)

    def views(self):
        return {
            name: sorted(peer.name for peer in node.alive())
            for name, node in self.nodes.items()
        }

    async def close(self):
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)


@pytest.fixture
async def running(timers):
    made = RunningFleet(timers, count=12)
    for peer in made.peers:
        await made.start(peer)
    await timers.sleep(5)
    yield made
    await made.close()
