"""TLS on connections from callers and to instances."""

import asyncio
import ssl
from pathlib import Path

import asyncmy
import mysql.connector
import pymysql
import pytest

from heatherpier.callers import ssl_context_of
from heatherpier.settings import CallersModel
from heatherpier.upstreams import ConnectError, Instance
from heatherpier.upstreams.mysql import MysqlConnector

DATA = Path(__file__).parent / "data"
CERTIFICATE = str(DATA / "certificate.pem")


@pytest.fixture
def tls():
    cfg = CallersModel(tls_certificate=CERTIFICATE, tls_key=str(DATA / "key.pem"))
    return ssl_context_of(cfg)


def connector(*, tls_ca):
    return MysqlConnector(
        user="dispatch", password="secret", program_name="test", tls_ca=tls_ca
    )


def instance(listener):
    return Instance(
        name="one", host="127.0.0.1", port=listener.port, data_centre="north-a"
    )


@pytest.mark.parametrize(
    ("connect", "options"),
    [
        (pymysql.connect, {"ssl": {"ca": CERTIFICATE, "check_hostname": True}}),
        (mysql.connector.connect, {"ssl_ca": CERTIFICATE, "ssl_verify_cert": True}),
    ],
)
async def test_caller_connects_over_tls(listener, address, connect, options):
    def run():
        conn = connect(**address, **options)
        cursor = conn.cursor()
        cursor.execute("SELECT a FROM t")
        rows = cursor.fetchall()
        conn.close()
        return list(rows)

    assert await asyncio.to_thread(run) == [(1,)]


async def test_late_statement_over_tls_gets_the_shutdown_error(listener, address):
    context = ssl.create_default_context(cafile=CERTIFICATE)
    conn = await asyncmy.connect(**address, ssl=context)
    draining = asyncio.create_task(listener.drain(transactions_s=1, statements_s=2))
    await asyncio.sleep(0.1)
    with pytest.raises(asyncmy.errors.OperationalError) as caught:
        async with conn.cursor() as cursor:
            await cursor.execute("SELECT late")
    assert caught.value.args[0] == 1053
    assert await draining == 0


async def test_upstream_connection_uses_tls(listener, script):
    conn = await connector(tls_ca=CERTIFICATE).connect(instance(listener))
    result = await conn.execute("SELECT a FROM t")
    assert result.rows == ((1,),)
    conn.abort()


async def test_upstream_with_a_certificate_of_an_unknown_ca_is_rejected(
    listener, script
):
    mysql_connector = connector(tls_ca=CERTIFICATE)
    # This context trusts the system's authorities, none of which signed the
    # instance's certificate.
    mysql_connector._ssl = ssl.create_default_context()
    with pytest.raises(ConnectError):
        await mysql_connector.connect(instance(listener))
    assert script.ran == []
