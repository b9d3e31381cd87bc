"""Tests the real code under random schedules of faults, in virtual time."""

import random

import pytest

from heatherpier.bench import Loss
from heatherpier.groups import _promoter
from heatherpier.groups._acknowledgement import Acknowledger

SEEDS = range(8)
EVENTS = 12
MAX_PAUSE_S = 1.5
CONVERGE_S = 12.0
CONTROL_STATEMENTS = ("CALL group_adopt_term", "CALL group_promote", "CALL group_wait")


def inject_fault(cluster, rng):
    name = rng.choice(cluster.group.instances).name
    match rng.randrange(8):
        case 0 | 1:
            cluster.lose(rng.choice(list(Loss)), name)
        case 2:
            cluster.restore(name)
        case 3:
            cluster.group.network.cut(rng.choice(cluster.proxies), name)
        case 4:
            statement = rng.choice(CONTROL_STATEMENTS)
            cluster.instance(name).faults.lose_answers_to[statement] = 2
        case 5:
            cluster.directory.faults.down = rng.random() < 0.5
        case 6 | 7:
            cluster.instance(name).faults.replication_stopped = True


async def run_schedule(cluster, timers, seed):
    rng = random.Random(seed)
    for _ in range(EVENTS):
        inject_fault(cluster, rng)
        await timers.sleep(rng.random() * MAX_PAUSE_S)
    for instance in cluster.group.instances:
        cluster.restore(instance.name)
    await timers.sleep(CONVERGE_S)


def find_violations(cluster):
    values = {}
    for caller in cluster.callers:
        for write in caller.acknowledged:
            values.setdefault(write.position, set()).add(write.value)
    doubled = [position for position, found in values.items() if len(found) > 1]
    return cluster.lost_writes() + doubled


@pytest.mark.parametrize("seed", SEEDS)
async def test_schedule_keeps_acknowledged_writes(cluster, timers, seed):
    await run_schedule(cluster, timers, seed)
    assert find_violations(cluster) == []


@pytest.mark.parametrize("seed", SEEDS)
async def test_group_works_again_after_schedule(cluster, timers, seed):
    await run_schedule(cluster, timers, seed)
    before = [len(caller.acknowledged) for caller in cluster.callers]
    await timers.sleep(1.0)
    after = [len(caller.acknowledged) for caller in cluster.callers]
    assert all(late > early for early, late in zip(before, after, strict=True))


async def acknowledge_without_replicas(self, position, **options):
    return


def choose_least_advanced(granted, *, leaving):
    return min(granted, key=lambda status: (status.position, status.instance))


@pytest.mark.parametrize(
    ("owner", "name", "fault"),
    [
        (Acknowledger, "wait", acknowledge_without_replicas),
        (_promoter, "choose_furthest", choose_least_advanced),
    ],
)
async def test_schedules_find_seeded_fault(
    start_cluster, timers, monkeypatch, owner, name, fault
):
    monkeypatch.setattr(owner, name, fault)
    violations = []
    for seed in SEEDS:
        cluster = await start_cluster()
        await run_schedule(cluster, timers, seed)
        violations += find_violations(cluster)
        await cluster.close()
        if violations:
            break
    assert violations
