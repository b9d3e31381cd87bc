"""Pools whose waiters are in fair order: refusals, the reserve, changes of the mode."""

import asyncio
import random

import pytest
from prometheus_client import CollectorRegistry

from heatherpier.pooling import (
    ConnectionPool,
    ConnectionUse,
    FairOrder,
    PoolLimits,
    WaiterMetrics,
)
from heatherpier.pooling.tests.test_pool import INSTANCE, Connector
from heatherpier.requests import OverloadedError


@pytest.fixture
def registry():
    return CollectorRegistry()


@pytest.fixture
def active():
    return [True]


@pytest.fixture
def pool(timers, registry, active):
    pool = ConnectionPool(
        INSTANCE,
        service="claims",
        connector=Connector(timers),
        timers=timers,
        limits=PoolLimits(soft_limit=3, hard_limit=3),
        order=FairOrder(
            active=lambda: active[0],
            rng=random.Random(1),
            metrics=WaiterMetrics(registry),
        ),
    )
    pool.scarce = True
    return pool


async def use(
    pool,
    timers,
    *,
    seconds=0.011,
    name="write",
    organisation="a",
    within=3.0,
    objective_s=0.5,
):
    """Uses a connection and returns how long it waited for it, in seconds."""
    began = timers.now()
    conn = await pool.acquire(
        {},
        priority=1,
        deadline=began + within,
        organisation=organisation,
        use=ConnectionUse(
            class_name=name,
            reads=name != "write",
            objective_at=began + objective_s,
            objective_s=objective_s,
        ),
    )
    waited_s = timers.now() - began
    try:
        await timers.sleep(seconds)
    finally:
        conn.used_at = timers.now()
        pool.release(conn, held_s=seconds)
    return waited_s


async def learn_uses(pool, timers):
    await use(pool, timers, name="write", seconds=0.011)
    await use(pool, timers, name="read", seconds=0.055)


async def test_long_reads_leave_a_connection_to_short_writes(pool, timers):
    # A burst of long reads would hold all connections, and writes wait for their end.
    await learn_uses(pool, timers)
    long = [
        asyncio.create_task(
            use(pool, timers, name="read", seconds=0.5, objective_s=2.5)
        )
        for _ in range(6)
    ]
    await timers.sleep(0.1)
    assert await use(pool, timers) < 0.05
    await asyncio.gather(*long)


async def test_long_reads_use_all_connections_if_there_is_no_shorter_work(pool, timers):
    began = timers.now()
    await asyncio.gather(
        *(
            use(pool, timers, name="read", seconds=0.5, objective_s=2.5)
            for _ in range(3)
        )
    )
    assert timers.now() - began < 0.6


async def test_the_reserve_ends_with_the_short_work(pool, timers):
    # The connection that reads left to writes would stay closed or idle, although only
    # reads wait.
    await asyncio.gather(*(use(pool, timers) for _ in range(3)))
    await learn_uses(pool, timers)
    began = timers.now()
    reads = [
        use(pool, timers, name="read", seconds=0.5, within=60, objective_s=60)
        for _ in range(60)
    ]
    await asyncio.gather(*reads)
    assert timers.now() - began < 5.0 + (60 - 20) * 0.5 / 3 + 1.0


async def test_a_waiter_without_a_chance_is_refused_at_once(pool, timers, registry):
    holders = [
        asyncio.create_task(use(pool, timers, name="read", seconds=0.05, within=60))
        for _ in range(90)
    ]
    await timers.sleep(0.3)
    began = timers.now()
    refusals = []
    for organisation in "bcd":
        with pytest.raises(OverloadedError) as caught:
            await use(pool, timers, organisation=organisation, within=0.001)
        refusals.append(caught.value.retry_after_ms)
    assert timers.now() == began
    # Refused callers don't all return in one moment.
    assert len(set(refusals)) == 3
    name, cause = "heatherpier_waiters_refused_total", {"cause": "no chance"}
    assert registry.get_sample_value(name, cause) == 3
    await asyncio.gather(*holders)


async def test_a_waiter_that_was_pushed_back_is_refused_before_its_deadline(
    pool, timers
):
    # It would be held until its deadline, and its caller could not try again.
    tasks = [
        asyncio.create_task(use(pool, timers, name="read", seconds=0.05, within=60))
        for _ in range(3)
    ]
    await timers.sleep(0.02)
    began = timers.now()
    behind = asyncio.create_task(
        use(pool, timers, name="other", organisation="b", within=2.0, objective_s=1.9)
    )
    await timers.sleep(0.001)
    tasks += [
        asyncio.create_task(use(pool, timers, seconds=0.3, objective_s=9.0, within=60))
        for _ in range(200)
    ]
    for _ in range(40):
        await timers.sleep(0.01)
        tasks += [
            asyncio.create_task(use(pool, timers, seconds=0.05)) for _ in range(3)
        ]
    results = await asyncio.gather(behind, return_exceptions=True)
    assert isinstance(results[0], OverloadedError) or results[0] < 1.9
    assert timers.now() - began < 2.0
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_waiters_stay_served_when_organisations_are_configured_or_removed(
    pool, timers, active
):
    # Waiters of the earlier mode would be forgotten in a queue that is not read.
    tasks = []
    for mode in (False, True, False, True):
        active[0] = mode
        tasks += [asyncio.create_task(use(pool, timers)) for _ in range(10)]
        await timers.sleep(0.015)
    await asyncio.gather(*tasks)
    assert not pool.waiting


async def test_cancelled_waiters_leave_no_use_behind(pool, timers):
    # Uses that are counted for ever would keep long reads from the pool.
    await learn_uses(pool, timers)
    tasks = [
        asyncio.create_task(use(pool, timers, name="read", seconds=0.05))
        for _ in range(12)
    ]
    for task in tasks[::2]:
        await timers.sleep(0.007)
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert not any(pool._meter._present.values())


async def test_a_waiter_that_is_cancelled_when_it_is_served_hands_its_grant_on(
    pool, timers
):
    held = [
        await pool.acquire({}, priority=1, deadline=9.0, organisation="a")
        for _ in range(3)
    ]
    waiting = [asyncio.create_task(use(pool, timers)) for _ in range(2)]
    await timers.sleep(0.01)
    pool.release(held[0], held_s=0.01)
    waiting[0].cancel()
    await asyncio.gather(waiting[1])
    assert sum(pool._meter._present.values()) == 2
