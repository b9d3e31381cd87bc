"""Bad input costs its own connection only."""

import asyncio

import asyncmy
import pytest

from heatherpier.callers import CallerLimits
from heatherpier.callers.tests.raw import RawCaller, frame

MALFORMED = 1835
TOO_LARGE = 1153
UNKNOWN_COMMAND = 1047
UNKNOWN_STATEMENT = 1243
IDLE = 4031
BAD_HANDSHAKE = 1043
OF_THE_NEIGHBOUR = {"SET AUTOCOMMIT = 0", "SELECT neighbour"}

LIMITS = CallerLimits(
    packet_bytes=4096, handshake_s=0.4, idle_s=0.6, packet_s=0.3, linger_s=0.2
)


@pytest.fixture
def limits():
    return LIMITS


@pytest.fixture
async def neighbour(listener, address):
    """Another caller, who must notice nothing."""
    conn = await asyncmy.connect(**address)
    done = asyncio.Event()

    async def work():
        async with conn.cursor() as cursor:
            while not done.is_set():
                await cursor.execute("SELECT neighbour")
                assert await cursor.fetchall() == ((1,),)
                await asyncio.sleep(0.05)

    working = asyncio.create_task(work())
    yield
    done.set()
    await working
    conn.close()


@pytest.mark.parametrize(
    ("sent", "code"),
    [
        (frame(b"", number=1), BAD_HANDSHAKE),
        (frame(b"\x00\x82\x08\x00", number=1), BAD_HANDSHAKE),
        (frame(b"\xff" * 64, number=1), BAD_HANDSHAKE),
        (frame(b"GET / HTTP/1.1\r\n\r\n", number=1), BAD_HANDSHAKE),
        (frame(b"x" * 40, number=7), MALFORMED),
        (b"\xff\xff\x7f\x01" + b"x" * 100, TOO_LARGE),
    ],
    ids=["empty", "short", "noise", "http", "sequence", "oversized"],
)
async def test_bad_handshake_is_answered_and_closed(listener, neighbour, sent, code):
    caller = await RawCaller.open(listener.port)
    await caller.read()
    caller.writer.write(sent)
    assert await caller.read_error() == code
    await caller.ended()


@pytest.mark.parametrize(
    ("sent", "code"),
    [
        (frame(b""), MALFORMED),
        (frame(b"\x03SELECT 1", number=5), MALFORMED),
        (frame(b"\x03" + b"x" * 5000), TOO_LARGE),
        (b"\xff\xff\xff\x00" + b"\x03" + b"x" * 5000, TOO_LARGE),
        (frame(b"\x03\xff\xfe"), MALFORMED),
        (frame(b"\x17\x01"), UNKNOWN_STATEMENT),
        (frame(b"\x03SELECT 1")[:8], IDLE),
        (frame(b"\x03SELECT 1")[:2], IDLE),
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
async def test_bad_command_is_answered_by_an_error(
    listener, script, neighbour, sent, code
):
    caller = await RawCaller.login(listener.port)
    caller.writer.write(sent)
    assert await caller.read_error() == code
    await caller.ended()
    assert set(script.ran) <= OF_THE_NEIGHBOUR


@pytest.mark.parametrize("command", [0x00, 0x04, 0x08, 0x0C, 0x12, 0x1C, 0x7F, 0xFF])
async def test_unknown_command_keeps_the_connection(listener, neighbour, command):
    caller = await RawCaller.login(listener.port)
    caller.writer.write(frame(bytes([command]) + b"\x01\0\0\0"))
    assert await caller.read_error() == UNKNOWN_COMMAND
    caller.writer.write(frame(b"\x0e"))
    _, answer = await caller.read()
    assert answer[0] == 0
    caller.writer.close()


async def test_silent_handshake_ends(listener, neighbour):
    caller = await RawCaller.open(listener.port)
    await asyncio.wait_for(caller.ended(), 5)


async def test_idle_caller_is_told(listener, neighbour):
    caller = await RawCaller.login(listener.port)
    assert await caller.read_error() == IDLE


async def test_closed_connection_ends_the_session(listener, script, neighbour):
    caller = await RawCaller.login(listener.port)
    caller.writer.transport.abort()
    await asyncio.sleep(0.1)
    assert [session.closed for session in script.sessions] == [False, True]
