"""Tests of the store client against a fake store with the same HTTP calls."""

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


class FakeStore:
    """Records each call and answers it as the test has set."""

    def __init__(self):
        self.status = 200
        self.body = {"rows": [], "ver": 5, "nowMs": 1000}
        self.pages = []
        self.calls = []
        self.unresponsive = False

    async def answer(self, req):
        body = await req.json() if req.can_read_body else None
        self.calls.append((req.method, req.path, dict(req.query), body))
        if self.unresponsive:
            await asyncio.sleep(30)
        answer = self.pages.pop(0) if self.pages else self.body
        return web.json_response(answer, status=self.status)


@pytest.fixture
async def fake_store():
    running = FakeStore()
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
async def client(fake_store):
    store = StoreClient(f"127.0.0.1:{fake_store.port}", timers=LoopTimers())
    yield store
    await store.close()


def wire_row(key, version, text):
    value = base64.b64encode(text.encode()).decode()
    return {"table": "t", "part": "", "key": key, "value": value, "ver": version}


async def test_table_is_read_page_by_page(client, fake_store):
    fake_store.pages = [
        {"rows": [wire_row("a", 1, "x")], "ver": 5, "nowMs": 1, "truncated": True},
        {"rows": [wire_row("b", 2, "y")], "ver": 9, "nowMs": 2, "truncated": False},
    ]
    changes = await client.read_table("t")
    assert [(row.key, row.version, row.body) for row in changes.rows] == [
        ("a", 1, b"x"),
        ("b", 2, b"y"),
    ]
    # A watch after the first page's version returns what changed between the pages.
    assert changes.version == 5
    assert fake_store.calls[1][2]["from"] > "a"


async def test_watch_returns_changed_and_deleted_rows(client, fake_store):
    deleted = {"table": "t", "part": "", "key": "b", "ver": 7, "tombstone": True}
    fake_store.body = {"rows": [wire_row("a", 6, "x"), deleted], "ver": 7, "nowMs": 1}
    changes = await client.watch("t", after=5, wait_s=2.0)
    assert [(row.key, row.body) for row in changes.rows] == [("a", b"x"), ("b", None)]
    assert fake_store.calls[0][2] == {"table": "t", "after": "5", "waitMs": "2000"}


async def test_write_is_conditional_on_the_version(client, fake_store):
    fake_store.body = {"ver": 8, "nowMs": 1}
    assert await client.put("t", "a", b"x", expected=3) == 8
    _, path, _, body = fake_store.calls[0]
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
async def test_failed_write_raises_the_error_of_its_status(
    client, fake_store, status, error
):
    fake_store.status = status
    with pytest.raises(error):
        await client.put("t", "a", b"x", expected=0)


async def test_lost_history_raises_its_own_error(client, fake_store):
    fake_store.status = 410
    with pytest.raises(HistoryLostError):
        await client.watch("t", after=5, wait_s=0.1)


async def test_unresponsive_store_times_out(client, fake_store):
    fake_store.unresponsive = True
    with pytest.raises(StoreUnavailableError, match="no answer"):
        await client.watch("t", after=5, wait_s=0.0)


async def test_unreachable_store_is_unavailable():
    store = StoreClient("127.0.0.1:1", timers=LoopTimers())
    with pytest.raises(StoreUnavailableError):
        await store.read_table("t")
    await store.close()


@pytest.mark.parametrize("body", [[], {"rows": 7}, {"rows": [{"ver": 1}], "ver": 1}])
async def test_unreadable_answer_counts_as_unavailable(client, fake_store, body):
    fake_store.body = body
    with pytest.raises(StoreUnavailableError, match="unreadable"):
        await client.read_table("t")


async def test_row_with_invalid_base64_has_an_empty_body(client, fake_store):
    row = {"table": "t", "part": "", "key": "a", "value": "%%%", "ver": 1}
    fake_store.body = {"rows": [row], "ver": 1, "nowMs": 1}
    changes = await client.read_table("t")
    assert changes.rows[0].body == b""
