"""Invalid input gets an error and affects no other connection."""

import asyncio

import asyncmy
import pytest

from heatherpier.callers import CallerLimits
from heatherpier.callers.tests.raw import RawCaller, make_packet

ER_MALFORMED_PACKET = 1835
ER_NET_PACKET_TOO_LARGE = 1153
ER_UNKNOWN_COM_ERROR = 1047
ER_UNKNOWN_STMT_HANDLER = 1243
ER_CLIENT_INTERACTION_TIMEOUT = 4031
ER_HANDSHAKE_ERROR = 1043
OTHER_CALLER_STATEMENTS = {"SET AUTOCOMMIT = 0", "SELECT other"}

LIMITS = CallerLimits(
    packet_bytes=4096, handshake_s=0.4, idle_s=0.6, packet_s=0.3, linger_s=0.2
)


@pytest.fixture
def limits():
    return LIMITS


@pytest.fixture
async def other_caller(listener, address):
    """Runs another caller, whose statements must all succeed."""
    conn = await asyncmy.connect(**address)
    done = asyncio.Event()

    async def query_until_done():
        async with conn.cursor() as cursor:
            while not done.is_set():
                await cursor.execute("SELECT other")
                assert await cursor.fetchall() == ((1,),)
                await asyncio.sleep(0.05)

    querying = asyncio.create_task(query_until_done())
    yield
    done.set()
    await querying
    conn.close()


@pytest.mark.parametrize(
    ("sent", "code"),
    [
        (make_packet(b"", sequence=1), ER_HANDSHAKE_ERROR),
        (make_packet(b"\x00\x82\x08\x00", sequence=1), ER_HANDSHAKE_ERROR),
        (make_packet(b"\xff" * 64, sequence=1), ER_HANDSHAKE_ERROR),
        (make_packet(b"GET / HTTP/1.1\r\n\r\n", sequence=1), ER_HANDSHAKE_ERROR),
        (make_packet(b"x" * 40, sequence=7), ER_MALFORMED_PACKET),
        (b"\xff\xff\x7f\x01" + b"x" * 100, ER_NET_PACKET_TOO_LARGE),
    ],
    ids=["empty", "short", "noise", "http", "sequence", "oversized"],
)
async def test_invalid_handshake_gets_an_error_and_is_closed(
    listener, other_caller, sent, code
):
    caller = await RawCaller.open(listener.port)
    await caller.read()
    caller.writer.write(sent)
    assert await caller.read_error() == code
    await caller.read_until_closed()


@pytest.mark.parametrize(
    ("sent", "code"),
    [
        (make_packet(b""), ER_MALFORMED_PACKET),
        (make_packet(b"\x03SELECT 1", sequence=5), ER_MALFORMED_PACKET),
        (make_packet(b"\x03" + b"x" * 5000), ER_NET_PACKET_TOO_LARGE),
        (b"\xff\xff\xff\x00" + b"\x03" + b"x" * 5000, ER_NET_PACKET_TOO_LARGE),
        (make_packet(b"\x03\xff\xfe"), ER_MALFORMED_PACKET),
        (make_packet(b"\x17\x01"), ER_UNKNOWN_STMT_HANDLER),
        (make_packet(b"\x03SELECT 1")[:8], ER_CLIENT_INTERACTION_TIMEOUT),
        (make_packet(b"\x03SELECT 1")[:2], ER_CLIENT_INTERACTION_TIMEOUT),
    ],
    ids=[
        "empty",
        "sequence",
        "oversized",
        "oversized in parts",
        "not utf-8",
        "cut execute",
        "half a packet",
        "half a header",
    ],
)
async def test_invalid_command_gets_an_error(
    listener, script, other_caller, sent, code
):
    caller = await RawCaller.login(listener.port)
    caller.writer.write(sent)
    assert await caller.read_error() == code
    await caller.read_until_closed()
    assert set(script.ran) <= OTHER_CALLER_STATEMENTS


@pytest.mark.parametrize("command", [0x00, 0x04, 0x08, 0x0C, 0x12, 0x1C, 0x7F, 0xFF])
async def test_unknown_command_keeps_the_connection_open(
    listener, other_caller, command
):
    caller = await RawCaller.login(listener.port)
    caller.writer.write(make_packet(bytes([command]) + b"\x01\0\0\0"))
    assert await caller.read_error() == ER_UNKNOWN_COM_ERROR
    caller.writer.write(make_packet(b"\x0e"))
    _, answer = await caller.read()
    assert answer[0] == 0
    caller.writer.close()


async def test_handshake_without_an_answer_times_out(listener, other_caller):
    caller = await RawCaller.open(listener.port)
    await asyncio.wait_for(caller.read_until_closed(), 5)


async def test_idle_caller_gets_the_timeout_error(listener, other_caller):
    caller = await RawCaller.login(listener.port)
    assert await caller.read_error() == ER_CLIENT_INTERACTION_TIMEOUT


async def test_closed_connection_ends_the_session(listener, script, other_caller):
    caller = await RawCaller.login(listener.port)
    caller.writer.transport.abort()
    await asyncio.sleep(0.1)
    assert [session.closed for session in script.sessions] == [False, True]
