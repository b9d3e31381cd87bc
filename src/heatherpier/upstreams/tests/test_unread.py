"""An answer that nobody asked for reaches no statement."""

import pytest

from heatherpier.upstreams import ConnectionLostError


async def test_doubled_answer_costs_the_connection_and_reaches_nobody(memory_group):
    primary = memory_group.instances[0]
    primary.faults.double_answers = 1
    pool = memory_group.view("proxy-1").pools[primary.name]
    async with pool.acquire(timeout_s=1) as conn:
        assert (await conn.execute("SELECT 1", timeout_s=1)).rows == ((1,),)
        with pytest.raises(ConnectionLostError, match="nothing"):
            await conn.execute("SELECT 2", timeout_s=1)
        assert not conn.usable


async def test_next_user_gets_its_own_answer(memory_group):
    primary = memory_group.instances[0]
    primary.faults.double_answers = 1
    pool = memory_group.view("proxy-1").pools[primary.name]
    async with pool.acquire(timeout_s=1) as conn:
        await conn.execute("SELECT 1", timeout_s=1)
    async with pool.acquire(timeout_s=1) as conn:
        assert (await conn.execute("SELECT 2", timeout_s=1)).rows == ((2,),)
