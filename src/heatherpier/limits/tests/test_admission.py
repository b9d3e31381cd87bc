"""Who gets a place on an instance, in which order, and who is refused."""

import asyncio

import pytest

from heatherpier.limits import StatementKind
from heatherpier.requests import OverloadedError, Priority

from .conftest import INSTANCE, WORK_S


async def warm(load):
    """Lets the gate measure the delay of the statements."""
    for _ in range(50):
        await load.statement("warm", kind=StatementKind.WRITE, priority=Priority.WRITE)
    load.ended.clear()


async def test_no_more_run_at_once_than_the_instance_has_slots(load):
    await asyncio.gather(*(load.start(n) for n in range(30)))
    assert (len(load.ended), load.most_running) == (30, 3)


async def test_classes_are_served_in_order(load):
    holders = [load.start("hold") for _ in range(3)]
    await asyncio.sleep(0)
    waiting = [
        load.start(priority, priority=priority) for priority in reversed(Priority)
    ]
    await asyncio.gather(*holders, *waiting)
    assert load.ended[3:] == list(Priority)


async def test_lowest_class_is_not_starved(load):
    await warm(load)
    flood = [load.start("flood") for _ in range(200)]
    await asyncio.sleep(0)
    batch = load.start("batch", priority=Priority.BATCH)
    await asyncio.gather(batch, *flood)
    assert load.ended.index("batch") < 40


async def test_users_of_a_class_take_turns(load):
    greedy = [load.start("greedy", user="greedy") for _ in range(60)]
    await asyncio.sleep(0)
    modest = [load.start("modest", user="modest") for _ in range(5)]
    await asyncio.gather(*greedy, *modest)
    last = max(place for place, label in enumerate(load.ended) if label == "modest")
    assert last < 3 + 2 * 5 + 3


async def test_statement_that_would_come_too_late_is_refused_at_once(load):
    await warm(load)
    flood = [load.start("flood") for _ in range(90)]
    await asyncio.sleep(0)
    began = load.timers.now()
    refusal = await load.statement("late", within_s=0.1)
    assert isinstance(refusal, OverloadedError)
    assert load.timers.now() == began
    assert 200 <= refusal.retry_after_ms <= 400
    await asyncio.gather(*flood)


async def test_waiter_is_refused_when_others_push_it_behind_its_deadline(load):
    await warm(load)
    holders = [load.start("hold", work_s=0.06) for _ in range(3)]
    await asyncio.sleep(0)
    began = load.timers.now()
    late = load.start("late", priority=Priority.BATCH, within_s=0.5)
    await asyncio.sleep(0)
    flood = [load.start("claim", priority=Priority.WRITE) for _ in range(200)]
    refusal = await late
    assert isinstance(refusal, OverloadedError)
    assert load.timers.now() - began < 0.25
    await asyncio.gather(*holders, *flood)


@pytest.mark.parametrize(
    ("newcomer", "refused"),
    [
        ({"priority": Priority.WRITE}, "flood"),
        ({"user": "modest"}, "flood"),
        ({"user": "greedy"}, "newcomer"),
        ({"priority": Priority.BATCH}, "newcomer"),
    ],
    ids=["higher class", "user with less", "same user", "lower class"],
)
async def test_full_queue_refuses(load, newcomer, refused):
    flood = [load.start("flood", user="greedy", within_s=60) for _ in range(3 + 256)]
    await asyncio.sleep(0)
    answer = await load.statement("newcomer", within_s=60, **newcomer)
    answers = await asyncio.gather(*flood)
    was_refused = isinstance(answer, OverloadedError)
    assert ("newcomer" if was_refused else "flood") == refused
    assert sum(isinstance(item, OverloadedError) for item in answers) == (
        0 if was_refused else 1
    )


async def test_reads_leave_a_slot_of_the_primary_to_writes(load):
    reads = [load.start("read", kind=StatementKind.PRIMARY_READ) for _ in range(20)]
    await asyncio.sleep(0)
    took_s = await load.statement(
        "claim", kind=StatementKind.WRITE, priority=Priority.WRITE
    )
    assert took_s == pytest.approx(WORK_S)
    assert load.most_reads == 2
    await asyncio.gather(*reads)


async def test_many_proxies_together_leave_the_reserve(load):
    load.admission.configure(INSTANCE, slots=3, proxies=4)
    reads = [load.start("read", kind=StatementKind.PRIMARY_READ) for _ in range(20)]
    began = load.timers.now()
    await asyncio.gather(*reads)
    busy_share = 20 * WORK_S / (load.timers.now() - began)
    assert busy_share <= 0.5 * 20 / 19


async def test_concurrency_falls_when_the_instance_slows_down(load):
    await asyncio.gather(*(load.start(n) for n in range(60)))
    load.most_running = 0
    await asyncio.gather(*(load.start(n, work_s=WORK_S * 5) for n in range(100)))
    load.most_running = 0
    await asyncio.gather(*(load.start(n, work_s=WORK_S * 5) for n in range(9)))
    assert load.most_running < 3


async def test_concurrency_rises_again_after_recovery(load):
    await asyncio.gather(*(load.start(n) for n in range(60)))
    await asyncio.gather(*(load.start(n, work_s=WORK_S * 5) for n in range(100)))
    await asyncio.gather(*(load.start(n) for n in range(200)))
    load.most_running = 0
    await asyncio.gather(*(load.start(n) for n in range(9)))
    assert load.most_running == 3


async def test_reads_in_every_slot_do_not_keep_a_write_waiting(load):
    reads = [load.start("read", kind=StatementKind.READ) for _ in range(20)]
    await asyncio.sleep(0)
    took_s = await load.statement(
        "claim", kind=StatementKind.WRITE, priority=Priority.WRITE
    )
    assert took_s == pytest.approx(WORK_S)
    await asyncio.gather(*reads)


async def test_writes_in_every_slot_do_not_keep_a_primary_read_waiting(load):
    writes = [
        load.start("write", kind=StatementKind.WRITE, priority=Priority.WRITE)
        for _ in range(20)
    ]
    await asyncio.sleep(0)
    took_s = await load.statement("read", kind=StatementKind.PRIMARY_READ)
    assert took_s == pytest.approx(WORK_S)
    await asyncio.gather(*writes)


async def test_cancelled_waiters_leave_the_queue(load):
    holders = [load.start("hold") for _ in range(3)]
    await asyncio.sleep(0)
    waiting = [load.start("cancelled") for _ in range(50)]
    await asyncio.sleep(0)
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)
    expected_s = load.admission.expected_wait_s(
        INSTANCE, priority=Priority.SESSION_READ, user="dispatch"
    )
    assert expected_s <= WORK_S
    await asyncio.gather(*holders)


async def test_statement_cancelled_as_its_turn_comes_gives_the_place_back(load):
    holders = [load.start("hold", work_s=1) for _ in range(2)]
    await asyncio.sleep(0)
    async with load.admission.admit(
        INSTANCE, priority=Priority.WRITE, deadline=load.timers.now() + 10
    ):
        cancelled = load.start("cancelled")
        await asyncio.sleep(0)
    cancelled.cancel()
    await asyncio.gather(*holders, cancelled, return_exceptions=True)
    load.most_running = 0
    await asyncio.gather(*(load.start(n) for n in range(9)))
    assert load.most_running == 3


async def test_silent_instance_holds_a_waiter_no_longer_than_its_deadline(load):
    holders = [load.start("hold", work_s=60) for _ in range(3)]
    await asyncio.sleep(0)
    began = load.timers.now()
    refusal = await load.statement("late", within_s=1)
    assert isinstance(refusal, OverloadedError)
    assert load.timers.now() - began <= 1
    for holder in holders:
        holder.cancel()
    await asyncio.gather(*holders, return_exceptions=True)


async def lose_statement(load):
    async with load.admission.admit(
        INSTANCE, priority=Priority.WRITE, deadline=load.timers.now() + 10
    ):
        await load.timers.sleep(5)
        raise ConnectionError


async def test_instance_that_was_silent_is_tried_again(load):
    for _ in range(3):
        with pytest.raises(ConnectionError):
            await lose_statement(load)
    assert isinstance(await load.statement("next", within_s=1), float)
