"""Read-your-writes and monotonic reads while sessions roam and primaries change.

Each scenario tells whether its promise held. It runs as the product is, and once
with the mechanism that keeps the promise switched off, which must show.
"""

import dataclasses

import pytest

from heatherpier.bench import _instance as bench_instance
from heatherpier.groups import Group, LogPosition
from heatherpier.reads import _attempt, _knowledge
from heatherpier.reads._attempt import Attempt
from heatherpier.reads._knowledge import GroupKnowledge
from heatherpier.reads._outcomes import Served
from heatherpier.requests import FinalError
from heatherpier.sessions import SessionPositions

SEEN = [(1,)]
READ = "SELECT v FROM t WHERE v = 1"
WRITE = "INSERT INTO t VALUES (1)"


def switch_off(mechanism, monkeypatch):
    match mechanism:
        case "floor check":
            for module in (_attempt, _knowledge):
                monkeypatch.setattr(module, "is_fresh", lambda *args: True)
        case "status after the read":
            run = Attempt.run

            async def forget(self, name, **limits):
                outcome = await run(self, name, **limits)
                answer = dataclasses.replace(outcome.answer, position=None)
                return Served(answer)

            monkeypatch.setattr(Attempt, "run", forget)
        case "confirmation" | "acknowledgement":

            async def agree(*args, **kwargs):
                return None

            monkeypatch.setattr(Group, "confirm_primary", agree)
            monkeypatch.setattr(Group, "acknowledge", agree)
        case "kept entries":
            monkeypatch.setattr(GroupKnowledge, "can_vanish", lambda *args: False)
        case "named sessions":
            monkeypatch.setattr(
                SessionPositions,
                "min_position",
                lambda self, group: self._token.min_position(group),
            )


def scenario(mechanism):
    """Runs a test with the mechanism on and off."""
    return pytest.mark.parametrize(
        "off", [None, mechanism], ids=["on", f"{mechanism} off"]
    )


async def ready(field, peer, *, place):
    desk = field.desk(peer, place=place)
    await desk.group.refresh()
    return desk


async def read_or_refusal(desk, sql=READ):
    try:
        return await desk.run(sql, deadline_ms="1500")
    except FinalError:
        return None


@scenario("floor check")
async def test_session_sees_its_write_through_another_proxy(field, monkeypatch, off):
    here = await ready(field, "proxy-1", place=0)
    there = await ready(field, "proxy-2", place=1)
    field.memory.instances[1].faults.lag_ms = 2000
    await here.run(WRITE)
    switch_off(off, monkeypatch)
    rows = await there.run(READ, token=await here.token())
    assert (rows == SEEN) is (off is None)


@scenario("floor check")
async def test_session_sees_its_write_after_a_change_of_primary(
    field, monkeypatch, off
):
    here = await ready(field, "proxy-1", place=0)
    there = await ready(field, "proxy-2", place=1)
    slow, further = field.memory.instances[1:]
    slow.faults.lag_ms = 1000
    await here.run(WRITE)
    field.memory.network.crash(field.memory.instances[0].name)
    await field.change_primary(2, voters=[1, 2])
    switch_off(off, monkeypatch)
    rows = await there.run(READ, token=await here.token())
    assert further.position.term == 2
    assert (rows == SEEN) is (off is None)


@scenario("status after the read")
async def test_what_was_read_is_seen_through_another_proxy(field, monkeypatch, off):
    writer = await ready(field, "proxy-1", place=0)
    reader = await ready(field, "proxy-2", place=1)
    roamed = await ready(field, "proxy-3", place=2)
    field.memory.instances[2].faults.replication_stopped = True
    await field.timers.sleep(0.5)
    await writer.run("SELECT 1")
    early = await writer.token()
    await reader.run("SELECT 1", token=early)
    await writer.run(WRITE)
    await field.timers.sleep(0.2)
    switch_off(off, monkeypatch)
    assert await reader.run(READ) == SEEN
    rows = await roamed.run(READ, token=await reader.token())
    assert (rows == SEEN) is (off is None)


@scenario("confirmation")
async def test_session_without_floor_is_not_served_by_an_old_primary(
    field, monkeypatch, off
):
    desk = await ready(field, "proxy-1", place=0)
    old, new, third = field.memory.instances
    for other in (new, third):
        field.memory.network.cut(old.name, other.name)
    await field.change_primary(1, voters=[1, 2])
    writer = await ready(field, "proxy-2", place=1)
    await writer.run(WRITE)
    switch_off(off, monkeypatch)
    rows = await read_or_refusal(desk)
    assert (rows == SEEN) is (off is None)


@scenario("acknowledgement")
async def test_entry_that_only_the_primary_holds_is_not_shown(field, monkeypatch, off):
    desk = await ready(field, "proxy-1", place=0)
    await desk.read(min_position=LogPosition(1, 3))
    primary, *replicas = field.memory.instances
    for replica in replicas:
        field.memory.network.cut(primary.name, replica.name)
        field.memory.network.cut("proxy-1", replica.name)
    primary.commit_alone(WRITE)
    switch_off(off, monkeypatch)
    rows = await read_or_refusal(desk)
    assert (rows != SEEN) is (off is None)


@scenario("kept entries")
async def test_entry_of_a_former_term_is_not_shown_before_it_is_kept(
    field, monkeypatch, off
):
    first, second, third = field.memory.instances
    network = field.memory.network
    desk = await ready(field, "proxy-2", place=1)
    await desk.run("SELECT 1", token=await (await ready(field, "p", place=0)).token())
    await desk.run("SELECT 1")
    second.faults.replication_stopped = third.faults.replication_stopped = True
    await field.timers.sleep(1)
    before = second.position
    first.commit_alone(WRITE)
    network.crash(first.name)
    await field.change_primary(2, voters=[1, 2])
    network.crash(third.name)
    network.restart(first.name)
    await field.change_primary(0, voters=[0, 1])
    network.cut("proxy-2", first.name)
    monkeypatch.setattr(bench_instance, "FETCH_LIMIT", 1)
    second.faults.replication_stopped = False
    while second.position == before:
        await field.timers.sleep(0.001)
    second.faults.replication_stopped = True
    assert second.position == LogPosition(1, before.index + 1)
    switch_off(off, monkeypatch)
    rows = await read_or_refusal(desk)
    assert (rows != SEEN) is (off is None)


@scenario("named sessions")
async def test_named_session_without_token_sees_its_write_elsewhere(
    field, monkeypatch, off
):
    here = await ready(field, "proxy-1", place=1)
    there = await ready(field, "proxy-2", place=2)
    switch_off(off, monkeypatch)
    await here.run("SELECT 1", session="desk-7")
    field.memory.instances[1].faults.lag_ms = 2000
    await there.run(WRITE, session="desk-7")
    rows = await here.run(READ, session="desk-7")
    assert (rows == SEEN) is (off is None)


async def test_connection_that_changes_session_forgets_the_former_floor(field):
    desk = await ready(field, "proxy-1", place=1)
    other = await ready(field, "proxy-2", place=0)
    await desk.run("SELECT 1", session="a", token=await other.token())
    field.memory.instances[1].faults.lag_ms = 2000
    await other.run(WRITE, session="b")
    assert await desk.run(READ, session="b") == SEEN


async def test_group_cut_off_from_two_instances_serves_what_it_can(field):
    desk = await ready(field, "proxy-2", place=1)
    await desk.read(min_position=LogPosition(1, 3))
    for name in (0, 2):
        field.memory.network.cut("proxy-2", field.memory.instances[name].name)
    answer = await desk.read(min_position=LogPosition(1, 3))
    assert answer.instance == field.memory.instances[1].name


async def test_primary_alone_refuses_reads_it_cannot_prove_before_the_deadline(field):
    desk = await ready(field, "proxy-1", place=0)
    primary, *replicas = field.memory.instances
    for replica in replicas:
        field.memory.network.crash(replica.name)
    began = field.timers.now()
    with pytest.raises(FinalError, match="not run"):
        await desk.read()
    assert field.timers.now() - began < 2


async def test_age_that_an_isolated_primary_stated_is_not_believed_of_a_replica(
    field, monkeypatch
):
    first, second, third = field.memory.instances
    for name in (second.name, third.name):
        field.memory.network.cut(first.name, name)
    await field.change_primary(1, voters=[1, 2])
    await field.timers.sleep(8)
    desk = await ready(field, "proxy-1", place=0)
    for name in (second.name, third.name):
        field.memory.network.cut("proxy-1", name)
    second.commit_alone(WRITE)
    await field.timers.sleep(3)
    read = first.engine.read

    def demote_and_read(sql, **options):
        if sql == READ:
            first.follow(second.adopted_term, second.name)
            first.log.append(second.log[len(first.log)])
        return read(sql, **options)

    monkeypatch.setattr(first.engine, "read", demote_and_read)
    with pytest.raises(FinalError):
        await desk.read(READ, max_age_ms=2000, within_s=1.0)
