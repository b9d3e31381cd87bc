"""Members whose connections are refused though they live.

A partition may refuse or reset connections. Without these rules such a member counts as
ended: the old primary is replaced while it may still use it, or a change is taken over
from a coordinator that may still request a promotion.
"""

import asyncio

import pytest

from heatherpier.leases._changer import (
    COORDINATOR_MAX_STALENESS_S,
    PROMOTION_REQUEST_S,
    _takeover_wait_s,
)
from heatherpier.leases._coordinators import CoordinatorState
from heatherpier.leases._fence import PrimaryChange
from heatherpier.leases.tests.test_change_of_primary import (
    CHANGE_LIMIT_S,
    SETTLED_S,
    assert_terms_never_go_back,
    read_through_every_proxy,
    write_through_every_proxy,
    write_until_served,
)

LAST = "proxy-3"


@pytest.fixture
def group(deployment):
    return deployment.groups["claims"]


def refuse(deployment, name):
    """Cuts a proxy off from the store and its peers, whose connections are refused."""
    deployment.isolate(name, instances=False)
    deployment.fleet.ended_addresses.add((name, 7000))


@pytest.mark.parametrize("phase_s", [0.0, 0.3, 0.6, 0.9])
async def test_a_live_member_whose_connections_are_refused_is_waited_for(
    deployment, group, timers, phase_s
):
    group.promote_s = 0.05
    await timers.sleep(SETTLED_S + phase_s)
    await read_through_every_proxy(deployment)
    primary = group.instances["claims-0"]
    writing = asyncio.create_task(
        write_through_every_proxy(deployment, timers, seconds=8.0)
    )
    primary.cut_from |= {name for name in deployment.engines if name != LAST}
    # The others detect the loss of the primary first.
    await timers.sleep(0.6)
    refuse(deployment, LAST)
    acknowledged = await writing
    assert {position.term for _, position in acknowledged} == {1, 2}
    assert_terms_never_go_back(acknowledged)


async def test_a_change_beside_an_ended_member_is_over_in_time(
    deployment, group, timers
):
    await timers.sleep(SETTLED_S)
    await read_through_every_proxy(deployment)
    group.instances["claims-0"].running = False
    await deployment.kill(LAST)
    await write_until_served(deployment, timers, limit_s=CHANGE_LIMIT_S)


async def test_a_coordinator_whose_connections_are_refused_may_still_be_active(
    deployment, timers
):
    await timers.sleep(SETTLED_S)
    coordinators = deployment.engines["proxy-0"]._coordinators
    deployment.engines[LAST]._coordinators.changing.add("claims")
    refuse(deployment, LAST)
    state = await coordinators.state(LAST, "claims")
    assert state is CoordinatorState.LOST
    change = PrimaryChange(
        service="claims",
        previous="claims-0",
        planned=False,
        reason="test",
        expected=1,
        record=None,
        takeover=True,
        predecessor=state,
    )
    least_s = COORDINATOR_MAX_STALENESS_S + PROMOTION_REQUEST_S
    assert _takeover_wait_s(change) >= least_s


async def test_a_coordinator_that_says_so_has_stopped(deployment, timers):
    await timers.sleep(SETTLED_S)
    coordinators = deployment.engines["proxy-0"]._coordinators
    assert await coordinators.state(LAST, "claims") is CoordinatorState.STOPPED
