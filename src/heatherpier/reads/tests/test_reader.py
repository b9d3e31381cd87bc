"""Where reads go, and what callers are told when no instance may serve them."""

import contextlib
import dataclasses

import pytest

from heatherpier.groups import LogPosition
from heatherpier.limits import StatementKind
from heatherpier.requests import (
    NotRunError,
    OverloadedError,
    Priority,
    StatementRejectedError,
    TooStaleError,
)


async def ready(field, *, place=0, peer="proxy-1"):
    desk = field.desk(peer, place=place)
    await desk.group.refresh()
    return desk


@pytest.mark.parametrize(
    ("place", "fields", "served_by"),
    [
        (1, {"min_position": LogPosition(1, 2)}, 1),
        (2, {"min_position": LogPosition(1, 2)}, 2),
        (0, {"min_position": LogPosition(1, 2)}, 1),
        (2, {"max_age_ms": 5000}, 2),
        (2, {}, 0),
    ],
    ids=["own place", "own place 2", "near primary", "aged", "no floor"],
)
async def test_choice_of_instance(field, place, fields, served_by):
    desk = await ready(field, place=place)
    answer = await desk.read(**fields)
    assert answer.instance == field.memory.instances[served_by].name


async def test_leaving_instance_gets_no_read(field):
    near = field.memory.instances[1]
    near.address = dataclasses.replace(near.address, leaving=True)
    desk = await ready(field, place=1)
    answer = await desk.read(min_position=LogPosition(1, 2))
    assert answer.instance == field.memory.instances[2].name


async def test_statement_error_passes_through_with_its_own_code(field):
    desk = await ready(field)
    with pytest.raises(StatementRejectedError) as caught:
        await desk.read("SELECT v FROM missing", min_position=LogPosition(1, 2))
    assert (caught.value.code, caught.value.sqlstate) == (1146, "42S02")


async def test_stopped_replicas_leave_the_read_to_the_primary(field):
    for replica in field.memory.instances[1:]:
        replica.faults.replication_stopped = True
    await field.timers.sleep(3)
    desk = await ready(field, place=1)
    answer = await desk.read(max_age_ms=1000)
    assert answer.instance == field.memory.instances[0].name


async def test_known_position_saves_the_check_before_the_read(field):
    desk = await ready(field, place=1)
    await desk.read(min_position=LogPosition(1, 3))
    began = field.timers.now()
    await desk.read(min_position=LogPosition(1, 3))
    round_trip_s = 2 * field.memory.network.delay_s
    assert field.timers.now() - began == pytest.approx(2 * round_trip_s)


async def test_adopted_term_below_the_floor_is_never_read_from(field):
    await field.change_primary(1, voters=[1, 2])
    await field.timers.sleep(1)
    min_position = field.memory.instances[1].position
    desk = await ready(field, place=0)
    answer = await desk.read(min_position=LogPosition(min_position.term, 0))
    assert answer.instance != field.memory.instances[0].name


@pytest.mark.parametrize(
    ("fault", "served_by"),
    [("slow", 2), ("paused", 2), ("cut", 2), ("crashed", 2), ("silent", 1)],
)
async def test_replica_that_does_not_answer_is_passed_over(field, fault, served_by):
    desk = await ready(field, place=1)
    memory, victim = field.memory, field.memory.instances[1]
    match fault:
        case "slow":
            victim.faults.slow_ms = 20_000
        case "paused":
            victim.pause()
        case "cut":
            memory.network.cut("proxy-1", victim.name)
        case "crashed":
            memory.network.crash(victim.name)
        case "silent":
            await field.timers.sleep(2)
            for conn in memory.network.open[victim.name]:
                conn.silent = True
    began = field.timers.now()
    answer = await desk.read(min_position=LogPosition(1, 2))
    assert answer.instance == memory.instances[served_by].name
    assert field.timers.now() - began < 5


async def test_slow_group_is_still_served_within_the_deadline(field):
    desk = await ready(field, place=1)
    for instance in field.memory.instances:
        instance.faults.slow_ms = 500
    answer = await desk.read(min_position=LogPosition(1, 2))
    assert answer.replica


async def test_group_cut_off_is_answered_at_once(field):
    desk = await ready(field)
    for instance in field.memory.instances:
        field.memory.network.crash(instance.name)
    began = field.timers.now()
    with pytest.raises(NotRunError) as caught:
        await desk.read(min_position=LogPosition(1, 2))
    assert caught.value.retry_after_ms
    assert field.timers.now() - began < 1


async def test_failed_instance_is_reported_to_the_group(field):
    desk = await ready(field, place=1)
    field.memory.network.crash(field.memory.instances[1].name)
    await desk.read(min_position=LogPosition(1, 2))
    assert desk.group.suspected.is_set()


async def test_too_stale_tells_the_age_that_can_be_had_at_once(field):
    primary, near, far = field.memory.instances
    near.faults.replication_stopped = far.faults.replication_stopped = True
    field.memory.network.crash(primary.name)
    await field.timers.sleep(5)
    field.memory.network.crash(far.name)
    desk = await ready(field, place=1)
    began = field.timers.now()
    with pytest.raises(TooStaleError) as caught:
        await desk.read(max_age_ms=1000)
    age_ms = caught.value.available_age_ms
    assert 5000 <= age_ms <= 6000
    assert field.timers.now() - began < 1
    assert (await desk.read(max_age_ms=age_ms + 100)).instance == near.name


async def test_aged_read_waits_for_replication_that_goes_on(field):
    primary, near, far = field.memory.instances
    field.memory.network.cut("proxy-1", primary.name)
    field.memory.network.crash(far.name)
    desk = await ready(field, place=1)
    near.faults.replication_stopped = True
    await field.timers.sleep(1)
    near.faults.replication_stopped = False
    answer = await desk.read(max_age_ms=500)
    assert answer.instance == near.name


async def test_aged_read_is_not_served_by_a_replica_that_stalled_over_it(field):
    desk = await ready(field, place=1)
    near = field.memory.instances[1]
    await desk.read(max_age_ms=1000)
    near.faults.slow_ms = 1200
    answer = await desk.read(max_age_ms=1000)
    assert answer.instance != near.name


async def test_read_on_a_full_group_is_refused_at_once(field):
    desk = await ready(field)
    primary, *replicas = field.memory.instances
    places = [
        (replica.name, StatementKind.READ) for replica in replicas for _ in range(3)
    ]
    places += [(primary.name, StatementKind.PRIMARY_READ)] * 2 + [
        (primary.name, StatementKind.WRITE)
    ]
    async with contextlib.AsyncExitStack() as stack:
        for name, kind in places:
            place = desk.reader._admission.admit(
                name, priority=Priority.WRITE, deadline=60, kind=kind
            )
            await stack.enter_async_context(place)
        began = field.timers.now()
        with pytest.raises(OverloadedError) as caught:
            await desk.read(min_position=LogPosition(1, 3), within_s=0.01)
        assert caught.value.retry_after_ms
        assert field.timers.now() - began <= 0.01


async def test_transaction_is_not_begun_on_a_full_primary(field):
    desk = await ready(field)
    primary = field.memory.instances[0].name
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(3):
            place = desk.reader._admission.admit(
                primary, priority=Priority.WRITE, deadline=60, kind=StatementKind.WRITE
            )
            await stack.enter_async_context(place)
        with pytest.raises(OverloadedError):
            await desk.run("BEGIN", deadline_ms="500")


async def test_late_answer_reaches_no_other_read(field):
    desk = await ready(field, place=1)
    near = field.memory.instances[1]
    near.faults.slow_ms = 2600
    await desk.read("SELECT 1", min_position=LogPosition(1, 3))
    near.faults.slow_ms = 0
    await desk.group.refresh()
    for number in (2, 3):
        answer = await desk.read(f"SELECT {number}", min_position=LogPosition(1, 3))
        assert (answer.instance, answer.result.rows) == (near.name, ((number,),))
        await field.timers.sleep(1.5)
