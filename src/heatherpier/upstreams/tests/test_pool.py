"""Tests of the connection pool: reuse, closing and the limit."""

import asyncio

import pytest

from heatherpier.upstreams import (
    AnswerTimeoutError,
    Instance,
    Pool,
    PoolBusyError,
    Result,
)

INSTANCE = Instance(name="one", host="10.0.0.1", port=3306, data_centre="north-a")


class FakeConnection:
    def __init__(self):
        self.executed = []
        self.unresponsive = False
        self.aborted = False

    async def execute(self, sql):
        self.executed.append(sql)
        if self.unresponsive:
            await asyncio.Event().wait()
        return Result()

    def has_unread(self):
        return False

    def abort(self):
        self.aborted = True


class FakeConnector:
    def __init__(self):
        self.opened = []

    async def connect(self, instance):
        self.opened.append(FakeConnection())
        return self.opened[-1]


@pytest.fixture
def connector():
    return FakeConnector()


@pytest.fixture
def pool(connector, timers):
    return Pool(INSTANCE, connector=connector, timers=timers, limit=2)


async def run(pool, sql):
    async with pool.acquire(timeout_s=1) as conn:
        return await conn.execute(sql, timeout_s=1)


@pytest.mark.parametrize(
    ("sql", "opened"),
    [
        ("SELECT 1", 1),
        ("INSERT INTO settings VALUES (1)", 1),
        ("CALL group_status()", 1),
        ("CALL claim(1)", 2),
        ("SET @a = 1", 2),
        ("/* a */ set session sql_mode = ''", 2),
        ("USE other", 2),
        ("LOCK TABLES t WRITE", 2),
        ("CREATE TEMPORARY TABLE t (a INT)", 2),
        ("SELECT GET_LOCK('a', 1)", 2),
        ("SELECT @a := 1", 2),
        ("SELECT 1 INTO @a", 2),
    ],
)
async def test_connection_with_session_state_is_not_reused(
    pool, connector, sql, opened
):
    await run(pool, sql)
    await run(pool, "SELECT 2")
    assert len(connector.opened) == opened
    assert connector.opened[0].aborted is (opened == 2)


async def test_connection_with_open_transaction_is_not_reused(pool, connector):
    async with pool.acquire(timeout_s=1) as conn:
        conn.in_transaction = True
    await run(pool, "SELECT 2")
    assert len(connector.opened) == 2


async def test_unresponsive_idle_connection_is_replaced(pool, connector, timers):
    await run(pool, "SELECT 1")
    connector.opened[0].unresponsive = True
    await timers.sleep(60)
    await run(pool, "SELECT 2")
    assert connector.opened[0].aborted
    assert connector.opened[1].executed == ["SELECT 2"]


async def test_connection_is_closed_when_an_answer_is_late(pool, connector):
    async with pool.acquire(timeout_s=1) as conn:
        connector.opened[0].unresponsive = True
        with pytest.raises(AnswerTimeoutError):
            await conn.execute("SELECT 1", timeout_s=1)
    assert connector.opened[0].aborted


async def test_acquire_beyond_the_limit_raises_pool_busy(pool):
    async with pool.acquire(timeout_s=1), pool.acquire(timeout_s=1):
        with pytest.raises(PoolBusyError):
            await run(pool, "SELECT 1")
