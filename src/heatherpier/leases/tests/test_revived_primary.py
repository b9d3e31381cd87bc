"""Load: a primary that was lost serves again while its replacement begins.

A network partition heals, or a crashed primary comes back. The change has not requested
a promotion yet, so keeping the primary ends the outage sooner and loses no commits.
"""

import asyncio

import pytest

from heatherpier.bench import ask
from heatherpier.leases._watcher import MINORITY_WAIT_S
from heatherpier.leases.tests.test_change_of_primary import (
    SETTLED_S,
    read_through_every_proxy,
    write_through_every_proxy,
    write_until_served,
)

PROMOTE_S = 1.0
# A minority begins to replace a primary after its wait and some probes.
DETECTION_LIMIT_S = MINORITY_WAIT_S + 3.0


@pytest.fixture
def group(deployment):
    group = deployment.groups["claims"]
    group.promote_s = PROMOTE_S
    return group


async def wait_for_change(deployment, timers, *, proxy="proxy-0"):
    """Reads until a proxy begins to replace the primary, before the others know."""
    session = deployment.open("claims-exact", proxy=proxy)
    reading = asyncio.create_task(read_until_cancelled(session, timers))
    engines = deployment.engines.values()
    until = timers.now() + DETECTION_LIMIT_S
    while not any(engine._coordinators.changing for engine in engines):
        assert timers.now() < until, "no proxy has begun to replace the primary"
        await timers.sleep(0.001)
    reading.cancel()


async def read_until_cancelled(session, timers):
    while True:
        await ask(session, "READ claim")
        await timers.sleep(0.01)


async def heal_when_the_change_begins(deployment, group, timers):
    """Cuts the primary off from all proxies until its replacement begins."""
    primary = group.instances["claims-0"]
    primary.cut_from |= set(deployment.names)
    await wait_for_change(deployment, timers)
    primary.cut_from.clear()


async def test_a_primary_that_serves_again_is_kept(deployment, group, timers):
    await timers.sleep(SETTLED_S)
    await read_through_every_proxy(deployment)
    await heal_when_the_change_begins(deployment, group, timers)
    assert await write_until_served(deployment, timers) < PROMOTE_S
    assert group.promotions == []
    for name in deployment.names:
        served = await write_until_served(deployment, timers, proxy=name)
        assert served < PROMOTE_S


async def test_a_primary_that_half_of_the_voters_cannot_reach_is_replaced(
    deployment, group, timers
):
    await timers.sleep(SETTLED_S)
    await read_through_every_proxy(deployment)
    primary = group.instances["claims-0"]
    primary.cut_from |= set(deployment.names)
    await wait_for_change(deployment, timers)
    primary.cut_from -= {"proxy-0"}
    await write_until_served(deployment, timers)
    assert len(group.promotions) == 1


async def test_a_kept_primary_loses_no_write_and_is_replaced_when_lost_again(
    deployment, group, timers
):
    await timers.sleep(SETTLED_S)
    await heal_when_the_change_begins(deployment, group, timers)
    acknowledged = await write_through_every_proxy(deployment, timers, seconds=1.0)
    assert acknowledged
    assert {position.term for _, position in acknowledged} == {1}
    group.instances["claims-0"].running = False
    await write_until_served(deployment, timers)
    assert len(group.promotions) == 1


async def test_a_partition_that_heals_as_a_lone_proxy_acts_costs_no_promotion(
    deployment, group, timers
):
    # One proxy with the store is cut off from the others, which keep the primary. It
    # waits as long as a minority has to, and the partition heals just then.
    await timers.sleep(SETTLED_S)
    await read_through_every_proxy(deployment)
    primary = group.instances["claims-0"]
    deployment.fleet.stop("proxy-1")
    primary.cut_from.add("proxy-1")
    for name in ("proxy-0", "proxy-2", "proxy-3"):
        deployment.store.faults.unresponsive_to.add(name)
    began = timers.now()
    await wait_for_change(deployment, timers, proxy="proxy-1")
    assert timers.now() - began >= MINORITY_WAIT_S
    deployment.fleet.start("proxy-1")
    primary.cut_from.clear()
    deployment.store.faults.unresponsive_to.clear()
    served = await write_until_served(deployment, timers, proxy="proxy-2")
    assert served < PROMOTE_S
    await write_until_served(deployment, timers, proxy="proxy-1")
    assert group.promotions == []
