"""Connections in memory behave as those over sockets."""

import asyncio

import pytest

from heatherpier.upstreams import ConnectionLostError

INSERT = "INSERT INTO jobs VALUES (1)"


@pytest.fixture
async def conn(memory_group):
    primary = memory_group.instances[0]
    conn = await memory_group.network.connector("proxy-1").connect(primary.address)
    await conn.execute("CREATE TABLE jobs (id INT)")
    return conn


def count(memory_group):
    result = memory_group.instances[0].engine.read("SELECT COUNT(*) FROM jobs")
    return result.rows[0][0]


async def test_second_copy_of_an_answer_goes_to_the_next_statement(memory_group, conn):
    memory_group.instances[0].faults.double_answers = 1
    await conn.execute("SELECT 1")
    assert (await conn.execute("SELECT 2")).rows == ((1,),)


async def test_answer_after_a_timeout_goes_to_the_next_statement(memory_group, conn):
    memory_group.instances[0].faults.slow_ms = 100
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.05):
            await conn.execute("SELECT 1")
    assert (await conn.execute("SELECT 2")).rows == ((1,),)


async def test_silent_connection_never_answers(conn):
    conn.silent = True
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(60):
            await conn.execute("SELECT 1")


@pytest.mark.parametrize(("last_statement", "rows"), [("COMMIT", 1), ("SELECT 1", 0)])
async def test_only_a_commit_in_flight_survives_a_closed_connection(
    memory_group, conn, last_statement, rows
):
    await conn.execute("BEGIN")
    await conn.execute(INSERT)
    last = asyncio.create_task(conn.execute(last_statement))
    await asyncio.sleep(0)
    conn.abort()
    with pytest.raises(ConnectionLostError):
        await last
    await asyncio.sleep(1)
    assert count(memory_group) == rows


async def test_message_over_a_cut_path_arrives_after_the_path_is_healed(
    memory_group, conn
):
    network = memory_group.network
    network.cut("proxy-1", memory_group.instances[0].name)
    insert = asyncio.create_task(conn.execute(INSERT))
    await asyncio.sleep(1)
    network.heal("proxy-1", memory_group.instances[0].name)
    await insert
    assert count(memory_group) == 1


async def test_statement_from_another_data_centre_takes_two_remote_delays(
    memory_group, timers
):
    network = memory_group.network
    network.remote_delay_s = 0.5
    network.data_centres["proxy-2"] = "south-a"
    primary = memory_group.instances[0]
    conn = await network.connector("proxy-2").connect(primary.address)
    before = timers.now()
    await conn.execute("SELECT 1")
    assert timers.now() - before == pytest.approx(1.0)
