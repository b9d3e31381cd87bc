"""A fleet larger than its voter set: most proxies follow the store by a peer."""

import pytest

from heatherpier.bench import LineWorld, ask
from heatherpier.leases import LEASE_S, Lease
from heatherpier.leases._view import MAX_VOTERS
from heatherpier.statements import Done

PROXIES = 20


@pytest.fixture
async def world(timers):
    async with LineWorld(timers=timers, proxies=PROXIES, connections=60) as running:
        await timers.sleep(6.0)
        yield running


def off_panel(world):
    voters = world.engines["proxy-0"].view.voters()
    return [name for name in world.names if name not in voters]


def lease(world, name):
    return world.engines[name].context.leases.lease("claims")


async def test_calls_at_rest_do_not_grow_with_the_fleet(world, timers):
    before = world.store.calls
    await timers.sleep(10.0)
    assert world.store.calls - before <= MAX_VOTERS * 10 * 2


async def test_a_proxy_off_the_panel_keeps_its_right(world, timers):
    for _ in range(50):
        await timers.sleep(0.2)
        assert all(isinstance(lease(world, name), Lease) for name in world.names)


async def test_a_configuration_is_in_force_everywhere_at_once(world, timers):
    version = world.configure(world.routes())
    await timers.sleep(0.5)
    versions = {item.context.routes.table.version for item in world.engines.values()}
    assert versions == {version}


async def test_a_lost_panel_member_is_passed_over(world, timers):
    for name in list(world.engines["proxy-0"].view.voters())[:3]:
        await world.power_off(name)
    await timers.sleep(LEASE_S + 1.0)
    left = [name for name in world.names if name in world.engines]
    assert all(isinstance(lease(world, name), Lease) for name in left)


async def test_a_peer_that_lost_the_store_is_passed_over(world, timers):
    voters = world.engines["proxy-0"].view.voters()
    world.store.faults.silent |= set(list(voters)[:3])
    for _ in range(30):
        await timers.sleep(0.2)
        assert all(isinstance(lease(world, name), Lease) for name in off_panel(world))


async def test_a_leaving_primary_is_replaced_in_a_large_fleet(world, timers):
    group = world.groups["claims"]
    for name in world.names:
        await ask(world.open("claims-exact", proxy=name), "READ claim")
    group.instances["claims-0"].running = False
    began = timers.now()
    name = off_panel(world)[0]
    while timers.now() - began < 6.0:
        reply = await ask(world.open("claims-exact", proxy=name), "WRITE claim")
        if isinstance(reply.outcome, Done):
            break
        await timers.sleep(0.05)
    assert isinstance(reply.outcome, Done)
    assert len({token for _, token in group.promotions}) == 1
