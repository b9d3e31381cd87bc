"""SIGTERM to a proxy process under load from real drivers."""

import asyncio
import dataclasses
import json
import signal

import aiohttp
import asyncmy
import pymysql
import pytest
from asyncmy.errors import OperationalError

from heatherpier.bench._deployment import DEMO_PASSWORD, SEN_VANG
from heatherpier.bench._fleet import start_fleet
from heatherpier.bench._processes import Processes, free_ports

ER_SERVER_SHUTDOWN = 1053
# Errors that a proxy may rightly return on a busy machine, and after which a caller
# retries: not run, overloaded, read only.
RETRYABLE_CODES = frozenset({7001, 7003, 7005})
POLL_S = 0.05
SINGLE_GROUP = dataclasses.replace(SEN_VANG, groups=1, lag_ms=5)


@dataclasses.dataclass
class ProxyUnderTest:
    """A running proxy, the URL of its admin endpoint, and a caller's arguments."""

    process: object
    admin: str
    caller: dict


@pytest.fixture
async def proxy(tmp_path):
    """Starts a deployment of one proxy, and a second one with an admin endpoint."""
    async with Processes(tmp_path) as processes:
        await start_fleet(
            SINGLE_GROUP, processes=processes, directory=tmp_path, proxies=1
        )
        cfg = json.loads((tmp_path / "proxy-1.json").read_text())
        port, admin_port = free_ports(2)
        cfg |= {
            "name": "proxy-9",
            "port": port,
            "admin": {"port": admin_port},
            "stop": {"unready_ms": 4000, "linger_ms": 500},
        }
        process = await processes.start(
            "proxy-9", command=["proxy"], settings=cfg, port=port
        )
        yield ProxyUnderTest(
            process=process,
            admin=f"http://127.0.0.1:{admin_port}",
            caller={
                "host": "127.0.0.1",
                "port": port,
                "user": SINGLE_GROUP.user,
                "password": DEMO_PASSWORD,
                "database": SINGLE_GROUP.database(SINGLE_GROUP.group_names()[0]),
                "autocommit": True,
            },
        )


async def get(url):
    async with aiohttp.ClientSession() as http, http.get(url) as answer:
        return answer.status, await answer.text()


async def send_until_stopped(proxy, number, outcomes):
    """Writes and reads until an error that is not retryable, and records its code."""
    conn = await asyncmy.connect(**proxy.caller)
    for count in range(10_000):
        sql = f"INSERT INTO jobs VALUES ({number * 10_000 + count}, 'a')"
        try:
            async with conn.cursor() as cursor:
                await cursor.execute(sql)
                await cursor.execute("SELECT COUNT(*) FROM jobs")
                await cursor.fetchall()
        except OperationalError as exc:
            if exc.args[0] in RETRYABLE_CODES:
                continue
            outcomes.append(exc.args[0])
            return


async def test_sigterm_under_load_interrupts_no_request(proxy):
    conn = await asyncio.to_thread(pymysql.connect, **proxy.caller)
    await asyncio.to_thread(
        conn.cursor().execute, "CREATE TABLE jobs (id INT PRIMARY KEY, agent TEXT)"
    )
    outcomes = []
    callers = [
        asyncio.create_task(send_until_stopped(proxy, number, outcomes))
        for number in range(6)
    ]
    await asyncio.sleep(1.0)
    assert (await get(f"{proxy.admin}/ready"))[0] == 200
    _, status = await get(f"{proxy.admin}/status")
    assert json.loads(status)["groups"][0]["name"] == SINGLE_GROUP.group_names()[0]
    proxy.process.send_signal(signal.SIGTERM)
    while (await get(f"{proxy.admin}/ready"))[0] != 503:
        await asyncio.sleep(POLL_S)
    late = await asyncio.to_thread(pymysql.connect, **proxy.caller)
    await asyncio.gather(*callers)
    assert outcomes == [ER_SERVER_SHUTDOWN] * len(callers)
    late.close()
    assert await asyncio.to_thread(proxy.process.popen.wait) == 0
