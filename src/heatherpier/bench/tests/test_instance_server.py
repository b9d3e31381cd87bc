"""A stand-in instance over sockets: connection limit and network delay."""

import asyncio

import pytest

from heatherpier.bench._instance import Instance
from heatherpier.bench._instance_server import serve_instance
from heatherpier.bench._processes import free_ports
from heatherpier.timers import LoopTimers
from heatherpier.upstreams import Instance as Address
from heatherpier.upstreams import TooManyConnectionsError
from heatherpier.upstreams.mysql import MysqlConnector

REMOTE_DELAY_S = 0.1


@pytest.fixture(scope="module")
def event_loop_policy():
    return asyncio.DefaultEventLoopPolicy()


@pytest.fixture
async def instance():
    (port,) = free_ports(1)
    address = Address(name="one", host="127.0.0.1", port=port, data_centre="north-a")
    instance = Instance(
        address,
        peers=[address],
        connector=connector("replication", "north-a"),
        timers=LoopTimers(),
        connection_limit=2,
    )
    instance.bootstrap("one")
    server = await serve_instance(instance, remote_delay_s=REMOTE_DELAY_S)
    yield instance
    server.close()


def connector(user, data_centre):
    return MysqlConnector(
        user=user, password="", program_name=f"bench/{data_centre}/test"
    )


async def connect(instance, *, user="heatherpier", data_centre="north-a"):
    return await connector(user, data_centre).connect(instance.address)


async def test_connection_over_the_limit_is_rejected(instance):
    open_conns = [await connect(instance) for _ in range(2)]
    with pytest.raises(TooManyConnectionsError):
        await connect(instance)
    for conn in open_conns:
        conn.abort()


async def test_closed_connection_no_longer_counts(instance):
    open_conns = [await connect(instance) for _ in range(2)]
    open_conns.pop().abort()
    await asyncio.sleep(0.1)
    assert (await (await connect(instance)).execute("SELECT 1")).rows == ((1,),)


@pytest.mark.parametrize("user", ["replication", "bench"])
async def test_limit_does_not_apply_to_replication_and_bench(instance, user):
    open_conns = [await connect(instance) for _ in range(2)]
    assert (await (await connect(instance, user=user)).execute("SELECT 1")).rows
    for conn in open_conns:
        conn.abort()


async def test_statement_from_another_data_centre_takes_a_round_trip(instance):
    conn = await connect(instance, data_centre="south-a")
    loop = asyncio.get_running_loop()
    before = loop.time()
    await conn.execute("SELECT 1")
    assert loop.time() - before >= 2 * REMOTE_DELAY_S
