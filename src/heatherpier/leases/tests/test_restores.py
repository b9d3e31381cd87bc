"""Leases and changes of primary when the store comes back from an older backup."""

import asyncio
import dataclasses

import pytest

from heatherpier.bench import SimulatedDeployment, ask
from heatherpier.discovery import InstanceRecord, InstanceRegistry
from heatherpier.fleet import Peer
from heatherpier.leases import (
    Changing,
    FleetView,
    Grants,
    LeadershipRecord,
    Lease,
    NoLease,
    PrimaryLeases,
    decode_leadership,
    encode_member,
)
from heatherpier.leases._grants import GRANT_MAX_STALENESS_S, GRANT_S
from heatherpier.statements import Done
from heatherpier.tables import Changes, Row, TableCopy, epoch_of, make_version
from heatherpier.upstreams import Instance

# Time in which a majority of the voters confirms the primaries after a short restore.
CONFIRMATION_S = 1.5
# Limit of a change while members that the restore discarded may still hold leases.
LOST_MEMBERS_LIMIT_S = GRANT_MAX_STALENESS_S + GRANT_S + 6.0
BACKUP_AGES_S = (0.5, 2.0, 5.0, 10.0)


@pytest.fixture
def group(deployment):
    return deployment.groups["claims"]


@pytest.fixture
async def old_deployment(deployment):
    """Returns a deployment that has run for longer than any backup is old."""
    await deployment.timers.sleep(12.0)
    return deployment


def leases(deployment):
    return {
        name: engine.context.leases.lease("claims")
        for name, engine in deployment.engines.items()
    }


async def write(deployment, name="proxy-0"):
    return await ask(deployment.open("claims-exact", proxy=name), "WRITE claim")


async def write_until_served(deployment, name="proxy-0", *, limit_s=6.0):
    began = deployment.timers.now()
    while deployment.timers.now() - began < limit_s:
        reply = await write(deployment, name)
        if isinstance(reply.outcome, Done):
            return reply
        await deployment.timers.sleep(0.05)
    pytest.fail(f"no write was served within {limit_s} s")


async def replace_primary(deployment, group):
    """Has the primary replaced because it leaves."""
    old = group.primary()
    leaving = dataclasses.replace(old.record.instance, leaving=True)
    old.record = dataclasses.replace(old.record, instance=leaving)
    deployment.register(old)
    while group.primary() is old:
        await deployment.timers.sleep(0.05)
    await write_until_served(deployment)
    return old


def leadership(deployment):
    row = deployment.store.row("fleet", "leader/claims")
    return None if row is None else decode_leadership(row.body)


@pytest.mark.parametrize("back_s", BACKUP_AGES_S)
async def test_writes_go_on_through_a_restore(old_deployment, timers, back_s):
    restore = asyncio.create_task(old_deployment.restore_store(back_s=back_s))
    until = timers.now() + 6.0
    while timers.now() < until:
        for name in old_deployment.names:
            reply = await write(old_deployment, name)
            assert isinstance(reply.outcome, Done), (timers.now(), name, reply)
        await timers.sleep(0.05)
    await restore
    assert old_deployment.groups["claims"].promotions == []


async def test_the_primary_is_confirmed_in_the_new_epoch(old_deployment, timers):
    await old_deployment.restore_store(back_s=2.0)
    await timers.sleep(CONFIRMATION_S)
    assert leadership(old_deployment).epoch == 1
    for lease in leases(old_deployment).values():
        assert isinstance(lease, Lease)
        assert lease.instance == "claims-0"
        assert epoch_of(lease.version) == 1


async def test_a_completed_change_that_a_restore_discarded_stays_in_force(
    old_deployment, group, timers
):
    old = await replace_primary(old_deployment, group)
    new = group.primary()
    await timers.sleep(0.5)
    # The backup was taken before the change, so the rows name no primary.
    await old_deployment.restore_store(back_s=timers.now() - 11.0)
    await timers.sleep(CONFIRMATION_S)
    assert leadership(old_deployment).instance == new.name != old.name
    assert {item.instance for item in leases(old_deployment).values()} == {new.name}


async def test_tokens_rise_through_restores(old_deployment, group, timers):
    for _ in range(3):
        old = await replace_primary(old_deployment, group)
        old.record = dataclasses.replace(
            old.record,
            instance=dataclasses.replace(old.record.instance, leaving=False),
        )
        old_deployment.register(old)
        await timers.sleep(1.0)
        await old_deployment.restore_store(back_s=2.5)
        await timers.sleep(LOST_MEMBERS_LIMIT_S)
    await write_until_served(old_deployment)
    tokens = [token for _, token in group.promotions]
    assert len(tokens) == 3
    assert tokens == sorted(set(tokens))


async def test_tokens_rise_when_every_proxy_was_killed_as_well(
    old_deployment, group, timers
):
    await replace_primary(old_deployment, group)
    before = [token for _, token in group.promotions]
    for name in list(old_deployment.engines):
        await old_deployment.kill(name)
    await old_deployment.restore_store(back_s=10.0)
    for name in old_deployment.names:
        await old_deployment.start(name)
    await timers.sleep(LOST_MEMBERS_LIMIT_S)
    group.primary().running = False
    await timers.sleep(LOST_MEMBERS_LIMIT_S)
    await write_until_served(old_deployment)
    after = [token for _, token in group.promotions][len(before) :]
    assert after
    assert min(after) > max(before)


async def test_a_proxy_started_after_a_restore_does_not_lease_a_replaced_primary(
    old_deployment, group, timers
):
    old = await replace_primary(old_deployment, group)
    for name in list(old_deployment.engines):
        await old_deployment.kill(name)
    await old_deployment.restore_store(back_s=timers.now() - 11.0, rewrite_s=0.0)
    # The old primary still leads in its own view and says so.
    old.leads = True
    old.record = dataclasses.replace(old.record, claims_primary=True)
    old_deployment.register(old)
    for name in old_deployment.names:
        await old_deployment.start(name)
    until = timers.now() + LOST_MEMBERS_LIMIT_S
    served = False
    while timers.now() < until:
        for lease in leases(old_deployment).values():
            assert isinstance(lease, NoLease) or lease.instance != old.name
            served |= isinstance(lease, Lease)
        await timers.sleep(0.05)
    assert served


async def test_a_change_that_a_restore_interrupts_leaves_one_primary(
    old_deployment, group, timers
):
    # The row of the change is lost while its coordinator waits for a proxy that is cut
    # off. Other proxies see the older row, which names the old primary.
    await write_until_served(old_deployment)
    old_deployment.isolate("proxy-3", instances=False)
    group.primary().running = False
    await ask(old_deployment.open("claims-exact"), "READ claim")
    while leadership(old_deployment) is None:
        await timers.sleep(0.01)
    changed_at = timers.now()
    restore = old_deployment.restore_store(back_s=timers.now() - changed_at + 0.2)
    await restore
    old_deployment.rejoin("proxy-3")
    await write_until_served(old_deployment, limit_s=2 * LOST_MEMBERS_LIMIT_S)
    assert len({token for _, token in group.promotions}) == len(group.promotions)
    assert group.primary().name != "claims-0"


async def test_a_release_for_a_row_of_an_earlier_epoch_is_refused(
    old_deployment, timers
):
    await old_deployment.restore_store(back_s=1.0)
    await timers.sleep(CONFIRMATION_S)
    held = leases(old_deployment)["proxy-1"]
    coordinator = old_deployment.engines["proxy-0"]
    record = LeadershipRecord(
        state=Changing(previous="claims-0", holder="proxy-0", planned=False),
        version=10**6,
    )
    result = await coordinator._releases.release_at(
        old_deployment.engines["proxy-1"]._location.me,
        "claims",
        record,
        drain_s=0.0,
    )
    assert result is False
    assert leases(old_deployment)["proxy-1"] == held


async def test_a_voter_that_knows_another_row_does_not_confirm(old_deployment, timers):
    # proxy-3 is the only one that did not see a completed change.
    group = old_deployment.groups["claims"]
    old_deployment.isolate("proxy-3")
    await replace_primary(old_deployment, group)
    new = group.primary().name
    old_deployment.rejoin("proxy-3")
    await old_deployment.restore_store(back_s=timers.now() - 11.0)
    await timers.sleep(CONFIRMATION_S)
    assert {item.instance for item in leases(old_deployment).values()} == {new}


async def test_members_that_a_restore_discarded_register_again(timers):
    async with SimulatedDeployment(timers=timers) as deployment:
        await deployment.restore_store(back_s=1.0)
        await timers.sleep(CONFIRMATION_S)
        for engine in deployment.engines.values():
            assert set(engine.view.members) == set(deployment.names)


async def test_an_older_configuration_is_not_acted_on(old_deployment, timers):
    version = old_deployment.configure(old_deployment.routes())
    await timers.sleep(0.5)
    await old_deployment.restore_store(back_s=1.0, rewrite_s=5.0)
    for engine in old_deployment.engines.values():
        assert engine.context.routes.table.version == version


async def test_instances_that_a_restore_discarded_stay_known(timers):
    async with SimulatedDeployment(timers=timers) as deployment:
        # The backup is older than all entries, and those of the instances are written
        # again within the time in which none may count as gone.
        restore = asyncio.create_task(
            deployment.restore_store(back_s=10.0, rewrite_s=2.0)
        )
        while not restore.done():
            for engine in deployment.engines.values():
                assert len(engine.context.registry.all()) == 3
            await timers.sleep(0.1)


async def test_the_lease_of_a_lone_proxy_ends_after_a_restore(timers):
    # A lone voter grants its own lease without an end while its view is young.
    me = Peer(name="a", host="a", port=1, data_centre="north")
    view = FleetView(TableCopy("fleet", timers=timers), timers=timers)
    registry = InstanceRegistry(timers=timers)
    registry.put(
        InstanceRecord(
            instance=Instance(name="i", host="i", port=1, data_centre="north"),
            service="claims",
            claims_primary=True,
        )
    )
    leases = PrimaryLeases(
        "a",
        view=view,
        grants=Grants("a", view=view, timers=timers),
        registry=registry,
        timers=timers,
    )

    def read(version):
        row = Row(key="member/a", version=version, body=encode_member(me))
        return Changes(rows=(row,), version=version, as_of=timers.elapsed())

    await timers.sleep(1.0)
    view.copy.replace(read(5))
    leases.note_registered(5)
    view.copy.replace(read(make_version(1, 5)))
    assert isinstance(leases.lease("claims"), Lease)
    await timers.sleep(GRANT_MAX_STALENESS_S + GRANT_S)
    assert isinstance(leases.lease("claims"), NoLease)
