"""Choice of the instance for a read, and the errors when no instance may serve it."""

import contextlib
import dataclasses

import pytest

from heatherpier.limits import StatementKind
from heatherpier.positions import LogPosition
from heatherpier.requests import (
    NotRunError,
    OverloadedError,
    Priority,
    StatementRejectedError,
    TooStaleError,
)


async def connect(cluster, *, location=0, peer="proxy-1"):
    client = cluster.client(peer, location=location)
    await client.group.refresh()
    return client


@pytest.mark.parametrize(
    ("location", "fields", "served_by"),
    [
        (1, {"min_position": LogPosition(1, 2)}, 1),
        (2, {"min_position": LogPosition(1, 2)}, 2),
        (0, {"min_position": LogPosition(1, 2)}, 1),
        (2, {"max_age_ms": 5000}, 2),
        (2, {}, 0),
    ],
    ids=[
        "own data centre",
        "own data centre 2",
        "near primary",
        "aged",
        "no minimum position",
    ],
)
async def test_choice_of_instance(cluster, location, fields, served_by):
    client = await connect(cluster, location=location)
    answer = await client.read(**fields)
    assert answer.instance == cluster.memory.instances[served_by].name


async def test_leaving_instance_gets_no_reads(cluster):
    near = cluster.memory.instances[1]
    near.address = dataclasses.replace(near.address, leaving=True)
    client = await connect(cluster, location=1)
    answer = await client.read(min_position=LogPosition(1, 2))
    assert answer.instance == cluster.memory.instances[2].name


async def test_statement_error_is_passed_on_with_its_own_code(cluster):
    client = await connect(cluster)
    with pytest.raises(StatementRejectedError) as caught:
        await client.read("SELECT v FROM missing", min_position=LogPosition(1, 2))
    assert (caught.value.code, caught.value.sqlstate) == (1146, "42S02")


async def test_primary_serves_the_read_if_replication_has_stopped(cluster):
    for replica in cluster.memory.instances[1:]:
        replica.faults.replication_stopped = True
    await cluster.timers.sleep(3)
    client = await connect(cluster, location=1)
    answer = await client.read(max_age_ms=1000)
    assert answer.instance == cluster.memory.instances[0].name


async def test_known_position_skips_the_check_before_the_read(cluster):
    client = await connect(cluster, location=1)
    await client.read(min_position=LogPosition(1, 3))
    began = cluster.timers.now()
    await client.read(min_position=LogPosition(1, 3))
    round_trip_s = 2 * cluster.memory.network.delay_s
    assert cluster.timers.now() - began == pytest.approx(2 * round_trip_s)


async def test_instance_below_the_minimum_term_is_never_read_from(cluster):
    await cluster.change_primary(1, voters=[1, 2])
    await cluster.timers.sleep(1)
    min_position = cluster.memory.instances[1].position
    client = await connect(cluster, location=0)
    answer = await client.read(min_position=LogPosition(min_position.term, 0))
    assert answer.instance != cluster.memory.instances[0].name


@pytest.mark.parametrize(
    ("fault", "served_by"),
    [("slow", 2), ("paused", 2), ("cut", 2), ("crashed", 2), ("silent", 1)],
)
async def test_unresponsive_replica_is_skipped(cluster, fault, served_by):
    client = await connect(cluster, location=1)
    memory, target = cluster.memory, cluster.memory.instances[1]
    match fault:
        case "slow":
            target.faults.slow_ms = 20_000
        case "paused":
            target.pause()
        case "cut":
            memory.network.cut("proxy-1", target.name)
        case "crashed":
            memory.network.crash(target.name)
        case "silent":
            await cluster.timers.sleep(2)
            for conn in memory.network.open[target.name]:
                conn.silent = True
    began = cluster.timers.now()
    answer = await client.read(min_position=LogPosition(1, 2))
    assert answer.instance == memory.instances[served_by].name
    assert cluster.timers.now() - began < 5


async def test_slow_group_is_still_served_within_the_deadline(cluster):
    client = await connect(cluster, location=1)
    for instance in cluster.memory.instances:
        instance.faults.slow_ms = 500
    answer = await client.read(min_position=LogPosition(1, 2))
    assert answer.replica


async def test_read_on_an_unreachable_group_fails_at_once(cluster):
    client = await connect(cluster)
    for instance in cluster.memory.instances:
        cluster.memory.network.crash(instance.name)
    began = cluster.timers.now()
    with pytest.raises(NotRunError) as caught:
        await client.read(min_position=LogPosition(1, 2))
    assert caught.value.retry_after_ms
    assert cluster.timers.now() - began < 1


async def test_failed_instance_is_reported_to_the_group(cluster):
    client = await connect(cluster, location=1)
    cluster.memory.network.crash(cluster.memory.instances[1].name)
    await client.read(min_position=LogPosition(1, 2))
    assert client.group.suspected.is_set()


async def test_too_stale_error_states_the_available_age_at_once(cluster):
    primary, near, far = cluster.memory.instances
    near.faults.replication_stopped = far.faults.replication_stopped = True
    cluster.memory.network.crash(primary.name)
    await cluster.timers.sleep(5)
    cluster.memory.network.crash(far.name)
    client = await connect(cluster, location=1)
    began = cluster.timers.now()
    with pytest.raises(TooStaleError) as caught:
        await client.read(max_age_ms=1000)
    age_ms = caught.value.available_age_ms
    assert 5000 <= age_ms <= 6000
    assert cluster.timers.now() - began < 1
    assert (await client.read(max_age_ms=age_ms + 100)).instance == near.name


async def test_aged_read_waits_for_ongoing_replication(cluster):
    primary, near, far = cluster.memory.instances
    cluster.memory.network.cut("proxy-1", primary.name)
    cluster.memory.network.crash(far.name)
    client = await connect(cluster, location=1)
    near.faults.replication_stopped = True
    await cluster.timers.sleep(1)
    near.faults.replication_stopped = False
    answer = await client.read(max_age_ms=500)
    assert answer.instance == near.name


async def test_aged_read_is_not_served_by_a_replica_that_stalls_during_it(cluster):
    client = await connect(cluster, location=1)
    near = cluster.memory.instances[1]
    await client.read(max_age_ms=1000)
    near.faults.slow_ms = 1200
    answer = await client.read(max_age_ms=1000)
    assert answer.instance != near.name


async def test_read_on_an_overloaded_group_is_refused_at_once(cluster):
    client = await connect(cluster)
    primary, *replicas = cluster.memory.instances
    slots = [
        (replica.name, StatementKind.READ) for replica in replicas for _ in range(3)
    ]
    slots += [(primary.name, StatementKind.PRIMARY_READ)] * 2 + [
        (primary.name, StatementKind.WRITE)
    ]
    async with contextlib.AsyncExitStack() as stack:
        for name, kind in slots:
            slot = client.reader._admission.admit(
                name, priority=Priority.WRITE, deadline=60, kind=kind
            )
            await stack.enter_async_context(slot)
        began = cluster.timers.now()
        with pytest.raises(OverloadedError) as caught:
            await client.read(min_position=LogPosition(1, 3), within_s=0.01)
        assert caught.value.retry_after_ms
        assert cluster.timers.now() - began <= 0.01


async def test_transaction_is_not_begun_on_a_full_primary(cluster):
    client = await connect(cluster)
    primary = cluster.memory.instances[0].name
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(3):
            slot = client.reader._admission.admit(
                primary, priority=Priority.WRITE, deadline=60, kind=StatementKind.WRITE
            )
            await stack.enter_async_context(slot)
        with pytest.raises(OverloadedError):
            await client.run("BEGIN", deadline_ms="500")


async def test_late_answer_is_not_returned_to_another_read(cluster):
    client = await connect(cluster, location=1)
    near = cluster.memory.instances[1]
    near.faults.slow_ms = 2600
    await client.read("SELECT 1", min_position=LogPosition(1, 3))
    near.faults.slow_ms = 0
    await client.group.refresh()
    for number in (2, 3):
        answer = await client.read(f"SELECT {number}", min_position=LogPosition(1, 3))
        assert (answer.instance, answer.result.rows) == (near.name, ((number,),))
        await cluster.timers.sleep(1.5)
