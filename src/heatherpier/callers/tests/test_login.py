"""Logins, the connection limit, and what begins a new session."""

import asyncio

import asyncmy
import mysql.connector
import pymysql
import pytest

from heatherpier.callers import CallerLimits
from heatherpier.callers.tests.raw import RawCaller, make_packet

ERRORS = (
    pymysql.err.Error,
    mysql.connector.errors.Error,
    asyncmy.errors.Error,
)


async def connect_asyncmy(**fields):
    return await asyncmy.connect(**fields)


async def connect_pymysql(**fields):
    return await asyncio.to_thread(pymysql.connect, **fields)


async def connect_mysql(**fields):
    return await asyncio.to_thread(mysql.connector.connect, **fields)


DRIVERS = [connect_asyncmy, connect_pymysql, connect_mysql]


@pytest.mark.parametrize("connect", DRIVERS)
@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"password": "wrong"}, 1045),
        ({"password": ""}, 1045),
        ({"user": "nobody"}, 1045),
        ({"user": "nobody", "password": ""}, 1045),
        ({"database": "unknown"}, 1049),
        ({"user": "nobody", "database": "unknown"}, 1045),
    ],
)
async def test_rejected_login_gets_the_mysql_error_code(
    listener, script, address, connect, fields, code
):
    with pytest.raises(ERRORS) as caught:
        await connect(**(address | fields))
    assert caught.value.args[0] == code
    assert script.ran == []


@pytest.mark.parametrize("connect", DRIVERS)
async def test_driver_connects_with_its_defaults(listener, address, connect):
    conn = await connect(**address, database="assist")
    conn.close()


async def test_command_after_a_failed_login_is_not_served(listener, script):
    caller = await RawCaller.open(listener.port)
    await caller.read()
    login = b"\x00\x82\x08\x00" + bytes(4) + b"\x2d" + bytes(23) + b"dispatch\0\0"
    caller.writer.write(make_packet(login + b"mysql_native_password\0", sequence=1))
    assert await caller.read_error() == 1045
    caller.writer.write(make_packet(b"\x03SELECT 1"))
    assert await caller.reader.read(100) == b""
    assert script.ran == []


@pytest.mark.parametrize("limits", [CallerLimits(connections=2, linger_s=0.1)])
async def test_connection_beyond_the_limit_is_rejected(listener, address, limits):
    connections = [await asyncmy.connect(**address) for _ in range(2)]
    with pytest.raises(pymysql.err.OperationalError) as caught:
        await connect_pymysql(**address)
    assert caught.value.args[0] == 1040
    connections.pop().close()
    await asyncio.sleep(0.1)
    (await connect_pymysql(**address)).close()


async def test_unknown_database_keeps_the_selected_one(listener, script, address):
    conn = await connect_pymysql(**address, database="assist", autocommit=None)
    with pytest.raises(pymysql.err.OperationalError) as caught:
        await asyncio.to_thread(conn.select_db, "unknown")
    assert caught.value.args[0] == 1049
    await asyncio.to_thread(conn.query, "SELECT a FROM t")
    await asyncio.to_thread(conn.query, "USE claims")
    await asyncio.to_thread(conn.query, "SELECT a FROM t")
    assert script.databases == ["assist", "claims"]
    conn.close()


async def test_reset_of_a_connection_begins_a_new_session(listener, script, address):
    conn = await connect_mysql(**address, database="assist", autocommit=True)
    await asyncio.to_thread(conn.cmd_reset_connection)
    assert [session.closed for session in script.sessions] == [True, False]
    conn.close()


@pytest.mark.parametrize(
    ("password", "database", "code"),
    [("secret", "claims", None), ("wrong", "claims", 1045), ("secret", "no", 1049)],
)
async def test_change_of_user_authenticates_again(
    listener, script, address, password, database, code
):
    conn = await connect_mysql(**address, database="assist", autocommit=True)
    change = asyncio.to_thread(
        conn.cmd_change_user, "dispatch", password=password, database=database
    )
    if code is None:
        await change
    else:
        with pytest.raises(mysql.connector.errors.Error) as caught:
            await change
        assert caught.value.errno == code
        conn.close()
        await asyncio.sleep(0.1)
    assert script.sessions[0].closed
