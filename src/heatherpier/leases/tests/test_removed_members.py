"""Load: several members are removed while they are cut off, and give each other grants.

The members are cut off from the store and from the proxy that removes them, but not from
each other and the primary. In the voter set that they know they are a majority, so grants
keep their leases valid for longer than their views.
"""

import asyncio

import pytest

from heatherpier.bench import SimulatedDeployment
from heatherpier.leases._fence import GRANTS_END_S
from heatherpier.leases._view import FLEET_TABLE, MEMBER_PREFIX
from heatherpier.leases.tests.test_change_of_primary import (
    SETTLED_S,
    assert_terms_never_go_back,
    read_through_every_proxy,
    write_through_every_proxy,
    write_until_served,
)

CUT_OFF = ("proxy-1", "proxy-2")
# Names of the data centres of proxy-0 and of the others.
HERE, ELSEWHERE = "north", ("central", "south")


@pytest.fixture
async def deployment(timers):
    async with SimulatedDeployment(timers=timers, proxies=3) as running:
        yield running


@pytest.fixture
def group(deployment):
    return deployment.groups["claims"]


def cut_off_and_remove(deployment, group):
    """Leaves proxy-0 with the store, and the others with the primary."""
    for name in CUT_OFF:
        deployment.store.faults.unresponsive_to.add(name)
    for data_centre in ELSEWHERE:
        deployment.fleet.cut(HERE, data_centre)
    group.instances["claims-0"].cut_from.add("proxy-0")
    for name in CUT_OFF:
        deployment.store.write(FLEET_TABLE, MEMBER_PREFIX + name, None)


async def test_removed_members_acknowledge_nothing_after_a_promotion(
    deployment, group, timers
):
    await timers.sleep(SETTLED_S)
    await read_through_every_proxy(deployment)
    cut_off_and_remove(deployment, group)
    acknowledged = await write_through_every_proxy(
        deployment, timers, seconds=GRANTS_END_S + 5.0
    )
    assert {position.term for _, position in acknowledged} == {1, 2}
    assert_terms_never_go_back(acknowledged)


async def test_the_lone_proxy_serves_once_no_grant_is_left(deployment, group, timers):
    await timers.sleep(SETTLED_S)
    await read_through_every_proxy(deployment)
    cut_off_and_remove(deployment, group)
    serving = asyncio.create_task(
        write_until_served(deployment, timers, limit_s=GRANTS_END_S + 3.0)
    )
    assert await serving >= GRANTS_END_S - 1.0
