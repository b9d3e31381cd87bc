"""Grants of slots on an instance, their order, and refusals."""

import asyncio

import pytest

from heatherpier.limits import StatementKind
from heatherpier.requests import OverloadedError, Priority

from .conftest import EXECUTION_S, INSTANCE


async def warm_up(load):
    """Runs statements until their mean delay is known."""
    for _ in range(50):
        await load.statement(
            "warm_up", kind=StatementKind.WRITE, priority=Priority.WRITE
        )
    load.ended.clear()


async def test_statements_at_once_are_limited_to_the_slots(load):
    await asyncio.gather(*(load.start(n) for n in range(30)))
    assert (len(load.ended), load.max_running) == (30, 3)


async def test_classes_are_served_in_order(load):
    running = [load.start("hold") for _ in range(3)]
    await asyncio.sleep(0)
    waiting = [
        load.start(priority, priority=priority) for priority in reversed(Priority)
    ]
    await asyncio.gather(*running, *waiting)
    assert load.ended[3:] == list(Priority)


async def test_lowest_class_is_not_starved(load):
    await warm_up(load)
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
    last = max(index for index, label in enumerate(load.ended) if label == "modest")
    assert last < 3 + 2 * 5 + 3


async def test_statement_that_would_miss_its_deadline_is_refused_at_once(load):
    await warm_up(load)
    flood = [load.start("flood") for _ in range(90)]
    await asyncio.sleep(0)
    began = load.timers.now()
    refusal = await load.statement("late", within_s=0.1)
    assert isinstance(refusal, OverloadedError)
    assert load.timers.now() == began
    assert 200 <= refusal.retry_after_ms <= 400
    await asyncio.gather(*flood)


async def test_waiter_is_refused_when_others_delay_it_past_its_deadline(load):
    await warm_up(load)
    running = [load.start("hold", execution_s=0.06) for _ in range(3)]
    await asyncio.sleep(0)
    began = load.timers.now()
    late = load.start("late", priority=Priority.BATCH, within_s=0.5)
    await asyncio.sleep(0)
    flood = [load.start("write", priority=Priority.WRITE) for _ in range(200)]
    refusal = await late
    assert isinstance(refusal, OverloadedError)
    assert load.timers.now() - began < 0.25
    await asyncio.gather(*running, *flood)


@pytest.mark.parametrize(
    ("fields", "refused"),
    [
        ({"priority": Priority.WRITE}, "flood"),
        ({"user": "modest"}, "flood"),
        ({"user": "greedy"}, "new"),
        ({"priority": Priority.BATCH}, "new"),
    ],
    ids=["higher class", "user with fewer waiters", "same user", "lower class"],
)
async def test_full_queue_refuses_the_lowest_class_or_the_largest_user(
    load, fields, refused
):
    flood = [load.start("flood", user="greedy", within_s=60) for _ in range(3 + 256)]
    await asyncio.sleep(0)
    answer = await load.statement("new", within_s=60, **fields)
    answers = await asyncio.gather(*flood)
    was_refused = isinstance(answer, OverloadedError)
    assert ("new" if was_refused else "flood") == refused
    assert sum(isinstance(item, OverloadedError) for item in answers) == (
        0 if was_refused else 1
    )


async def test_reads_leave_one_slot_of_the_primary_to_writes(load):
    reads = [load.start("read", kind=StatementKind.PRIMARY_READ) for _ in range(20)]
    await asyncio.sleep(0)
    took_s = await load.statement(
        "write", kind=StatementKind.WRITE, priority=Priority.WRITE
    )
    assert took_s == pytest.approx(EXECUTION_S)
    assert load.max_reads == 2
    await asyncio.gather(*reads)


async def test_many_proxies_together_leave_the_slots_reserved_for_writes(load):
    load.admission.configure(INSTANCE, slots=3, proxies=4)
    reads = [load.start("read", kind=StatementKind.PRIMARY_READ) for _ in range(20)]
    began = load.timers.now()
    await asyncio.gather(*reads)
    # Each proxy may use half a slot: 2 of the 3 slots, shared by 4 proxies. The
    # measured time does not include the pause after the last read.
    busy_fraction = 20 * EXECUTION_S / (load.timers.now() - began)
    assert busy_fraction <= 0.5 * 20 / 19


async def test_concurrency_limit_falls_when_the_instance_slows_down(load):
    await asyncio.gather(*(load.start(n) for n in range(60)))
    load.max_running = 0
    await asyncio.gather(
        *(load.start(n, execution_s=EXECUTION_S * 5) for n in range(100))
    )
    load.max_running = 0
    await asyncio.gather(
        *(load.start(n, execution_s=EXECUTION_S * 5) for n in range(9))
    )
    assert load.max_running < 3


async def test_concurrency_limit_rises_again_after_recovery(load):
    await asyncio.gather(*(load.start(n) for n in range(60)))
    await asyncio.gather(
        *(load.start(n, execution_s=EXECUTION_S * 5) for n in range(100))
    )
    await asyncio.gather(*(load.start(n) for n in range(200)))
    load.max_running = 0
    await asyncio.gather(*(load.start(n) for n in range(9)))
    assert load.max_running == 3


async def test_reads_in_all_slots_do_not_block_a_write(load):
    reads = [load.start("read", kind=StatementKind.READ) for _ in range(20)]
    await asyncio.sleep(0)
    took_s = await load.statement(
        "write", kind=StatementKind.WRITE, priority=Priority.WRITE
    )
    assert took_s == pytest.approx(EXECUTION_S)
    await asyncio.gather(*reads)


async def test_writes_in_all_slots_do_not_block_a_primary_read(load):
    writes = [
        load.start("write", kind=StatementKind.WRITE, priority=Priority.WRITE)
        for _ in range(20)
    ]
    await asyncio.sleep(0)
    took_s = await load.statement("read", kind=StatementKind.PRIMARY_READ)
    assert took_s == pytest.approx(EXECUTION_S)
    await asyncio.gather(*writes)


async def test_cancelled_waiters_leave_the_queue(load):
    running = [load.start("hold") for _ in range(3)]
    await asyncio.sleep(0)
    waiting = [load.start("cancelled") for _ in range(50)]
    await asyncio.sleep(0)
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)
    expected_s = load.admission.expected_wait_s(
        INSTANCE, priority=Priority.SESSION_READ, user="dispatch"
    )
    assert expected_s <= EXECUTION_S
    await asyncio.gather(*running)


async def test_statement_cancelled_as_its_slot_is_granted_frees_the_slot(load):
    running = [load.start("hold", execution_s=1) for _ in range(2)]
    await asyncio.sleep(0)
    async with load.admission.admit(
        INSTANCE, priority=Priority.WRITE, deadline=load.timers.now() + 10
    ):
        cancelled = load.start("cancelled")
        await asyncio.sleep(0)
    cancelled.cancel()
    await asyncio.gather(*running, cancelled, return_exceptions=True)
    load.max_running = 0
    await asyncio.gather(*(load.start(n) for n in range(9)))
    assert load.max_running == 3


async def test_waiter_on_an_unresponsive_instance_is_refused_by_its_deadline(load):
    running = [load.start("hold", execution_s=60) for _ in range(3)]
    await asyncio.sleep(0)
    began = load.timers.now()
    refusal = await load.statement("late", within_s=1)
    assert isinstance(refusal, OverloadedError)
    assert load.timers.now() - began <= 1
    for statement in running:
        statement.cancel()
    await asyncio.gather(*running, return_exceptions=True)


async def lose_statement(load):
    async with load.admission.admit(
        INSTANCE, priority=Priority.WRITE, deadline=load.timers.now() + 10
    ):
        await load.timers.sleep(5)
        raise ConnectionError


async def test_instance_gets_statements_again_after_lost_answers(load):
    for _ in range(3):
        with pytest.raises(ConnectionError):
            await lose_statement(load)
    assert isinstance(await load.statement("next", within_s=1), float)
