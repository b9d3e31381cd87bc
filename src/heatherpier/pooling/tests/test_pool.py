"""Connection pools under load, at their limits and with failing instances."""

import asyncio

import pytest

from heatherpier.pooling import ConnectionPool, ConnectionShares, PoolLimits
from heatherpier.requests import OverloadedError
from heatherpier.statements import Done, Reply, SessionState
from heatherpier.upstreams import (
    ConnectError,
    ConnectionLostError,
    Instance,
    TooManyConnectionsError,
)

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
    """Opens connections, and rejects them while the instance is full."""

    def __init__(self, timers):
        self.timers = timers
        self.attempts = 0
        self.capacity = 100
        self.error = None

    async def connect(self, instance, *, service, organisation=""):
        self.attempts += 1
        await self.timers.sleep(0.012)
        if self.error is not None:
            raise self.error
        if not self.capacity:
            raise TooManyConnectionsError(instance.name)
        self.capacity -= 1
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


async def test_waiters_are_served_by_priority(pool, timers):
    served = []

    async def run(priority):
        await use(pool, timers, priority=priority)
        served.append(priority)

    holders = [asyncio.create_task(use(pool, timers)) for _ in range(3)]
    await timers.sleep(0.015)
    await asyncio.gather(*holders, *(run(p) for p in (2, 2, 2, 1, 1, 1)))
    assert served == [1, 1, 1, 2, 2, 2]


async def test_a_waiter_that_would_miss_its_deadline_is_rejected_at_once(pool, timers):
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


async def test_a_full_instance_gets_few_connection_attempts(pool, timers, connector):
    # After a proxy lost power, its old connections fill the instance for 3 s. Without a
    # back-off, every waiter would try to open a connection.
    connector.capacity = 0

    async def restore_capacity():
        await timers.sleep(2.0)
        connector.capacity = 100

    results = await asyncio.gather(
        restore_capacity(),
        *(use(pool, timers, within=0.8) for _ in range(50)),
        return_exceptions=True,
    )
    assert all(isinstance(item, OverloadedError) for item in results[1:])
    assert connector.attempts <= 10


async def test_waiters_are_served_once_a_full_instance_has_capacity(
    pool, timers, connector
):
    connector.capacity = 0

    async def restore_capacity():
        await timers.sleep(0.3)
        connector.capacity = 100

    began = timers.now()
    await asyncio.gather(
        restore_capacity(), *(use(pool, timers, within=0.8) for _ in range(10))
    )
    assert timers.now() - began < 0.7
    assert pool.open_connections == 3


async def test_a_lowered_limit_closes_released_connections(pool, timers):
    await asyncio.gather(*(use(pool, timers) for _ in range(3)))
    pool.limits = PoolLimits(soft_limit=1, hard_limit=1)
    await asyncio.gather(*(use(pool, timers) for _ in range(6)))
    assert pool.open_connections == 1


async def test_connections_beyond_the_soft_limit_close_when_idle(pool, timers):
    # Transactions keep their connections through pauses while other sessions need one.
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


async def test_a_short_wait_opens_no_connection_beyond_the_soft_limit(
    pool, timers, connector
):
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
def test_limits_follow_the_count_of_proxies(timers, accepted, proxies, limits):
    shares = ConnectionShares(timers=timers)
    timers.now = lambda: 0.0
    assert shares.share(accepted=accepted, proxies=proxies) == limits


def test_lost_proxies_count_until_the_window_ends(timers):
    shares = ConnectionShares(timers=timers)
    now = 0.0
    timers.now = lambda: now
    assert shares.share(accepted=42, proxies=4).soft_limit == 10
    assert shares.share(accepted=42, proxies=2).soft_limit == 10
    now = 11.0
    assert shares.share(accepted=42, proxies=2).soft_limit == 20


async def test_a_connect_error_fails_the_waiter(pool, timers, connector):
    connector.error = ConnectError("gone")
    with pytest.raises(ConnectError):
        await use(pool, timers)
    assert pool.open_connections == 0


async def test_a_cancelled_waiter_passes_its_connection_on(pool, timers):
    holders = [asyncio.create_task(use(pool, timers)) for _ in range(3)]
    await timers.sleep(0.015)
    waiting = asyncio.create_task(use(pool, timers))
    await timers.sleep(0)
    waiting.cancel()
    await asyncio.gather(*holders, waiting, return_exceptions=True)
    await asyncio.gather(*(use(pool, timers) for _ in range(3)))
    assert pool.open_connections == 3


async def test_closing_the_pool_fails_its_waiters(pool, timers):
    holders = [asyncio.create_task(use(pool, timers)) for _ in range(3)]
    await timers.sleep(0.015)
    waiting = asyncio.create_task(use(pool, timers))
    await timers.sleep(0)
    pool.close()
    with pytest.raises(ConnectError, match="closed"):
        await waiting
    await asyncio.gather(*holders)
    assert pool.open_connections == 0


async def test_a_cancel_during_the_idle_check_frees_the_place(pool, timers):
    pool.limits = PoolLimits(soft_limit=1, hard_limit=1)
    await use(pool, timers)
    await timers.sleep(5.0)

    async def never(calls):
        await asyncio.Event().wait()

    pool._idle[0]._link.exchange = never
    waiter = asyncio.create_task(use(pool, timers))
    await timers.sleep(0.01)
    waiter.cancel()
    await asyncio.gather(waiter, return_exceptions=True)
    assert pool.open_connections == 0
    await use(pool, timers)


async def test_a_connection_handed_over_at_the_deadline_of_a_waiter_is_kept(
    pool, timers
):
    pool.limits = PoolLimits(soft_limit=1, hard_limit=1)
    held = await pool.acquire({}, priority=1, deadline=timers.now() + 1.0)
    waiter = asyncio.create_task(use(pool, timers, within=0.1))
    # The connection is released in the turn of the event loop in which the wait ends.
    asyncio.get_running_loop().call_at(
        timers.now() + 0.1, lambda: pool.release(held, held_s=0.1)
    )
    await asyncio.gather(waiter, return_exceptions=True)
    await timers.sleep(0.05)
    await use(pool, timers, within=0.05)
    assert pool.open_connections == 1


async def test_an_unexpected_error_of_an_exchange_leaves_its_outcome_unknown(
    pool, timers
):
    # Guards against an error that ends the caller's connection without an answer, and
    # against "has not run" after a statement may have been sent.
    conn = await use(pool, timers)

    async def fail(calls):
        raise KeyError("row")

    conn._link.exchange = fail
    with pytest.raises(ConnectionLostError, match="i-1: unexpected KeyError"):
        await conn.run([], timeout_s=1.0)
    assert not conn.usable
