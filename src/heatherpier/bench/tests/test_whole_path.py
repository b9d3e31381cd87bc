"""MySQL drivers run statements through a proxy and instances in real processes."""

import asyncio
import dataclasses

import asyncmy
import mysql.connector
import pymysql
import pytest

from heatherpier.bench._deployment import DEMO_PASSWORD, SEN_VANG
from heatherpier.bench._fleet import start_fleet
from heatherpier.bench._processes import Processes

ONE_GROUP = dataclasses.replace(SEN_VANG, groups=1, lag_ms=5)
DATABASE = ONE_GROUP.database(ONE_GROUP.group_names()[0])


@pytest.fixture(scope="module")
def event_loop_policy():
    return asyncio.DefaultEventLoopPolicy()


@pytest.fixture
async def fleet(tmp_path):
    async with Processes(tmp_path) as processes:
        yield await start_fleet(
            ONE_GROUP, processes=processes, directory=tmp_path, proxies=1
        )


def connect_options(fleet):
    return {
        "host": "127.0.0.1",
        "port": fleet.proxies[0].port,
        "user": ONE_GROUP.user,
        "password": DEMO_PASSWORD,
        "database": DATABASE,
        "autocommit": True,
    }


async def update_with_asyncmy(fleet):
    conn = await asyncmy.connect(**connect_options(fleet))
    async with conn.cursor() as cursor:
        await cursor.execute("CREATE TABLE jobs (id INT PRIMARY KEY, agent TEXT)")
        await cursor.execute("INSERT INTO jobs VALUES (1, NULL), (2, NULL)")
        await cursor.execute("UPDATE jobs SET agent = 'linh' WHERE agent IS NULL")
        count = cursor.rowcount
        await cursor.execute("SELECT @heatherpier_token")
        (token,) = await cursor.fetchone()
    conn.close()
    return count, token


@pytest.mark.parametrize("connect", [pymysql.connect, mysql.connector.connect])
async def test_write_counts_rows_and_next_read_sees_it(fleet, connect):
    count, token = await update_with_asyncmy(fleet)
    assert count == 2
    conn = connect(**connect_options(fleet))
    cursor = conn.cursor()
    cursor.execute(f"SET @heatherpier_token = '{token}'")
    cursor.execute("SELECT id, agent FROM jobs ORDER BY id")
    assert list(cursor.fetchall()) == [(1, "linh"), (2, "linh")]
    cursor.execute("UPDATE jobs SET agent = 'mai' WHERE id = 2")
    assert cursor.rowcount == 1
    conn.close()


@pytest.mark.parametrize("connect", [pymysql.connect, mysql.connector.connect])
async def test_driver_without_autocommit_commits_and_rolls_back(fleet, connect):
    def transact():
        conn = connect(**{**connect_options(fleet), "autocommit": False})
        cursor = conn.cursor()
        cursor.execute("CREATE TABLE claims (id INT PRIMARY KEY)")
        cursor.execute("INSERT INTO claims VALUES (1)")
        conn.commit()
        cursor.execute("INSERT INTO claims VALUES (2)")
        conn.rollback()
        cursor.execute("SELECT id FROM claims")
        rows = list(cursor.fetchall())
        conn.close()
        return rows

    assert await asyncio.to_thread(transact) == [(1,)]


async def test_driver_sees_that_a_transaction_is_open(fleet):
    def flags():
        conn = mysql.connector.connect(**connect_options(fleet))
        before = conn.in_transaction
        conn.start_transaction()
        inside = conn.in_transaction
        conn.rollback()
        return before, inside, conn.in_transaction

    assert await asyncio.to_thread(flags) == (False, True, False)


async def test_driver_gets_the_instances_own_error_number(fleet):
    def insert_twice():
        conn = pymysql.connect(**connect_options(fleet))
        cursor = conn.cursor()
        cursor.execute("CREATE TABLE seats (id INT PRIMARY KEY)")
        cursor.execute("INSERT INTO seats VALUES (1)")
        with pytest.raises(pymysql.err.IntegrityError) as caught:
            cursor.execute("INSERT INTO seats VALUES (1)")
        return caught.value.args[0]

    assert await asyncio.to_thread(insert_twice) == 1062
