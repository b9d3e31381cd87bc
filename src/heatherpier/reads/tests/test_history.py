"""Random histories: sessions roam over three proxies while the group fails."""

import asyncio
import random

import pytest

from heatherpier.requests import FinalError
from heatherpier.sessions import SessionPositions

SEEDS = range(12)
STEPS = 60
SESSIONS = 4


class Roamer:
    """A session that checks each read against what it has written and seen."""

    def __init__(self, number, desks, rng):
        self.number = number
        self.desks = desks
        self.rng = rng
        self.token = None
        self.owed = set()
        self.served = 0
        self.violations = []

    async def step(self, count):
        desk = self.rng.choice(self.desks)
        hints = {"session": f"s{self.number}", "deadline_ms": "800"}
        if self.token:
            hints["token"] = self.token
        value = self.number * 1000 + count
        try:
            if self.rng.random() < 0.4:
                await desk.run(f"INSERT INTO t VALUES ({value})", **hints)
                self.owed.add(value)
            else:
                seen = {row[0] for row in await desk.run("SELECT v FROM t", **hints)}
                if missing := self.owed - seen:
                    self.violations.append((count, sorted(missing)))
                self.owed |= seen
                self.served += 1
        except FinalError:
            return
        self.token = await desk.token()


async def disturb(field, rng):
    """Breaks and mends the group for as long as the task runs."""
    instances, network = field.memory.instances, field.memory.network
    while True:
        await field.timers.sleep(rng.uniform(0.1, 0.6))
        victim = rng.choice(instances)
        match rng.randrange(7):
            case 0:
                victim.faults.lag_ms = rng.choice([5, 50, 400])
            case 1:
                victim.faults.replication_stopped = True
                await field.timers.sleep(rng.uniform(0.1, 0.8))
                victim.faults.replication_stopped = False
            case 2:
                victim.pause()
                await field.timers.sleep(rng.uniform(0.1, 0.8))
                victim.resume()
            case 3:
                network.crash(victim.name)
                await field.timers.sleep(rng.uniform(0.1, 0.8))
                network.restart(victim.name)
            case 4:
                peer = rng.choice(["proxy-0", "proxy-1", "proxy-2"])
                network.cut(peer, victim.name)
                await field.timers.sleep(rng.uniform(0.1, 0.8))
                network.heal(peer, victim.name)
            case 5 | 6:
                await change_primary(field, rng, instances)


async def change_primary(field, rng, instances):
    """Fences two instances and promotes the further one, as a proposer does."""
    voters = rng.sample(range(3), 2)
    furthest = max(voters, key=lambda place: instances[place].position)
    await field.change_primary(furthest, voters=voters)
    await field.timers.sleep(rng.uniform(0, 0.5))
    left_out = next(item for place, item in enumerate(instances) if place not in voters)
    new = instances[furthest]
    left_out.follow(new.adopted_term, new.name)


async def refresh(desk):
    while True:
        await desk.group.refresh()
        await desk.timers.sleep(0.2)


async def play(field, seed):
    rng = random.Random(seed)
    desks = [field.desk(f"proxy-{place}", place=place) for place in range(3)]
    tasks = [asyncio.create_task(refresh(desk)) for desk in desks]
    tasks.append(asyncio.create_task(disturb(field, rng)))
    roamers = [Roamer(n, desks, rng) for n in range(1, SESSIONS + 1)]

    async def roam(roamer):
        for count in range(STEPS):
            await roamer.step(count)
            await field.timers.sleep(rng.uniform(0, 0.1))

    await asyncio.gather(*(roam(roamer) for roamer in roamers))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    violations = [item for roamer in roamers for item in roamer.violations]
    return violations, sum(roamer.served for roamer in roamers)


@pytest.mark.parametrize("seed", SEEDS)
async def test_sessions_see_their_writes_and_never_go_back(field, seed):
    violations, served = await play(field, seed)
    assert violations == []
    assert served > SESSIONS


async def test_histories_find_a_proxy_that_forgets_floors(field, monkeypatch):
    monkeypatch.setattr(SessionPositions, "advance", lambda self, group, position: None)
    monkeypatch.setattr(
        SessionPositions, "min_position", lambda self, group: field.first_position
    )
    violations, _ = await play(field, 1)
    assert violations
