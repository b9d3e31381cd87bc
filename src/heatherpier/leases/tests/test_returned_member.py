"""Load: a primary is lost while a member that was removed by mistake is back.

A network partition has a member removed, often by a deletion that takes effect late. The
member registers again at once and uses the primary like the others. A change of primary
must not wait for a lease that this member has released.
"""

import pytest

from heatherpier.bench import ask
from heatherpier.leases import LEASE_S
from heatherpier.leases._view import FLEET_TABLE, MEMBER_PREFIX
from heatherpier.leases.tests.test_change_of_primary import (
    SETTLED_S,
    read_through_every_proxy,
    write_until_served,
)

# A change for which no proxy is waited for ends within this time of the loss.
PROMPT_CHANGE_S = 2.0
RETURN_S = 0.5


@pytest.fixture
def group(deployment):
    return deployment.groups["claims"]


def remove(deployment, name):
    deployment.store.write(FLEET_TABLE, MEMBER_PREFIX + name, None)


@pytest.mark.parametrize("removed", ["proxy-0", "proxy-1", "proxy-3"])
async def test_a_returned_member_does_not_delay_a_change(
    deployment, group, timers, removed
):
    await timers.sleep(SETTLED_S)
    await read_through_every_proxy(deployment)
    remove(deployment, removed)
    await timers.sleep(RETURN_S)
    await read_through_every_proxy(deployment)
    group.instances["claims-0"].running = False
    assert await write_until_served(deployment, timers) <= PROMPT_CHANGE_S


async def test_a_removed_member_that_stays_away_delays_a_change(
    deployment, group, timers
):
    # It still uses the primary under its lease, and nobody can ask it to release.
    await timers.sleep(SETTLED_S)
    await read_through_every_proxy(deployment)
    deployment.isolate("proxy-3", instances=False)
    remove(deployment, "proxy-3")
    removed_at = timers.now()
    await timers.sleep(RETURN_S)
    group.instances["claims-0"].running = False
    await write_until_served(deployment, timers)
    assert group.promotions
    assert timers.now() - removed_at >= LEASE_S


async def test_a_member_that_answers_the_change_of_a_returned_one_is_fenced(
    deployment, group, timers
):
    # The returned member is isolated again right before the primary is lost, so its
    # lease has to expire.
    await timers.sleep(SETTLED_S)
    remove(deployment, "proxy-3")
    await timers.sleep(RETURN_S)
    await read_through_every_proxy(deployment)
    deployment.isolate("proxy-3", instances=False)
    isolated_at = timers.now()
    for name in ("proxy-0", "proxy-1", "proxy-2"):
        group.instances["claims-0"].cut_from.add(name)
    session = deployment.open("claims-exact", proxy="proxy-3")
    await write_until_served(deployment, timers)
    assert timers.now() - isolated_at >= LEASE_S
    reply = await ask(session, "READ claim")
    assert reply.outcome.not_run
