"""Tests of callers' connections: sessions, malformed input and planned stops."""

import asyncio
import contextlib

import pytest

from heatherpier.platform import LineListener
from heatherpier.positions import LogPosition
from heatherpier.routing import CallerLimits
from heatherpier.statements import (
    Begin,
    Code,
    Done,
    Failed,
    Reply,
    Rollback,
    SessionState,
)

LIMITS = CallerLimits(
    message_bytes=200, message_timeout_s=0.3, idle_timeout_s=0.6, transaction_idle_s=0.3
)


class FakeSession:
    """Answers each statement with its text."""

    def __init__(self, database):
        self.database = database
        self.in_transaction = False
        self.transaction_ended = False
        self.queries = []
        self.closed = False
        self.release = None

    async def execute(self, query):
        self.queries.append(query)
        if self.release is not None:
            await self.release.wait()
        if isinstance(query.statement, Begin):
            self.in_transaction = True
        if isinstance(query.statement, Rollback):
            self.in_transaction = False
        state = SessionState.OPEN if self.in_transaction else SessionState.IDLE
        return Reply(
            outcome=Done(rows=(query.text,), signature="7.1"),
            state=state,
            position=LogPosition(1, 2),
        )

    def end_transaction(self, *, reason):
        if self.in_transaction:
            self.transaction_ended = True

    def interrupted_reply(self, query):
        outcome = Failed(code=Code.OUTCOME_UNKNOWN, reason=query.text)
        return Reply(outcome=outcome, state=SessionState.IDLE)

    def close(self):
        self.closed = True


@pytest.fixture
def sessions():
    return []


@pytest.fixture
def configured():
    """Returns the event that the databases are known, which is set at first."""
    event = asyncio.Event()
    event.set()
    return event


@pytest.fixture
def keys():
    """Returns the keys with which sessions were opened."""
    return []


@pytest.fixture
async def listener(sessions, configured, keys):
    def open_session(database, key):
        if database == "absent":
            return Failed(code=Code.UNKNOWN_DATABASE, reason="absent")
        sessions.append(FakeSession(database))
        keys.append(key)
        return sessions[-1]

    async def wait_until_known():
        await configured.wait()

    running = LineListener(
        open_session=open_session,
        limits=lambda: LIMITS,
        wait_until_known=wait_until_known,
    )
    await running.start(host="127.0.0.1", port=0)
    yield running
    await running.close()


@pytest.fixture
def connect(listener):
    port = listener._server.sockets[0].getsockname()[1]

    async def open_streams():
        return await asyncio.open_connection("127.0.0.1", port)

    return open_streams


async def send(streams, text, *, lines):
    streams[1].write(text.encode("latin-1"))
    return [
        (await asyncio.wait_for(streams[0].readline(), 5)).decode("latin-1")
        for _ in range(lines)
    ]


async def start(connect):
    streams = await connect()
    assert await send(streams, "START db u1\r\n", lines=1) == ["READY I -\r\n"]
    return streams


async def test_session_runs_from_start_to_bye(connect, sessions):
    streams = await start(connect)
    lines = await send(streams, "QUERY 5c READ 1a4\r\n", lines=3)
    assert lines == ["ROW READ 1a4\r\n", "DONE 7.1\r\n", "READY I 1.2\r\n"]
    streams[1].write(b"BYE\r\n")
    assert await streams[0].read() == b""
    assert sessions[0].database == "db"
    assert sessions[0].queries[0].id == "5c"
    assert sessions[0].closed


async def test_pipelined_messages_are_answered_in_order(connect):
    streams = await start(connect)
    lines = await send(streams, "QUERY 1 READ a\r\nQUERY 2 READ b\r\n", lines=6)
    assert [line for line in lines if line.startswith("ROW")] == [
        "ROW READ a\r\n",
        "ROW READ b\r\n",
    ]


async def test_message_may_arrive_in_pieces(connect):
    streams = await start(connect)
    for piece in ("QUE", "RY 1 RE", "AD a\r"):
        streams[1].write(piece.encode())
        await asyncio.sleep(0.02)
    assert (await send(streams, "\n", lines=3))[0] == "ROW READ a\r\n"


async def test_text_of_any_encoding_passes_unchanged(connect):
    streams = await start(connect)
    lines = await send(streams, "QUERY 1 READ \xff\xe9\r\n", lines=3)
    assert lines[0] == "ROW READ \xff\xe9\r\n"


async def test_unknown_database_is_rejected_and_connection_closed(connect):
    streams = await connect()
    [line] = await send(streams, "START absent u1\r\n", lines=1)
    assert line.startswith("ERR NODB")
    assert await streams[0].read() == b""


MALFORMED_STARTS = ["", "HELLO", "START", "START ", "QUERY 1 READ a", "\x00" * 20]
MALFORMED_MESSAGES = [
    "",
    "HELLO",
    "QUERY",
    "QUERY 1",
    "QUERY  READ",
    "ROW x",
    "\x00\x01",
]


async def test_key_passes_to_the_session_and_into_no_answer(connect, keys):
    """Guards against keys in answers and logs, also of malformed first messages."""
    assert await send(await connect(), "START db k-1\r\n", lines=1) == ["READY I -\r\n"]
    assert keys == ["k-1"]
    for text in ("START absent k-1\r\n", "BEGIN db k-1\r\n"):
        [line] = await send(await connect(), text, lines=1)
        assert line.startswith("ERR ")
        assert "k-1" not in line


@pytest.mark.parametrize("text", MALFORMED_STARTS)
async def test_malformed_start_closes_only_its_connection(connect, text):
    other = await start(connect)
    streams = await connect()
    [line] = await send(streams, text + "\r\n", lines=1)
    assert line.startswith("ERR MALFORMED")
    assert await streams[0].read() == b""
    assert await send(other, "QUERY 1 READ a\r\n", lines=3)


@pytest.mark.parametrize("text", MALFORMED_MESSAGES)
async def test_malformed_message_closes_only_its_connection(connect, text):
    other, streams = await start(connect), await start(connect)
    [line] = await send(streams, text + "\r\n", lines=1)
    assert line.startswith("ERR MALFORMED")
    assert await streams[0].read() == b""
    assert await send(other, "QUERY 1 READ a\r\n", lines=3)


@pytest.mark.parametrize("has_line_end", [True, False])
async def test_too_large_message_is_rejected(connect, has_line_end):
    streams = await start(connect)
    text = "QUERY 1 READ " + "a" * 300 + ("\r\n" if has_line_end else "")
    [line] = await send(streams, text, lines=1)
    assert line.startswith("ERR TOOBIG")


@pytest.mark.parametrize("sent", [b"", b"STA"])
async def test_connection_without_start_is_closed(connect, sent):
    reader, writer = await connect()
    writer.write(sent)
    assert await asyncio.wait_for(reader.read(), 5) == b""


async def test_incomplete_message_times_out_while_bytes_arrive(connect):
    reader, writer = await start(connect)

    async def trickle():
        while not writer.is_closing():
            writer.write(b"Q")
            await asyncio.sleep(0.05)

    task = asyncio.create_task(trickle())
    # Bytes that arrive after the close may reset the connection, which also ends it.
    with contextlib.suppress(ConnectionResetError):
        assert await asyncio.wait_for(reader.read(), 5) == b""
    task.cancel()


async def test_idle_session_is_closed(connect, sessions):
    reader, _ = await start(connect)
    assert await asyncio.wait_for(reader.read(), 5) == b""
    assert sessions[0].closed


async def test_idle_transaction_is_rolled_back(connect, sessions):
    streams = await start(connect)
    await send(streams, "QUERY 1 BEGIN\r\n", lines=3)
    await asyncio.sleep(0.45)
    assert sessions[0].transaction_ended


async def test_closed_connection_ends_its_session(connect, sessions):
    streams = await start(connect)
    await send(streams, "QUERY 1 BEGIN\r\n", lines=3)
    streams[1].close()
    await asyncio.sleep(0.1)
    assert sessions[0].closed


async def test_stop_closes_idle_sessions_and_answers_running_statements(
    listener, connect, sessions
):
    idle, busy = await start(connect), await start(connect)
    await send(idle, "QUERY 1 READ a\r\n", lines=3)
    sessions[1].release = asyncio.Event()
    busy[1].write(b"QUERY 1 READ a\r\n")
    await asyncio.sleep(0.1)
    listener.close_when_idle()
    assert await asyncio.wait_for(idle[0].read(), 5) == b""
    sessions[1].release.set()
    answer = await asyncio.wait_for(busy[0].read(), 5)
    assert answer.endswith(b"READY I 1.2\r\n")


async def test_stop_waits_for_open_transactions(listener, connect):
    streams = await start(connect)
    await send(streams, "QUERY 1 BEGIN\r\n", lines=3)
    listener.close_when_idle()
    lines = await send(streams, "QUERY 2 READ a\r\n", lines=3)
    assert lines[0] == "ROW READ a\r\n"
    await send(streams, "QUERY 3 ROLLBACK\r\n", lines=3)
    assert await asyncio.wait_for(streams[0].read(), 5) == b""


async def test_new_caller_during_stop_is_served_once(listener, connect):
    listener.close_when_idle()
    streams = await connect()
    streams[1].write(b"START db u1\r\nQUERY 1 READ a\r\n")
    answer = await asyncio.wait_for(streams[0].read(), 5)
    assert answer.startswith(b"READY I -\r\nROW READ a\r\n")
    assert answer.endswith(b"READY I 1.2\r\n")


async def test_a_transaction_ends_after_the_statement_that_runs_in_a_stop(
    listener, connect, sessions
):
    # Guards against a transaction that outlives its limit because it was not idle then.
    streams = await start(connect)
    await send(streams, "QUERY 1 BEGIN\r\n", lines=3)
    sessions[0].release = asyncio.Event()
    streams[1].write(b"QUERY 2 READ a\r\n")
    await asyncio.sleep(0.1)
    listener.end_transactions()
    assert not sessions[0].transaction_ended
    sessions[0].release.set()
    assert (await send(streams, "", lines=3))[0] == "ROW READ a\r\n"
    assert sessions[0].transaction_ended


async def test_no_transaction_begins_after_transactions_were_ended(
    listener, connect, sessions
):
    open_before = await start(connect)
    listener.end_transactions()
    for streams in (open_before, await start(connect)):
        streams[1].write(b"QUERY 1 BEGIN\r\nQUERY 2 READ a\r\n")
        answer = await asyncio.wait_for(streams[0].read(), 5)
        assert answer.count(b"ERR OVERLOAD") == 2
        assert answer.endswith(b"READY I -\r\n")
    assert [session.queries for session in sessions] == [[], []]


async def test_the_end_of_a_stop_answers_what_has_arrived(listener, connect, sessions):
    # Guards against statements that are cut without an answer.
    streams, idle = await start(connect), await start(connect)
    sessions[0].release = asyncio.Event()
    streams[1].write(b"QUERY 1 WRITE a v\r\nQUERY 2 READ b\r\nBYE\r\nQUERY 3 RE")
    await asyncio.sleep(0.1)
    await listener.close()
    answer = (await asyncio.wait_for(streams[0].read(), 5)).decode().split("\r\n")
    assert [line.split(" ")[0:2] for line in answer[:-1]] == [
        ["ERR", "INDOUBT"],
        ["READY", "I"],
        ["ERR", "OVERLOAD"],
        ["READY", "I"],
    ]
    assert await asyncio.wait_for(idle[0].read(), 5) == b""
    assert [query.id for query in sessions[0].queries] == ["1"]


async def test_late_in_stop_new_statements_are_rejected_and_running_ones_finish(
    listener, connect, sessions
):
    running, late = await start(connect), await start(connect)
    sessions[0].release = asyncio.Event()
    running[1].write(b"QUERY 1 READ a\r\n")
    await asyncio.sleep(0.1)
    listener.refuse_new()
    lines = await send(late, "QUERY 2 READ b\r\n", lines=2)
    assert lines[0].startswith("ERR OVERLOAD")
    assert lines[1] == "READY I -\r\n"
    assert await asyncio.wait_for(late[0].read(), 5) == b""
    assert sessions[1].queries == []
    sessions[0].release.set()
    answer = await asyncio.wait_for(running[0].read(), 5)
    assert answer.endswith(b"READY I 1.2\r\n")


async def test_late_in_stop_new_callers_are_rejected(listener, connect, sessions):
    listener.refuse_new()
    streams = await connect()
    [line] = await send(streams, "START db u1\r\n", lines=1)
    assert line.startswith("ERR OVERLOAD")
    assert await asyncio.wait_for(streams[0].read(), 5) == b""
    assert sessions == []


async def test_a_caller_waits_while_no_database_is_known_yet(
    connect, sessions, configured
):
    configured.clear()
    streams = await connect()
    streams[1].write(b"START db u1\r\n")
    await asyncio.sleep(0.05)
    assert sessions == []
    configured.set()
    assert await streams[0].readline() == b"READY I -\r\n"
