"""Load: all proxies lose power in calm times.

The instance counts the connections of the ended processes for seconds. New processes can
open only what it accepts beyond these, so calm pools must not hold their whole share.
"""

import asyncio

import pytest

from heatherpier.pooling import ConnectionPool, ConnectionShares
from heatherpier.pooling._limits import IDLE_LIMIT_S
from heatherpier.pooling.tests.test_pool import INSTANCE, Connector, use

ACCEPTED = 22
PROXIES = 4
CALM_S = 3 * IDLE_LIMIT_S


@pytest.fixture
async def pools(timers):
    """Returns the pools of all proxies, each with its share of the connections."""
    shares = ConnectionShares(timers=timers)
    return [
        ConnectionPool(
            INSTANCE,
            service="claims",
            connector=Connector(timers),
            timers=timers,
            limits=shares.share(accepted=ACCEPTED, proxies=PROXIES),
        )
        for _ in range(PROXIES)
    ]


async def load_then_calm(pools, timers):
    """Uses all that the pools may open at once, then one connection at a time."""
    for pool in pools:
        await asyncio.gather(*(use(pool, timers) for _ in range(20)))
    until = timers.now() + CALM_S
    while timers.now() < until:
        for pool in pools:
            await use(pool, timers)


async def test_calm_pools_leave_room_for_as_many_processes_again(pools, timers):
    await load_then_calm(pools, timers)
    held = sum(pool.open_connections for pool in pools)
    assert held <= ACCEPTED // 2
    assert all(pool.open_connections for pool in pools)


async def test_what_a_steady_load_uses_stays_open(pools, timers):
    pool = pools[0]
    await asyncio.gather(*(use(pool, timers) for _ in range(20)))
    opened = pool.opened
    for _ in range(100):
        await asyncio.gather(*(use(pool, timers, seconds=0.05) for _ in range(3)))
    assert pool.opened == opened


async def test_the_last_connection_stays_open(pools, timers):
    pool = pools[0]
    await asyncio.gather(*(use(pool, timers) for _ in range(3)))
    await timers.sleep(CALM_S)
    assert pool.open_connections == 1
