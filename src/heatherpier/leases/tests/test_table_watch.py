"""A fleet larger than its voter set: non-voters follow the store through a voter."""

import pytest

from heatherpier.bench import SimulatedDeployment, ask
from heatherpier.leases import LEASE_S, Lease
from heatherpier.leases._view import MAX_VOTERS
from heatherpier.statements import Done

PROXIES = 20


@pytest.fixture
async def world(timers):
    async with SimulatedDeployment(
        timers=timers, proxies=PROXIES, connections=60
    ) as running:
        await timers.sleep(6.0)
        yield running


def non_voters(world):
    voters = world.engines["proxy-0"].view.voters()
    return [name for name in world.names if name not in voters]


def lease(world, name):
    return world.engines[name].context.leases.lease("claims")


async def test_idle_calls_to_the_store_do_not_grow_with_the_fleet(world, timers):
    before = world.store.calls
    await timers.sleep(10.0)
    assert world.store.calls - before <= MAX_VOTERS * 10 * 2


async def test_a_non_voter_keeps_its_lease(world, timers):
    for _ in range(50):
        await timers.sleep(0.2)
        assert all(isinstance(lease(world, name), Lease) for name in world.names)


async def test_a_configuration_becomes_active_on_all_proxies(world, timers):
    version = world.configure(world.routes())
    await timers.sleep(0.5)
    versions = {item.context.routes.table.version for item in world.engines.values()}
    assert versions == {version}


async def test_non_voters_follow_another_voter_after_a_loss(world, timers):
    for name in list(world.engines["proxy-0"].view.voters())[:3]:
        await world.power_off(name)
    await timers.sleep(LEASE_S + 1.0)
    left = [name for name in world.names if name in world.engines]
    assert all(isinstance(lease(world, name), Lease) for name in left)


async def test_non_voters_avoid_voters_that_lost_the_store(world, timers):
    voters = world.engines["proxy-0"].view.voters()
    world.store.faults.unresponsive_to |= set(list(voters)[:3])
    for _ in range(30):
        await timers.sleep(0.2)
        assert all(isinstance(lease(world, name), Lease) for name in non_voters(world))


async def test_a_crashed_primary_is_replaced_in_a_large_fleet(world, timers):
    group = world.groups["claims"]
    for name in world.names:
        await ask(world.open("claims-exact", proxy=name), "READ claim")
    group.instances["claims-0"].running = False
    began = timers.now()
    name = non_voters(world)[0]
    while timers.now() - began < 6.0:
        reply = await ask(world.open("claims-exact", proxy=name), "WRITE claim")
        if isinstance(reply.outcome, Done):
            break
        await timers.sleep(0.05)
    assert isinstance(reply.outcome, Done)
    assert len({token for _, token in group.promotions}) == 1
