"""Services whose primary was never changed, and whose primary no running proxy knows.

Without these rules a first primary that is lost while all proxies are down is never
replaced: no row names it, and its entry has expired when they are back.
"""

import dataclasses

import pytest

from heatherpier.bench import SimulatedDeployment, ask
from heatherpier.discovery import MISSING_GRACE_S
from heatherpier.leases import Led, decode_leadership
from heatherpier.leases._first_primaries import FIRST_PREFIX, FirstPrimaries
from heatherpier.leases._watcher import UNCLAIMED_S
from heatherpier.leases.tests.test_change_of_primary import (
    SETTLED_S,
    read_through_every_proxy,
    write_until_served,
)
from heatherpier.leases.tests.test_last_instance import lose_for_good
from heatherpier.statements import Done

# Time after the return of the machines within which the users require service.
RECOVERY_S = 12.0
# Longest time until a service is served whose first primary no row names: the wait for
# its entry, for promotions that other processes may have requested, and for a change.
UNRECORDED_RECOVERY_S = UNCLAIMED_S + 16.0
DOWN_S = 4.5
FIRST_ROW = f"{FIRST_PREFIX}claims"


@pytest.fixture
def group(deployment):
    return deployment.groups["claims"]


def find_leadership(deployment):
    row = deployment.store.row("fleet", "leader/claims")
    return None if row is None else decode_leadership(row.body)


def claim(deployment, instance, *, primary):
    """Writes an entry in which an instance claims or denies that it leads."""
    instance.record = dataclasses.replace(instance.record, claims_primary=primary)
    deployment.register(instance)


async def kill_all(deployment):
    for name in list(deployment.engines):
        await deployment.kill(name)


async def start_all(deployment):
    for name in deployment.names:
        await deployment.start(name)
    await deployment.timers.sleep(1.0)


async def lose_primary_while_all_are_down(deployment, group, timers):
    await kill_all(deployment)
    lose_for_good(deployment, group.instances["claims-0"])
    await timers.sleep(DOWN_S)
    await start_all(deployment)


async def test_a_first_primary_lost_while_all_proxies_are_down_is_replaced(
    deployment, group, timers
):
    # The case of the review.
    await timers.sleep(SETTLED_S)
    await read_through_every_proxy(deployment)
    await lose_primary_while_all_are_down(deployment, group, timers)
    await write_until_served(deployment, timers, limit_s=RECOVERY_S)
    assert group.primary().name != "claims-0"
    assert len(group.promotions) == 1


async def test_a_first_primary_lost_just_after_the_first_start_is_replaced(
    deployment, group, timers
):
    await timers.sleep(1.0)
    await lose_primary_while_all_are_down(deployment, group, timers)
    await write_until_served(deployment, timers, limit_s=RECOVERY_S)


async def test_a_first_primary_that_no_row_names_is_replaced(
    deployment, group, timers, monkeypatch
):
    # Rows of an earlier build name no first primary.
    await kill_all(deployment)
    deployment.store.write("fleet", FIRST_ROW, None)
    lose_for_good(deployment, group.instances["claims-0"])
    await timers.sleep(DOWN_S)
    await start_all(deployment)
    await write_until_served(deployment, timers, limit_s=UNRECORDED_RECOVERY_S)
    assert len(group.promotions) == 1


async def test_without_the_recorded_first_primary_recovery_takes_too_long(
    deployment, group, timers, monkeypatch
):
    # Shows that the row is needed, not only the question to the instances.
    monkeypatch.setattr(FirstPrimaries, "get", lambda *_: None)
    await timers.sleep(SETTLED_S)
    await lose_primary_while_all_are_down(deployment, group, timers)
    with pytest.raises(pytest.fail.Exception):
        await write_until_served(deployment, timers, limit_s=RECOVERY_S)


async def test_a_first_primary_that_registers_late_is_not_replaced(timers):
    # Guards against a promotion beside a primary that lives and is only slow.
    async with SimulatedDeployment(timers=timers, proxies=0) as deployment:
        group = deployment.groups["claims"]
        primary = group.instances["claims-0"]
        deployment.unregister(primary)
        deployment.names += ["proxy-0", "proxy-1", "proxy-2"]
        await start_all(deployment)
        await timers.sleep(UNCLAIMED_S - 2.0)
        deployment.register(primary)
        await write_until_served(deployment, timers, limit_s=1.0)
        await timers.sleep(UNCLAIMED_S)
        assert group.promotions == []
        assert find_leadership(deployment) is None


async def test_a_first_primary_that_is_back_within_the_grace_is_not_replaced(
    deployment, group, timers
):
    await timers.sleep(SETTLED_S)
    await kill_all(deployment)
    primary = group.instances["claims-0"]
    deployment.unregister(primary)
    await start_all(deployment)
    await timers.sleep(MISSING_GRACE_S - 1.5)
    deployment.register(primary)
    await write_until_served(deployment, timers, limit_s=1.0)
    await timers.sleep(UNCLAIMED_S)
    assert group.promotions == []


async def test_a_primary_that_claims_nothing_is_found_by_asking(
    deployment, group, timers
):
    # Guards against a service that is refused for good because its primary says in its
    # entry that it is a replica.
    await timers.sleep(1.0)
    claim(deployment, group.instances["claims-0"], primary=False)
    await write_until_served(deployment, timers, limit_s=UNRECORDED_RECOVERY_S)
    assert group.promotions == []
    assert isinstance(find_leadership(deployment), Led)


async def test_a_second_claim_does_not_stop_a_service_for_good(
    deployment, group, timers
):
    # Guards against an entry of another writer that claims to be the primary too.
    await timers.sleep(1.0)
    claim(deployment, group.instances["claims-1"], primary=True)
    await write_until_served(deployment, timers, limit_s=UNRECORDED_RECOVERY_S)
    assert find_leadership(deployment).instance == "claims-0"
    assert group.promotions == []


async def test_an_instance_that_starts_again_empty_does_not_stop_a_service(
    deployment, group, timers
):
    # Its name is the recorded one, but it leads no more.
    await timers.sleep(SETTLED_S)
    await kill_all(deployment)
    primary = group.instances["claims-0"]
    primary.leads = False
    claim(deployment, primary, primary=False)
    await start_all(deployment)
    await write_until_served(deployment, timers, limit_s=UNRECORDED_RECOVERY_S)
    assert len(group.promotions) == 1


async def test_a_first_row_that_cannot_be_read_is_ignored_and_replaced(
    deployment, group, timers
):
    await timers.sleep(1.0)
    deployment.store.write("fleet", FIRST_ROW, b"[[[")
    await timers.sleep(2.0)
    assert b"claims-0" in deployment.store.row("fleet", FIRST_ROW).body
    await lose_primary_while_all_are_down(deployment, group, timers)
    await write_until_served(deployment, timers, limit_s=RECOVERY_S)


async def test_the_first_row_does_not_count_after_a_change(deployment, group, timers):
    await timers.sleep(SETTLED_S)
    await read_through_every_proxy(deployment)
    group.instances["claims-0"].running = False
    await write_until_served(deployment, timers)
    changed = group.primary().name
    await kill_all(deployment)
    await start_all(deployment)
    await write_until_served(deployment, timers, limit_s=2.0)
    assert group.primary().name == changed
    assert len(group.promotions) == 1


async def test_recording_the_first_primary_does_not_disturb_callers(
    deployment, group, timers
):
    # Guards against transactions that end because a row of the service is new.
    deployment.store.write("fleet", FIRST_ROW, None)
    session = deployment.open("claims-exact")
    for text in ("BEGIN", "WRITE claim"):
        assert isinstance((await ask(session, text)).outcome, Done)
    await timers.sleep(4.0)
    assert deployment.store.row("fleet", FIRST_ROW) is not None
    assert isinstance((await ask(session, "COMMIT")).outcome, Done)
