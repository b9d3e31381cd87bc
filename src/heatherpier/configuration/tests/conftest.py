"""Fixture with a fleet of followers and the platform, all in memory."""

import asyncio
import random

import pytest

from heatherpier.bench import MemoryFleet, MemoryPlatform, make_fleet_node, make_peers
from heatherpier.configuration import MESSAGES, Publisher, Submission
from heatherpier.fleet import MEMBERSHIP_MESSAGES, Codec
from heatherpier.settings import Document

DATA_CENTRES = ("north-a", "central-a", "south-a")


def make_document(*services, slots=3):
    return Document.model_validate(
        {
            "services": [
                {
                    "name": name,
                    "slots": slots,
                    "groups": [
                        {
                            "name": f"{name}-1",
                            "database": f"{name}_1",
                            "instances": [
                                {
                                    "name": f"{name}-1-a",
                                    "host": f"10.0.{number}.1",
                                    "port": 3306,
                                    "data_centre": "north-a",
                                }
                            ],
                        }
                    ],
                }
                for number, name in enumerate(services)
            ]
        }
    )


class Proxies:
    """Runs followers over a `MemoryFleet`; ``applied`` lists the versions of each."""

    def __init__(self, timers, *, count, seed=11):
        self.timers = timers
        self.rng = random.Random(seed)
        codec = Codec((*MEMBERSHIP_MESSAGES, *MESSAGES))
        self.fleet = MemoryFleet(timers=timers, codec=codec, rng=self.rng)
        self.platform = MemoryPlatform(timers=timers)
        self.publisher = Publisher(
            tables=self.platform, objects=self.platform, timers=timers
        )
        self.followers = {}
        self.links = {}
        self.applied = {}
        self.tasks = {}
        self.peers = make_peers(count, data_centres=DATA_CENTRES)

    def start(self, peer):
        self.applied[peer.name] = []

        async def apply(document, version):
            self.applied[peer.name].append(version)

        node = make_fleet_node(
            peer,
            fleet=self.fleet,
            platform=self.platform,
            rng=self.rng,
            apply=apply,
        )
        members, follower = node.members, node.follower
        self.links[peer.name] = node.link
        self.followers[peer.name] = follower
        self.tasks[peer.name] = asyncio.create_task(self._run(members, follower))

    async def _run(self, members, follower):
        await members.join(self.peers)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(members.run())
            tasks.create_task(follower.run())

    async def submit(self, document, *, submission, base_version):
        return await self.publisher.submit(
            Submission(
                document=document,
                author="mai",
                submission=submission,
                base_version=base_version,
            )
        )

    def versions(self):
        return {follower.version() for follower in self.followers.values()}

    async def close(self):
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        for follower in self.followers.values():
            await follower.close()


@pytest.fixture
async def proxies(timers):
    made = Proxies(timers, count=12)
    for peer in made.peers:
        made.start(peer)
    await timers.sleep(5)
    yield made
    await made.close()
