"""One unexpected error in a duty of a proxy ends neither the duty nor the process."""

import asyncio
import dataclasses

import pytest

from heatherpier.bench import ask
from heatherpier.bench._simulated_group import SimulatedGroupControl
from heatherpier.bench._simulated_link import SimulatedConnector
from heatherpier.discovery import MISSING_GRACE_S
from heatherpier.leases import LEASE_S, MemberLiveness, PrimaryWatcher
from heatherpier.leases._view import FLEET_TABLE, MEMBER_PREFIX
from heatherpier.leases._watcher import UNCLAIMED_S
from heatherpier.leases.tests.test_change_of_primary import (
    SETTLED_S,
    read_through_every_proxy,
    write_until_served,
)
from heatherpier.statements import Done
from heatherpier.tables import TableFollower

# Name of an entry at which each connection raises an error that nobody expects.
ODD = "claims-odd"


def fail_once_each(monkeypatch, kind, method):
    """Makes a method fail at its first call on each object."""
    original, failed = getattr(kind, method), set()

    async def fail_first(self, *args, **kwargs):
        if id(self) not in failed:
            failed.add(id(self))
            raise RuntimeError("unexpected")
        return await original(self, *args, **kwargs)

    monkeypatch.setattr(kind, method, fail_first)
    return failed


async def test_a_primary_is_replaced_although_each_watcher_failed_once(
    deployment, timers, monkeypatch
):
    failed = fail_once_each(monkeypatch, PrimaryWatcher, "_find_due_change")
    await timers.sleep(SETTLED_S)
    assert len(failed) == len(deployment.engines)
    await read_through_every_proxy(deployment)
    deployment.groups["claims"].instances["claims-0"].running = False
    await write_until_served(deployment, timers)


async def test_a_silent_member_is_removed_although_each_watch_failed_once(
    deployment, timers, monkeypatch
):
    fail_once_each(monkeypatch, MemberLiveness, "_check")
    await timers.sleep(SETTLED_S)
    await deployment.power_off("proxy-3")
    await timers.sleep(SETTLED_S)
    client = deployment.store.client("proxy-0")
    rows = (await client.read_table(FLEET_TABLE)).rows
    assert MEMBER_PREFIX + "proxy-3" not in {row.key for row in rows}


async def test_tables_are_followed_although_each_follower_failed_once(
    deployment, timers, monkeypatch
):
    failed = fail_once_each(monkeypatch, TableFollower, "_step")
    await timers.sleep(SETTLED_S)
    assert failed
    reply = await ask(deployment.open("claims-exact"), "WRITE claim")
    assert isinstance(reply.outcome, Done)


async def test_a_task_that_is_cancelled_is_not_started_again(deployment, timers):
    engine = deployment.engines["proxy-0"]
    tasks = list(engine._watchers.values())
    await deployment.kill("proxy-0")
    with pytest.raises(asyncio.CancelledError):
        await tasks[0]


def raise_at(monkeypatch, name):
    """Makes each connection to an instance raise an unexpected error."""
    for kind, method in (
        (SimulatedConnector, "connect"),
        (SimulatedGroupControl, "_reach"),
    ):
        make_method_raise(monkeypatch, kind, method, name)


def make_method_raise(monkeypatch, kind, method, name):
    original = getattr(kind, method)

    async def raise_or_call(self, item, *args, **kwargs):
        if item.name == name:
            raise UnicodeError("label empty or too long")
        return await original(self, item, *args, **kwargs)

    monkeypatch.setattr(kind, method, raise_or_call)


def add_odd_entry(deployment, monkeypatch, *, primary):
    """Registers an instance to which connecting raises an unexpected error."""
    raise_at(monkeypatch, ODD)
    known = deployment.groups["claims"].instances["claims-1"]
    record = dataclasses.replace(
        known.record,
        instance=dataclasses.replace(known.record.instance, name=ODD),
        claims_primary=primary,
    )
    deployment.register(dataclasses.replace(known, record=record))


async def test_a_second_claim_that_raises_does_not_leave_a_service_without_a_primary(
    deployment, timers, monkeypatch
):
    # The case of the review: the question who leads raises for one of the instances.
    await timers.sleep(1.0)
    add_odd_entry(deployment, monkeypatch, primary=True)
    for name in deployment.names:
        await deployment.kill(name)
        await deployment.start(name)
    await timers.sleep(1.0)
    await write_until_served(deployment, timers, limit_s=UNCLAIMED_S + 16.0)


async def test_a_candidate_that_raises_does_not_stop_a_planned_change(
    deployment, timers, monkeypatch
):
    # Guards against a leaving primary that keeps its role until it ends.
    group = deployment.groups["claims"]
    await read_through_every_proxy(deployment)
    add_odd_entry(deployment, monkeypatch, primary=False)
    primary = group.instances["claims-0"]
    listed = dataclasses.replace(primary.record.instance, leaving=True)
    primary.record = dataclasses.replace(primary.record, instance=listed)
    deployment.register(primary)
    await timers.sleep(2 * LEASE_S)
    assert group.primary().name != "claims-0"
    assert await write_until_served(deployment, timers) < 1.0


async def test_a_primary_that_raises_is_replaced(deployment, timers, monkeypatch):
    # Guards against a probe whose error ends the watch of the primary.
    group = deployment.groups["claims"]
    await read_through_every_proxy(deployment)
    raise_at(monkeypatch, "claims-0")
    for engine in deployment.engines.values():
        engine.context.pools.drop("claims-0")
    await write_until_served(deployment, timers, limit_s=2 * LEASE_S)
    assert group.promotions


async def test_reads_beside_an_instance_that_raises_are_answered(
    deployment, timers, monkeypatch
):
    # Guards against an error that ends the caller's connection without an answer.
    await read_through_every_proxy(deployment)
    add_odd_entry(deployment, monkeypatch, primary=False)
    deployment.groups["claims"].instances["claims-1"].busy = 10_000
    await timers.sleep(1.0)
    session = deployment.open("claims-aged", proxy="proxy-1")
    for _ in range(20):
        assert isinstance((await ask(session, "READ claim")).outcome, Done)
        await timers.sleep(0.2)
    failures = deployment.engines["proxy-1"].context.health.failing_since(ODD)
    assert failures is not None


async def test_connections_are_opened_ahead_beside_an_instance_that_raises(
    deployment, timers, monkeypatch
):
    # Guards against a warm-up that ends at the first such instance.
    late = deployment.groups["claims"].instances["claims-1"]
    deployment.unregister(late)
    await timers.sleep(2 * MISSING_GRACE_S)
    add_odd_entry(deployment, monkeypatch, primary=False)
    deployment.register(late)
    await timers.sleep(3.0)
    pools = deployment.engines["proxy-1"].context.pools
    assert pools.direct(late.record).open_connections == 1
