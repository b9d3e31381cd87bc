"""Connections to instances at addresses and with names that can't be used."""

import asyncio

import pytest

from heatherpier.platform import LineConnector
from heatherpier.upstreams import ConnectError, Instance


@pytest.fixture(scope="module")
def event_loop_policy():
    return asyncio.DefaultEventLoopPolicy()


@pytest.fixture
async def listening_port():
    """Returns a port of this machine at which connections are accepted."""
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    async with server:
        yield server.sockets[0].getsockname()[1]


@pytest.mark.parametrize("host", ["127.0..9", "a" * 70, "\ud800", "127.0.0.1\0"])
async def test_a_host_that_can_not_be_encoded_is_no_connection(host):
    # Guards against an error of another kind, which no caller expects: a probe that
    # raises it ends the watch of a primary for good.
    instance = Instance(name="i-1", host=host, port=8784, data_centre="north")
    with pytest.raises(ConnectError, match="i-1"):
        await LineConnector(caller="proxy-0").connect(instance, service="claims")


async def test_a_port_that_is_too_large_is_no_connection():
    instance = Instance(name="i-1", host="127.0.0.1", port=2**40, data_centre="north")
    with pytest.raises(ConnectError, match="i-1"):
        await LineConnector(caller="proxy-0").connect(instance, service="claims")


async def test_a_name_outside_of_the_encoding_is_no_connection(listening_port):
    instance = Instance(
        name="i-\u0395", host="127.0.0.1", port=listening_port, data_centre="north"
    )
    with pytest.raises(ConnectError):
        await LineConnector(caller="proxy-0").connect(instance, service="claims")
