"""A duplicate answer is never read as the answer to another statement."""

import pytest

from heatherpier.upstreams import ConnectionLostError


async def test_duplicate_answer_closes_the_connection(memory_group):
    primary = memory_group.instances[0]
    primary.faults.double_answers = 1
    pool = memory_group.view("proxy-1").pools[primary.name]
    async with pool.acquire(timeout_s=1) as conn:
        assert (await conn.execute("SELECT 1", timeout_s=1)).rows == ((1,),)
        with pytest.raises(
            ConnectionLostError, match="an answer arrived that no statement"
        ):
            await conn.execute("SELECT 2", timeout_s=1)
        assert not conn.usable


async def test_next_user_of_the_pool_does_not_get_a_duplicate_answer(memory_group):
    primary = memory_group.instances[0]
    primary.faults.double_answers = 1
    pool = memory_group.view("proxy-1").pools[primary.name]
    async with pool.acquire(timeout_s=1) as conn:
        await conn.execute("SELECT 1", timeout_s=1)
    async with pool.acquire(timeout_s=1) as conn:
        assert (await conn.execute("SELECT 2", timeout_s=1)).rows == ((2,),)
