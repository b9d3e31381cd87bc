"""Tests waits for a majority, against instances in memory."""

import asyncio

import pytest

from heatherpier.groups import NotAcknowledgedError
from heatherpier.positions import LogPosition

TIMEOUT_S = 2.0
IMMEDIATE_S = 0.25
CREATE = "CREATE TABLE claims (value VARCHAR(64) PRIMARY KEY)"


@pytest.fixture
async def primary(memory_group):
    instance = memory_group.instances[0]
    instance.commit_alone(CREATE)
    return instance


def acknowledge(view, position, primary, timers):
    deadline = timers.now() + TIMEOUT_S
    return view.acknowledge(position, primary=primary.name, deadline=deadline)


def insert(primary, number):
    return primary.commit_alone(f"INSERT INTO claims VALUES ('{number}')")


async def test_position_held_by_one_replica_is_acknowledged(
    memory_group, primary, timers
):
    memory_group.instances[1].faults.replication_stopped = True
    view = memory_group.view("proxy-1")
    position = insert(primary, 1)
    await acknowledge(view, position, primary, timers)
    assert memory_group.instances[2].position >= position


async def test_position_held_by_no_replica_is_not_acknowledged(
    memory_group, primary, timers
):
    for replica in memory_group.instances[1:]:
        replica.faults.replication_stopped = True
    with pytest.raises(NotAcknowledgedError):
        await acknowledge(
            memory_group.view("proxy-1"), insert(primary, 1), primary, timers
        )


async def test_wait_fails_at_once_when_a_majority_left_the_term(
    memory_group, primary, timers
):
    position = insert(primary, 1)
    for replica in memory_group.instances[1:]:
        replica.adopt(2, "p")
    started_at = timers.now()
    with pytest.raises(NotAcknowledgedError):
        await acknowledge(memory_group.view("proxy-1"), position, primary, timers)
    assert timers.now() - started_at <= IMMEDIATE_S


async def test_entry_of_an_earlier_term_is_not_acknowledged_by_later_copies(
    memory_group, primary, timers
):
    first, second, third = memory_group.instances
    third.faults.replication_stopped = True
    position = insert(first, 1)
    await timers.sleep(1.0)
    for instance in (second, third):
        instance.adopt(2, "p")
    second.promote(2, "p")
    third.faults.replication_stopped = False
    third.follow(2, second.name)
    await timers.sleep(1.0)
    assert third.position > position
    with pytest.raises(NotAcknowledgedError):
        await acknowledge(memory_group.view("proxy-1"), position, first, timers)


async def test_earlier_entries_count_with_the_first_entry_of_the_new_term(
    memory_group, primary, timers
):
    first, second, third = memory_group.instances
    await timers.sleep(1.0)
    for instance in (second, third):
        instance.adopt(2, "p")
    second.promote(2, "p")
    third.follow(2, second.name)
    await acknowledge(memory_group.view("proxy-1"), second.position, second, timers)
    assert third.position == second.position


@pytest.mark.parametrize("proxies", [4, 12])
async def test_many_waits_need_one_connection_to_each_replica(
    memory_group, primary, timers, proxies
):
    views = [memory_group.view(f"p-{n}", connections=1) for n in range(proxies)]
    positions = [insert(primary, number) for number in range(100)]
    await asyncio.gather(
        *(
            acknowledge(view, position, primary, timers)
            for view in views
            for position in positions
        )
    )
    replicas = memory_group.instances[1:]
    opened = [len(memory_group.network.open[replica.name]) for replica in replicas]
    assert max(opened) <= proxies


async def test_waits_do_not_block_the_only_connection(memory_group, primary, timers):
    replica = memory_group.instances[1]
    for instance in memory_group.instances[1:]:
        instance.faults.replication_stopped = True
    view = memory_group.view("proxy-1", connections=1)
    wait = asyncio.create_task(acknowledge(view, insert(primary, 1), primary, timers))
    await timers.sleep(0.1)
    started_at = timers.now()
    async with view.pools[replica.name].acquire(timeout_s=TIMEOUT_S) as conn:
        await conn.execute("SELECT 1", timeout_s=TIMEOUT_S)
    assert timers.now() - started_at <= 0.05
    with pytest.raises(NotAcknowledgedError):
        await wait


async def test_connections_are_free_after_waits_end(memory_group, primary, timers):
    view = memory_group.view("proxy-1", connections=1)
    await acknowledge(view, insert(primary, 1), primary, timers)
    await timers.sleep(1.0)
    for pool in view.pools.values():
        async with pool.acquire(timeout_s=IMMEDIATE_S) as conn:
            await conn.execute("SELECT 1", timeout_s=IMMEDIATE_S)


async def test_primary_whose_term_a_majority_left_is_not_confirmed(
    memory_group, primary, timers
):
    view = memory_group.view("proxy-1")
    status = primary.status()
    for replica in memory_group.instances[1:]:
        replica.adopt(2, "p")
    with pytest.raises(NotAcknowledgedError):
        await view.confirm_primary(status, deadline=timers.now() + TIMEOUT_S)


async def test_answer_to_an_earlier_question_confirms_no_primary(
    memory_group, primary, timers
):
    await timers.sleep(1.0)
    memory_group.network.delay_s = 0.1
    view = memory_group.view("proxy-1")
    # The replicas answer this question before they leave the term.
    earlier_wait = asyncio.create_task(
        acknowledge(view, LogPosition(1, 1), primary, timers)
    )
    await timers.sleep(0.15)
    status = primary.status()
    for replica in memory_group.instances[1:]:
        replica.adopt(2, "p")
    with pytest.raises(NotAcknowledgedError):
        await view.confirm_primary(status, deadline=timers.now() + TIMEOUT_S)
    await earlier_wait


async def test_primary_is_confirmed_by_a_replica_that_lags(
    memory_group, primary, timers
):
    for replica in memory_group.instances[1:]:
        replica.faults.replication_stopped = True
    insert(primary, 1)
    view = memory_group.view("proxy-1")
    deadline = timers.now() + TIMEOUT_S
    await view.confirm_primary(primary.status(), deadline=deadline)
    assert timers.now() < deadline
