"""A connection detects bytes that it received without a statement in flight.

An answer that comes twice would otherwise be taken for that of the next statement.
"""

import asyncio

import pytest

from heatherpier.bench import Instance as StandIn
from heatherpier.bench import serve_instance
from heatherpier.bench._processes import free_ports
from heatherpier.timers import LoopTimers
from heatherpier.upstreams import Instance
from heatherpier.upstreams.mysql import MysqlConnector


@pytest.fixture(scope="module")
def event_loop_policy():
    return asyncio.DefaultEventLoopPolicy()


@pytest.fixture
async def address():
    (port,) = free_ports(1)
    address = Instance(name="one", host="127.0.0.1", port=port, data_centre="north-a")
    connector = MysqlConnector(user="replication", password="", program_name="test")
    instance = StandIn(
        address, peers=[address], connector=connector, timers=LoopTimers()
    )
    server = await serve_instance(instance)
    yield address
    server.close()


async def start_doubling_relay(address):
    """Starts a relay that sends each answer to a statement twice."""

    async def relay(reader, writer):
        up_reader, up_writer = await asyncio.open_connection(address.host, address.port)
        count = 0

        async def relay_answers():
            nonlocal count
            while data := await up_reader.read(65536):
                count += 1
                # The greeting and the answer to the login are sent once.
                writer.write(data if count <= 2 else data + data)

        answers = asyncio.create_task(relay_answers())
        while data := await reader.read(65536):
            up_writer.write(data)
        answers.cancel()
        up_writer.close()
        writer.close()

    return await asyncio.start_server(relay, "127.0.0.1", 0)


@pytest.mark.parametrize("doubled", [True, False])
async def test_unread_bytes_of_a_doubled_answer_are_detected(address, doubled):
    relay = await start_doubling_relay(address)
    port = relay.sockets[0].getsockname()[1] if doubled else address.port
    connector = MysqlConnector(user="heatherpier", password="", program_name="test")
    conn = await connector.connect(
        Instance(name="one", host="127.0.0.1", port=port, data_centre="north-a")
    )
    assert not conn.has_unread()
    assert (await conn.execute("SELECT 1")).rows == ((1,),)
    assert conn.has_unread() is doubled
    conn.abort()
    relay.close()
