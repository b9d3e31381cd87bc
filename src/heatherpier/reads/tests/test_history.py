"""Random histories of sessions on three proxies while the group has faults."""

import asyncio
import random

import pytest

from heatherpier.requests import FinalError
from heatherpier.sessions import SessionPositions

SEEDS = range(12)
STEPS = 60
SESSIONS = 4


class RoamingSession:
    """A session that checks each read against the rows it has written and read."""

    def __init__(self, number, clients, rng):
        self.number = number
        self.clients = clients
        self.rng = rng
        self.token = None
        self.expected = set()
        self.served = 0
        self.violations = []

    async def step(self, count):
        client = self.rng.choice(self.clients)
        hints = {"session": f"s{self.number}", "deadline_ms": "800"}
        if self.token:
            hints["token"] = self.token
        value = self.number * 1000 + count
        try:
            if self.rng.random() < 0.4:
                await client.run(f"INSERT INTO t VALUES ({value})", **hints)
                self.expected.add(value)
            else:
                seen = {row[0] for row in await client.run("SELECT v FROM t", **hints)}
                if missing := self.expected - seen:
                    self.violations.append((count, sorted(missing)))
                self.expected |= seen
                self.served += 1
        except FinalError:
            return
        self.token = await client.token()


async def inject_faults(cluster, rng):
    """Injects random faults into the group and ends them, until it is cancelled."""
    instances, network = cluster.memory.instances, cluster.memory.network
    while True:
        await cluster.timers.sleep(rng.uniform(0.1, 0.6))
        target = rng.choice(instances)
        match rng.randrange(7):
            case 0:
                target.faults.lag_ms = rng.choice([5, 50, 400])
            case 1:
                target.faults.replication_stopped = True
                await cluster.timers.sleep(rng.uniform(0.1, 0.8))
                target.faults.replication_stopped = False
            case 2:
                target.pause()
                await cluster.timers.sleep(rng.uniform(0.1, 0.8))
                target.resume()
            case 3:
                network.crash(target.name)
                await cluster.timers.sleep(rng.uniform(0.1, 0.8))
                network.restart(target.name)
            case 4:
                peer = rng.choice(["proxy-0", "proxy-1", "proxy-2"])
                network.cut(peer, target.name)
                await cluster.timers.sleep(rng.uniform(0.1, 0.8))
                network.heal(peer, target.name)
            case 5 | 6:
                await change_primary(cluster, rng, instances)


async def change_primary(cluster, rng, instances):
    """Fences two instances and promotes the one with the higher position.

    A proposer does the same. The third instance follows the new primary later.
    """
    voters = rng.sample(range(3), 2)
    new_primary = max(voters, key=lambda number: instances[number].position)
    await cluster.change_primary(new_primary, voters=voters)
    await cluster.timers.sleep(rng.uniform(0, 0.5))
    left_out = next(
        item for number, item in enumerate(instances) if number not in voters
    )
    new = instances[new_primary]
    left_out.follow(new.adopted_term, new.name)


async def refresh(client):
    while True:
        await client.group.refresh()
        await client.timers.sleep(0.2)


async def run_history(cluster, seed):
    rng = random.Random(seed)
    clients = [
        cluster.client(f"proxy-{number}", location=number) for number in range(3)
    ]
    tasks = [asyncio.create_task(refresh(client)) for client in clients]
    tasks.append(asyncio.create_task(inject_faults(cluster, rng)))
    sessions = [RoamingSession(n, clients, rng) for n in range(1, SESSIONS + 1)]

    async def run_steps(session):
        for count in range(STEPS):
            await session.step(count)
            await cluster.timers.sleep(rng.uniform(0, 0.1))

    await asyncio.gather(*(run_steps(session) for session in sessions))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    violations = [item for session in sessions for item in session.violations]
    return violations, sum(session.served for session in sessions)


@pytest.mark.parametrize("seed", SEEDS)
async def test_sessions_see_their_writes_and_never_read_older_data(cluster, seed):
    violations, served = await run_history(cluster, seed)
    assert violations == []
    assert served > SESSIONS


async def test_histories_detect_a_proxy_that_forgets_minimum_positions(
    cluster, monkeypatch
):
    monkeypatch.setattr(SessionPositions, "advance", lambda self, group, position: None)
    monkeypatch.setattr(
        SessionPositions, "min_position", lambda self, group: cluster.initial_position
    )
    violations, _ = await run_history(cluster, 1)
    assert violations
