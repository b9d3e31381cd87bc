"""Load: all connections to an instance are held by transactions that pause.

The mean time in use is short, since most statements are. It promises waiters a
connection soon, although none is released: the pool has to grow by what they have
waited.
"""

import asyncio

import pytest

from heatherpier.pooling import ConnectionPool, PoolLimits
from heatherpier.pooling._pool import EXCESS_WAIT_S
from heatherpier.pooling.tests.test_pool import INSTANCE, Connector

SHORT_USE_S = 0.01
HOLD_S = 2.0
OPEN_S = 0.1


@pytest.fixture
def pool(timers):
    return ConnectionPool(
        INSTANCE,
        service="claims",
        connector=Connector(timers),
        timers=timers,
        limits=PoolLimits(soft_limit=1, hard_limit=3),
    )


async def acquire(pool, timers, *, limit_s=HOLD_S):
    return await pool.acquire({}, priority=1, deadline=timers.now() + limit_s)


async def use_briefly(pool, timers, *, times=50):
    for _ in range(times):
        conn = await acquire(pool, timers)
        pool.release(conn, held_s=SHORT_USE_S)


async def test_a_waiter_behind_a_held_connection_gets_one_of_its_own(pool, timers):
    await use_briefly(pool, timers)
    await acquire(pool, timers)
    began = timers.now()
    await acquire(pool, timers)
    assert timers.now() - began <= EXCESS_WAIT_S + OPEN_S
    assert pool.open_connections == 2


async def test_the_pool_grows_to_its_limit_and_no_further(pool, timers):
    await use_briefly(pool, timers)
    waiting = [asyncio.create_task(acquire(pool, timers)) for _ in range(5)]
    await timers.sleep(HOLD_S / 2)
    assert sum(task.done() for task in waiting) == 3
    assert pool.open_connections == 3
    for task in waiting:
        task.cancel()


async def test_short_uses_make_no_pool_grow(pool, timers):
    async def use():
        conn = await acquire(pool, timers)
        await timers.sleep(SHORT_USE_S)
        pool.release(conn, held_s=SHORT_USE_S)

    await use_briefly(pool, timers)
    await asyncio.gather(*(use() for _ in range(5)))
    assert pool.open_connections == 1
