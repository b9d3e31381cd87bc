"""Connections shared by sessions under load, limits and failing instances."""

import asyncio

import pytest

from heatherpier.pooling import ConnectionPool, ConnectionShares, PoolLimits
from heatherpier.requests import OverloadedError
from heatherpier.statements import Done, Reply, SessionState
from heatherpier.upstreams import ConnectError, Instance, TooManyConnectionsError

INSTANCE = Instance(name="i-1", host="10.0.0.1", port=1, data_centre="north")


class Link:
    def __init__(self):
        self.aborted = False

    async def exchange(self, calls):
        return [Reply(outcome=Done(), state=SessionState.IDLE) for _ in calls]

    def has_unread(self):
        return False

    def abort(self):
        self.aborted = True


class Connector:
    """Opens connections; refuses them while the instance is full."""

    def __init__(self, timers):
        self.timers = timers
        self.attempts = 0
        self.room = 100
        self.error = None

    async def connect(self, instance, *, service):
        self.attempts += 1
        await self.timers.sleep(0.012)
        if self.error is not None:
            raise self.error
        if not self.room:
            raise TooManyConnectionsError(instance.name)
        self.room -= 1
        return Link()


@pytest.fixture
def connector(timers):
    return Connector(timers)


@pytest.fixture
def pool(timers, connector):
    return ConnectionPool(
        INSTANCE,
        service="claims",
        connector=connector,
        timers=timers,
        limits=PoolLimits(soft_limit=3, hard_limit=3),
    )


async def use(pool, timers, *, seconds=0.02, priority=1, within=1.0, values=None):
    conn = await pool.acquire(
        values or {}, priority=priority, deadline=timers.now() + within
    )
    await timers.sleep(seconds)
    pool.release(conn, held_s=seconds)
    return conn


async def test_many_waiters_share_the_limit(pool, timers):
    await asyncio.gather(*(use(pool, timers) for _ in range(40)))
    assert pool.open_connections == 3


async def test_a_connection_with_the_same_values_is_preferred(pool, timers):
    first, second = await asyncio.gather(use(pool, timers), use(pool, timers))
    first.values = {"tenant": "a"}
    second.values = {"tenant": "b"}
    assert await use(pool, timers, values={"tenant": "a"}) is first
    assert await use(pool, timers, values={"tenant": "b"}) is second


async def test_who_is_more_urgent_is_served_first(pool, timers):
    served = []

    async def work(priority):
        await use(pool, timers, priority=priority)
        served.append(priority)

    holders = [asyncio.create_task(use(pool, timers)) for _ in range(3)]
    await timers.sleep(0.015)
    await asyncio.gather(*holders, *(work(p) for p in (2, 2, 2, 1, 1, 1)))
    assert served == [1, 1, 1, 2, 2, 2]


async def test_a_waiter_whose_turn_comes_too_late_is_refused_at_once(pool, timers):
    holders = [
        asyncio.create_task(use(pool, timers, seconds=1.0, within=5.0))
        for _ in range(3)
    ]
    await timers.sleep(0.1)
    pool._mean_use_s = 1.0
    began = timers.now()
    with pytest.raises(OverloadedError) as caught:
        await use(pool, timers, within=0.2)
    assert timers.now() == began
    assert caught.value.retry_after_ms >= 50
    await asyncio.gather(*holders)


async def test_a_full_instance_is_not_stormed(pool, timers, connector):
    # After a loss of power the old connections fill the instance for 3 s.
    connector.room = 0

    async def fill_later():
        await timers.sleep(2.0)
        connector.room = 100

    results = await asyncio.gather(
        fill_later(),
        *(use(pool, timers, within=0.8) for _ in range(50)),
        return_exceptions=True,
    )
    assert all(isinstance(item, OverloadedError) for item in results[1:])
    assert connector.attempts <= 10


async def test_waiters_are_served_as_soon_as_a_full_instance_has_room(
    pool, timers, connector
):
    connector.room = 0

    async def fill_later():
        await timers.sleep(0.3)
        connector.room = 100

    began = timers.now()
    await asyncio.gather(
        fill_later(), *(use(pool, timers, within=0.8) for _ in range(10))
    )
    assert timers.now() - began < 0.7
    assert pool.open_connections == 3


async def test_a_pool_whose_share_shrank_closes_what_comes_back(pool, timers):
    await asyncio.gather(*(use(pool, timers) for _ in range(3)))
    pool.limits = PoolLimits(soft_limit=1, hard_limit=1)
    await asyncio.gather(*(use(pool, timers) for _ in range(6)))
    assert pool.open_connections == 1


async def test_a_pool_takes_more_than_its_share_only_while_it_needs_it(pool, timers):
    # Transactions hold connections through pauses while others need one.
    pool.limits = PoolLimits(soft_limit=1, hard_limit=4)
    pool._mean_use_s = 0.5
    holders = [
        asyncio.create_task(use(pool, timers, seconds=0.5, within=5.0))
        for _ in range(4)
    ]
    await timers.sleep(0.1)
    assert pool.open_connections == 4
    await asyncio.gather(*holders)
    await timers.sleep(5.0)
    assert pool.open_connections == 1


async def test_a_short_wait_is_not_worth_another_connection(pool, timers, connector):
    pool.limits = PoolLimits(soft_limit=1, hard_limit=4)
    await asyncio.gather(*(use(pool, timers, seconds=0.01) for _ in range(3)))
    assert connector.attempts == 1


@pytest.mark.parametrize(
    ("accepted", "proxies", "limits"),
    [
        (22, 4, PoolLimits(soft_limit=5, hard_limit=5)),
        (40, 24, PoolLimits(soft_limit=1, hard_limit=4)),
        (222, 34, PoolLimits(soft_limit=6, hard_limit=14)),
        (40, 1300, PoolLimits(soft_limit=1, hard_limit=4)),
        (1, 4, PoolLimits(soft_limit=1, hard_limit=1)),
    ],
)
def test_shares_leave_room_for_others(timers, accepted, proxies, limits):
    shares = ConnectionShares(timers=timers)
    timers.now = lambda: 0.0
    assert shares.share(accepted=accepted, proxies=proxies) == limits


def test_lost_proxies_still_count_for_a_while(timers):
    shares = ConnectionShares(timers=timers)
    now = 0.0
    timers.now = lambda: now
    assert shares.share(accepted=42, proxies=4).soft_limit == 10
    assert shares.share(accepted=42, proxies=2).soft_limit == 10
    now = 11.0
    assert shares.share(accepted=42, proxies=2).soft_limit == 20


async def test_an_instance_that_is_gone_fails_its_waiters(pool, timers, connector):
    connector.error = ConnectError("gone")
    with pytest.raises(ConnectError):
        await use(pool, timers)
    assert pool.open_connections == 0


async def test_a_waiter_that_gives_up_does_not_lose_its_connection(pool, timers):
    holders = [asyncio.create_task(use(pool, timers)) for _ in range(3)]
    await timers.sleep(0.015)
    waiting = asyncio.create_task(use(pool, timers))
    await timers.sleep(0)
    waiting.cancel()
    await asyncio.gather(*holders, waiting, return_exceptions=True)
    await asyncio.gather(*(use(pool, timers) for _ in range(3)))
    assert pool.open_connections == 3


async def test_closing_the_pool_fails_those_that_wait(pool, timers):
    holders = [asyncio.create_task(use(pool, timers)) for _ in range(3)]
    await timers.sleep(0.015)
    waiting = asyncio.create_task(use(pool, timers))
    await timers.sleep(0)
    pool.close()
    with pytest.raises(ConnectError, match="closed"):
        await waiting
    await asyncio.gather(*holders)
    assert pool.open_connections == 0
