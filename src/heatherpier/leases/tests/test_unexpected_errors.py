"""One unexpected error in a duty of a proxy ends neither the duty nor the process."""

import asyncio

import pytest

from heatherpier.bench import ask
from heatherpier.leases import MemberLiveness, PrimaryWatcher
from heatherpier.leases._view import FLEET_TABLE, MEMBER_PREFIX
from heatherpier.leases.tests.test_change_of_primary import (
    SETTLED_S,
    read_through_every_proxy,
    write_until_served,
)
from heatherpier.statements import Done
from heatherpier.tables import TableFollower


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
