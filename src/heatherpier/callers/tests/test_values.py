"""Values arrive unchanged over the text and the binary protocol."""

import asyncio
import datetime
from decimal import Decimal

import asyncmy
import mysql.connector
import pymysql
import pytest

from heatherpier.callers._rows import binary_columns
from heatherpier.upstreams import Column, Result

TINY, LONG, DOUBLE, LONGLONG = 1, 3, 5, 8
DATE, TIME, DATETIME = 10, 11, 12
JSON, NEWDECIMAL, BLOB, VAR_STRING = 245, 246, 252, 253

VALUES = [
    (TINY, 5),
    (TINY, -7),
    (LONG, 4_000_000_000),
    (LONGLONG, -(2**63)),
    (DOUBLE, 1.1),
    (NEWDECIMAL, Decimal("1234567890123.4500")),
    (DATE, datetime.date(2026, 2, 28)),
    (DATETIME, datetime.datetime(2026, 2, 28, 23, 59, 58)),
    (DATETIME, datetime.datetime(2026, 2, 28, 23, 59, 58, 120000)),
    (TIME, datetime.timedelta(hours=30, minutes=5)),
    (VAR_STRING, "xe lăn 輪椅 '\\\"?"),
    (VAR_STRING, "x" * 70_000),
    (BLOB, b"\x00\xff\xfe'\\"),
    (VAR_STRING, None),
    (DATE, None),
]


NEGATIVE_TIME = -datetime.timedelta(hours=25, seconds=1)


async def fetch_asyncmy(address, sql):
    conn = await asyncmy.connect(**address)
    async with conn.cursor() as cursor:
        await cursor.execute(sql)
        rows = await cursor.fetchall()
    conn.close()
    return rows[0][0]


def run_blocking(connect, address, sql, arguments=(), **options):
    conn = connect(**address)
    try:
        cursor = conn.cursor(**options)
        cursor.execute(sql, arguments)
        return cursor.fetchall()[0][0]
    finally:
        conn.close()


async def fetch_pymysql(address, sql):
    return await asyncio.to_thread(run_blocking, pymysql.connect, address, sql)


async def fetch_mysql(address, sql):
    return await asyncio.to_thread(run_blocking, mysql.connector.connect, address, sql)


async def fetch_prepared(address, sql):
    return await asyncio.to_thread(
        run_blocking, mysql.connector.connect, address, sql, prepared=True
    )


@pytest.mark.parametrize(
    "fetch", [fetch_asyncmy, fetch_pymysql, fetch_mysql, fetch_prepared]
)
@pytest.mark.parametrize(("kind", "value"), VALUES)
async def test_value_arrives_unchanged(listener, script, address, fetch, kind, value):
    script.answers["SELECT v FROM t"] = Result(
        columns=(Column(name="v", type_code=kind),), rows=((value,),)
    )
    assert await fetch(address, "SELECT v FROM t") == value


@pytest.mark.parametrize("fetch", [fetch_asyncmy, fetch_pymysql, fetch_mysql])
async def test_negative_time_arrives_over_the_text_protocol(
    listener, script, address, fetch
):
    script.answers["SELECT v FROM t"] = Result(
        columns=(Column(name="v", type_code=TIME),), rows=((NEGATIVE_TIME,),)
    )
    assert await fetch(address, "SELECT v FROM t") == NEGATIVE_TIME


def test_negative_time_is_encoded_as_sign_and_absolute_value():
    # mysql-connector, the only driver here that speaks the binary protocol, negates
    # only the days of a negative time. So this test checks the encoded bytes.
    (column,) = binary_columns(
        Result(columns=(Column(name="v", type_code=TIME),), rows=((NEGATIVE_TIME,),))
    )
    encoded = column.binary_encode(NEGATIVE_TIME)
    assert encoded == bytes([12, 1, 1, 0, 0, 0, 1, 0, 1, 0, 0, 0, 0])


@pytest.mark.parametrize(
    ("argument", "literal"),
    [
        (5, "5"),
        (-(2**40), str(-(2**40))),
        (1.5, "1.5"),
        (None, "NULL"),
        ("it's", "'it''s'"),
        ("a\\", "'a\\\\'"),
        ("'; DROP TABLE t; -- ", "'''; DROP TABLE t; -- '"),
        ("what?", "'what?'"),
        ("\\1 \\g<0>", "'\\\\1 \\\\g<0>'"),
        ("輪椅", "'輪椅'"),
        (b"\x00\xff", "x'00ff'"),
        (Decimal("12.50"), "12.50"),
        (datetime.date(2026, 2, 28), "'2026-02-28'"),
        (datetime.datetime(2026, 2, 28, 1, 2, 3, 4), "'2026-02-28 01:02:03.000004'"),
        (datetime.timedelta(hours=26, seconds=1), "'26:00:01'"),
    ],
)
async def test_parameter_becomes_a_literal(
    listener, script, address, argument, literal
):
    sql = "SELECT '?', `a?` /* ? */ FROM t WHERE a = ? AND b = 'b'"
    await asyncio.to_thread(
        run_blocking,
        mysql.connector.connect,
        address,
        sql,
        (argument,),
        prepared=True,
    )
    assert script.ran[-1] == sql.replace("a = ?", f"a = {literal}")


async def test_prepared_statement_is_reused_with_other_values(
    listener, script, address
):
    def run():
        conn = mysql.connector.connect(**address)
        cursor = conn.cursor(prepared=True)
        for value in (1, "a", None):
            cursor.execute("UPDATE t SET a = ?", (value,))
        count = cursor.rowcount
        conn.close()
        return count

    assert await asyncio.to_thread(run) == 2
    assert script.ran[-3:] == [
        "UPDATE t SET a = 1",
        "UPDATE t SET a = 'a'",
        "UPDATE t SET a = NULL",
    ]


@pytest.mark.parametrize("prepared", [False, True])
async def test_query_attributes_are_passed_on_as_hints(
    listener, script, address, prepared
):
    def run():
        conn = mysql.connector.connect(**address)
        cursor = conn.cursor(prepared=prepared)
        cursor.add_attribute("max_age_ms", "500")
        cursor.execute("SELECT a FROM t")
        cursor.fetchall()
        conn.close()

    await asyncio.to_thread(run)
    assert script.hints[-1] == {"max_age_ms": "500"}


async def test_counts_of_a_write_arrive(listener, address):
    conn = await asyncmy.connect(**address)
    async with conn.cursor() as cursor:
        await cursor.execute("UPDATE t SET a = 1")
        assert (cursor.rowcount, cursor.lastrowid) == (2, 7)
        await cursor.execute("SELECT LAST_INSERT_ID(), ROW_COUNT()")
        assert await cursor.fetchall() == ((7, 2),)
    conn.close()


async def test_rejection_carries_its_code_and_message(listener, address):
    conn = await asyncmy.connect(**address)
    async with conn.cursor() as cursor:
        with pytest.raises(asyncmy.errors.Error) as caught:
            await cursor.execute("REFUSE x")
    assert caught.value.args[0] == 7004
    assert "no such thing 'x'" in caught.value.args[1]
    conn.close()
