"""A planned stop closes connections between statements and interrupts none."""

import asyncio

import asyncmy
import mysql.connector
import pymysql
import pytest
from asyncmy.errors import OperationalError

from heatherpier.callers.tests.raw import RawCaller, make_packet

ER_SERVER_SHUTDOWN = 1053
DRIVER_ERRORS = (pymysql.err.OperationalError, mysql.connector.errors.Error)


async def drain(listener, *, transactions_s=2, statements_s=3):
    await listener.close()
    return await listener.drain(
        transactions_s=transactions_s, statements_s=statements_s
    )


async def query(conn, sql):
    async with conn.cursor() as cursor:
        await cursor.execute(sql)
        return await cursor.fetchall()


async def test_running_statement_gets_its_whole_answer(listener, script, address):
    conn = await asyncmy.connect(**address)
    running = asyncio.create_task(query(conn, "HOLD"))
    await script.holding.wait()
    draining = asyncio.create_task(drain(listener))
    await asyncio.sleep(0.1)
    script.release.set()
    assert await running == ((1,),)
    assert await draining == 0


async def test_statement_after_the_answer_is_rejected_as_not_run(
    listener, script, address
):
    conn = await asyncmy.connect(**address)
    running = asyncio.create_task(query(conn, "HOLD"))
    await script.holding.wait()
    draining = asyncio.create_task(drain(listener))
    await asyncio.sleep(0.05)
    script.release.set()
    await running
    with pytest.raises(OperationalError) as caught:
        await query(conn, "SELECT late")
    assert caught.value.args[0] == ER_SERVER_SHUTDOWN
    assert "SELECT late" not in script.ran
    assert await draining == 0


@pytest.mark.parametrize("connect", [pymysql.connect, mysql.connector.connect])
@pytest.mark.parametrize("wait_s", [0.05, 1.0])
async def test_late_statement_of_an_idle_caller_gets_the_shutdown_error(
    listener, script, address, connect, wait_s
):
    conn = await asyncio.to_thread(connect, **address)
    # mysql-connector pings when it makes a cursor, and would get the error there.
    cursor = await asyncio.to_thread(conn.cursor)
    script.ran.clear()
    draining = asyncio.create_task(drain(listener))
    await asyncio.sleep(wait_s)
    with pytest.raises(DRIVER_ERRORS) as caught:
        await asyncio.to_thread(cursor.execute, "SELECT late")
    assert caught.value.args[0] == ER_SERVER_SHUTDOWN
    assert script.ran == []
    assert await draining == 0


async def test_open_transaction_finishes(listener, script, address):
    conn = await asyncmy.connect(**address)
    await query(conn, "BEGIN")
    draining = asyncio.create_task(drain(listener))
    await asyncio.sleep(0.05)
    assert await query(conn, "SELECT inside") == ((1,),)
    await query(conn, "COMMIT")
    assert await draining == 0
    assert script.ran[-2:] == ["SELECT inside", "COMMIT"]


async def test_transaction_beyond_its_limit_gets_the_shutdown_error(
    listener, script, address
):
    conn = await asyncmy.connect(**address)
    await query(conn, "BEGIN")
    assert await drain(listener, transactions_s=0.1) == 0
    with pytest.raises(OperationalError) as caught:
        await query(conn, "COMMIT")
    assert caught.value.args[0] == ER_SERVER_SHUTDOWN
    assert script.sessions[0].closed
    assert "COMMIT" not in script.ran


async def test_statement_that_never_ends_is_counted_as_aborted(
    listener, script, address
):
    conn = await asyncmy.connect(**address)
    running = asyncio.create_task(query(conn, "HOLD"))
    await script.holding.wait()
    assert await drain(listener, transactions_s=0, statements_s=0.1) == 1
    with pytest.raises(OperationalError):
        await running


async def test_partly_received_statement_is_read_and_answered(listener, script):
    caller = await RawCaller.login(listener.port)
    statement = make_packet(b"\x03SELECT half")
    caller.writer.write(statement[:7])
    await asyncio.sleep(0.05)
    draining = asyncio.create_task(drain(listener))
    await asyncio.sleep(0.05)
    caller.writer.write(statement[7:])
    sequence, column_count = await caller.read()
    assert (sequence, column_count) == (1, b"\x01")
    assert script.ran == ["SELECT half"]
    caller.writer.close()
    assert await draining == 0


async def send_until_stopped(address, script, outcomes, *, transactions):
    """Sends statements until one gets an error, and counts the outcomes."""
    conn = await asyncmy.connect(**address)
    while True:
        outcomes["sent"] += 1
        try:
            if transactions:
                await query(conn, "BEGIN")
                await query(conn, "COMMIT")
            else:
                await query(conn, "SELECT 1")
        except OperationalError as exc:
            outcomes[
                "refused" if exc.args[0] == ER_SERVER_SHUTDOWN else "interrupted"
            ] += 1
            return
        outcomes["answered"] += 1


async def test_drain_under_load_interrupts_no_statement(listener, script, address):
    outcomes = {"sent": 0, "answered": 0, "refused": 0, "interrupted": 0}
    callers = [
        asyncio.create_task(
            send_until_stopped(address, script, outcomes, transactions=number % 2 == 0)
        )
        for number in range(24)
    ]
    await asyncio.sleep(0.5)
    assert await drain(listener) == 0
    await asyncio.gather(*callers)
    assert outcomes["answered"] > 24
    assert outcomes["interrupted"] == 0
    assert outcomes["refused"] == 24
