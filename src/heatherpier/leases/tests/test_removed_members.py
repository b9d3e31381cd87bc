"""Load: members are cut off one after the other, and grant each other leases.

They are cut off from the store and from the proxy that would remove them, but not from each
other and the primary. In the voter set that they know they are a majority, so grants keep
their leases valid for longer than their views. A lone proxy must not remove all of them and
then have another instance promoted at once.
"""

import pytest

from heatherpier.bench import SimulatedDeployment
from heatherpier.leases._grants import GRANTS_END_S
from heatherpier.leases._liveness import MAX_MISSES, PING_PERIOD_S, PING_TIMEOUT_S
from heatherpier.leases._removal import MemberRemoval
from heatherpier.leases._view import FLEET_TABLE, MEMBER_PREFIX
from heatherpier.leases.tests.test_change_of_primary import (
    SETTLED_S,
    assert_terms_never_go_back,
    read_through_every_proxy,
    write_through_every_proxy,
    write_until_served,
)

# Data centres of proxy-0, proxy-1 and proxy-2.
FIRST, SECOND, THIRD = "north", "central", "south"
# Longest time from the first missed answer to the removal.
REMOVAL_S = MAX_MISSES * (PING_PERIOD_S + PING_TIMEOUT_S) + 0.5
POLL_S = 0.02
# Delays of the first cut. The age of a view at the loss of the store depends on when the
# last long poll was answered.
PHASES_S = (0.0, 0.4, 0.8, 1.2, 1.6)


@pytest.fixture
async def deployment(timers):
    async with SimulatedDeployment(timers=timers, proxies=3) as running:
        yield running


@pytest.fixture
def group(deployment):
    return deployment.groups["claims"]


def members(deployment):
    names = ("proxy-0", "proxy-1", "proxy-2")
    rows = {
        name: deployment.store.row(FLEET_TABLE, MEMBER_PREFIX + name) for name in names
    }
    return {name for name, row in rows.items() if row is not None}


async def cut_off_one_after_the_other(deployment, group, timers):
    """Cuts proxy-2 off from proxy-0, and proxy-1 as soon as proxy-2 is removed.

    Both lose the store shortly before, so that they don't see the removal. The primary is
    lost to proxy-0 once it has had time to remove proxy-1 too.
    """
    deployment.fleet.cut(FIRST, THIRD)
    await timers.sleep((MAX_MISSES - 1) * PING_PERIOD_S + PING_TIMEOUT_S)
    deployment.store.faults.unresponsive_to |= {"proxy-1", "proxy-2"}
    until = timers.now() + REMOVAL_S
    while "proxy-2" in members(deployment) and timers.now() < until:
        await timers.sleep(POLL_S)
    deployment.fleet.cut(FIRST, SECOND)
    await timers.sleep(REMOVAL_S)
    group.instances["claims-0"].cut_from.add("proxy-0")


async def use_and_cut_off(deployment, timers, *, phase_s):
    """Has every proxy use the primary, then cuts them off."""
    await timers.sleep(SETTLED_S + phase_s)
    await read_through_every_proxy(deployment)
    await cut_off_one_after_the_other(deployment, deployment.groups["claims"], timers)


async def write_beyond_all_grants(deployment, timers):
    return await write_through_every_proxy(
        deployment, timers, seconds=2 * GRANTS_END_S + REMOVAL_S
    )


@pytest.mark.parametrize("phase_s", PHASES_S)
async def test_nothing_is_acknowledged_by_the_old_primary_after_a_promotion(
    deployment, timers, phase_s
):
    await use_and_cut_off(deployment, timers, phase_s=phase_s)
    assert members(deployment) == {"proxy-0", "proxy-1"}
    acknowledged = await write_beyond_all_grants(deployment, timers)
    assert {position.term for _, position in acknowledged} == {1, 2}
    assert_terms_never_go_back(acknowledged)


async def test_a_lone_proxy_keeps_the_second_of_three_while_grants_may_rest_on_them(
    deployment, group, timers
):
    await timers.sleep(SETTLED_S)
    await cut_off_one_after_the_other(deployment, group, timers)
    removed_at = timers.now() - REMOVAL_S
    await timers.sleep(GRANTS_END_S - REMOVAL_S - 1.0)
    assert members(deployment) == {"proxy-0", "proxy-1"}
    while "proxy-1" in members(deployment):
        assert timers.now() - removed_at < GRANTS_END_S + REMOVAL_S
        await timers.sleep(POLL_S)
    await write_until_served(deployment, timers)


async def test_removals_without_this_rule_break_the_order_of_terms(timers, monkeypatch):
    # Shows that the first test detects a lone proxy that removes the second of three.
    monkeypatch.setattr(MemberRemoval, "_leave_enough", lambda self, answering: True)
    broken = 0
    for phase_s in PHASES_S:
        async with SimulatedDeployment(timers=timers, proxies=3) as deployment:
            await use_and_cut_off(deployment, timers, phase_s=phase_s)
            acknowledged = await write_beyond_all_grants(deployment, timers)
        try:
            assert_terms_never_go_back(acknowledged)
        except AssertionError:
            broken += 1
    assert broken


async def test_two_proxies_cannot_remove_the_members_that_each_other_counts_on(
    deployment, timers
):
    # proxy-0 counts on proxy-1 when it removes proxy-2, but proxy-1 is removed first.
    await timers.sleep(SETTLED_S)
    engine = deployment.engines["proxy-0"]
    removal = MemberRemoval(
        links=engine._links,
        store=deployment.store.client("proxy-0"),
        view=engine.view,
        timers=timers,
    )
    row = deployment.store.row(FLEET_TABLE, MEMBER_PREFIX + "proxy-2")
    answering = await removal._answering(without="proxy-2")
    assert answering == {"proxy-0", "proxy-1"}
    deployment.store.faults.unresponsive_to.add("proxy-1")
    deployment.store.write(FLEET_TABLE, MEMBER_PREFIX + "proxy-1", None)
    await removal.remove("proxy-2")
    assert deployment.store.row(FLEET_TABLE, MEMBER_PREFIX + "proxy-2") == row
