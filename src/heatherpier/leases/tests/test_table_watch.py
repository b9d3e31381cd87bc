"""A fleet larger than its voter set: non-voters follow the store through a voter."""

import pytest

from heatherpier.bench import SimulatedDeployment, ask
from heatherpier.leases import LEASE_S, Lease
from heatherpier.leases._view import MAX_VOTERS
from heatherpier.statements import Done

PROXIES = 20


@pytest.fixture
async def deployment(timers):
    async with SimulatedDeployment(
        timers=timers, proxies=PROXIES, connections=60
    ) as running:
        await timers.sleep(6.0)
        yield running


def non_voters(deployment):
    voters = deployment.engines["proxy-0"].view.voters()
    return [name for name in deployment.names if name not in voters]


def lease(deployment, name):
    return deployment.engines[name].context.leases.lease("claims")


async def test_idle_calls_to_the_store_do_not_grow_with_the_fleet(deployment, timers):
    before = deployment.store.calls
    await timers.sleep(10.0)
    assert deployment.store.calls - before <= MAX_VOTERS * 10 * 2


async def test_a_non_voter_keeps_its_lease(deployment, timers):
    for _ in range(50):
        await timers.sleep(0.2)
        assert all(
            isinstance(lease(deployment, name), Lease) for name in deployment.names
        )


async def test_a_configuration_becomes_active_on_all_proxies(deployment, timers):
    version = deployment.configure(deployment.routes())
    await timers.sleep(0.5)
    versions = {
        item.context.routes.table.version for item in deployment.engines.values()
    }
    assert versions == {version}


async def test_non_voters_follow_another_voter_after_a_loss(deployment, timers):
    for name in list(deployment.engines["proxy-0"].view.voters())[:3]:
        await deployment.power_off(name)
    await timers.sleep(LEASE_S + 1.0)
    left = [name for name in deployment.names if name in deployment.engines]
    assert all(isinstance(lease(deployment, name), Lease) for name in left)


async def test_non_voters_avoid_voters_that_lost_the_store(deployment, timers):
    voters = deployment.engines["proxy-0"].view.voters()
    deployment.store.faults.unresponsive_to |= set(list(voters)[:3])
    for _ in range(30):
        await timers.sleep(0.2)
        assert all(
            isinstance(lease(deployment, name), Lease)
            for name in non_voters(deployment)
        )


async def test_a_crashed_primary_is_replaced_in_a_large_fleet(deployment, timers):
    group = deployment.groups["claims"]
    for name in deployment.names:
        await ask(deployment.open("claims-exact", proxy=name), "READ claim")
    group.instances["claims-0"].running = False
    began = timers.now()
    name = non_voters(deployment)[0]
    while timers.now() - began < 6.0:
        reply = await ask(deployment.open("claims-exact", proxy=name), "WRITE claim")
        if isinstance(reply.outcome, Done):
            break
        await timers.sleep(0.05)
    assert isinstance(reply.outcome, Done)
    assert len({token for _, token in group.promotions}) == 1
