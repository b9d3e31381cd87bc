"""The store's client against a stand-in that speaks the same calls."""

import asyncio
import base64

import pytest
from aiohttp import web

from heatherpier.platform import StoreClient
from heatherpier.tables import (
    ChangeConflictError,
    HistoryLostError,
    StoreRefusedError,
    StoreUnavailableError,
)
from heatherpier.timers import LoopTimers


class StoreStandIn:
    """Answers each call with what the test has set."""

    def __init__(self):
        self.status = 200
        self.body = {"rows": [], "ver": 5, "nowMs": 1000}
        self.pages = []
        self.calls = []
        self.silent = False

    async def answer(self, req):
        body = await req.json() if req.can_read_body else None
        self.calls.append((req.method, req.path, dict(req.query), body))
        if self.silent:
            await asyncio.sleep(30)
        answer = self.pages.pop(0) if self.pages else self.body
        return web.json_response(answer, status=self.status)


@pytest.fixture
async def stand_in():
    running = StoreStandIn()
    app = web.Application()
    app.router.add_route("*", "/{call:.*}", running.answer)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    running.port = site._server.sockets[0].getsockname()[1]
    yield running
    await runner.cleanup()


@pytest.fixture
async def client(stand_in):
    store = StoreClient(f"127.0.0.1:{stand_in.port}", timers=LoopTimers())
    yield store
    await store.close()


def wire_row(key, version, text):
    value = base64.b64encode(text.encode()).decode()
    return {"table": "t", "part": "", "key": key, "value": value, "ver": version}


async def test_a_table_is_read_page_by_page(client, stand_in):
    stand_in.pages = [
        {"rows": [wire_row("a", 1, "x")], "ver": 5, "nowMs": 1, "truncated": True},
        {"rows": [wire_row("b", 2, "y")], "ver": 9, "nowMs": 2, "truncated": False},
    ]
    changes = await client.read_table("t")
    assert [(row.key, row.version, row.body) for row in changes.rows] == [
        ("a", 1, b"x"),
        ("b", 2, b"y"),
    ]
    # The feed has to bring what changed between the pages.
    assert changes.version == 5
    assert stand_in.calls[1][2]["from"] > "a"


async def test_a_watch_tells_changed_and_dropped_rows(client, stand_in):
    dropped = {"table": "t", "part": "", "key": "b", "ver": 7, "tombstone": True}
    stand_in.body = {"rows": [wire_row("a", 6, "x"), dropped], "ver": 7, "nowMs": 1}
    changes = await client.watch("t", after=5, wait_s=2.0)
    assert [(row.key, row.body) for row in changes.rows] == [("a", b"x"), ("b", None)]
    assert stand_in.calls[0][2] == {"table": "t", "after": "5", "waitMs": "2000"}


async def test_a_write_carries_its_condition(client, stand_in):
    stand_in.body = {"ver": 8, "nowMs": 1}
    assert await client.put("t", "a", b"x", expected=3) == 8
    _, path, _, body = stand_in.calls[0]
    assert path == "/rows-tx"
    assert body["precondition"] == [{"table": "t", "part": "", "key": "a", "ver": 3}]
    assert body["writes"][0]["value"] == base64.b64encode(b"x").decode()


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (412, ChangeConflictError),
        (429, StoreRefusedError),
        (503, StoreRefusedError),
        (403, StoreRefusedError),
        (500, StoreUnavailableError),
    ],
)
async def test_a_write_that_fails_says_what_is_known(client, stand_in, status, error):
    stand_in.status = status
    with pytest.raises(error):
        await client.put("t", "a", b"x", expected=0)


async def test_lost_history_has_an_error_of_its_own(client, stand_in):
    stand_in.status = 410
    with pytest.raises(HistoryLostError):
        await client.watch("t", after=5, wait_s=0.1)


async def test_a_silent_store_is_given_up(client, stand_in):
    stand_in.silent = True
    with pytest.raises(StoreUnavailableError, match="no answer"):
        await client.watch("t", after=5, wait_s=0.0)


async def test_a_store_that_is_gone_is_unavailable():
    store = StoreClient("127.0.0.1:1", timers=LoopTimers())
    with pytest.raises(StoreUnavailableError):
        await store.read_table("t")
    await store.close()


@pytest.mark.parametrize("body", [[], {"rows": 7}, {"rows": [{"ver": 1}], "ver": 1}])
async def test_an_unreadable_answer_counts_as_none(client, stand_in, body):
    stand_in.body = body
    with pytest.raises(StoreUnavailableError, match="unreadable"):
        await client.read_table("t")


async def test_a_row_that_is_not_base64_has_an_empty_body(client, stand_in):
    row = {"table": "t", "part": "", "key": "a", "value": "%%%", "ver": 1}
    stand_in.body = {"rows": [row], "ver": 1, "nowMs": 1}
    changes = await client.read_table("t")
    assert changes.rows[0].body == b""
