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
    make_version,
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
        self.epochs = []

    async def answer(self, req):
        body = await req.json() if req.can_read_body else None
        self.calls.append((req.method, req.path, dict(req.query), body))
        if self.unresponsive:
            await asyncio.sleep(30)
        answer = self.pages.pop(0) if self.pages else self.body
        headers = {"Store-Era": self.epochs[0]} if self.epochs else None
        if len(self.epochs) > 1:
            # The last epoch is that of all later answers.
            self.epochs.pop(0)
        return web.json_response(answer, status=self.status, headers=headers)


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


async def test_versions_carry_the_epoch_of_the_answer(client, fake_store):
    fake_store.epochs = ["3"]
    fake_store.body = {"rows": [wire_row("a", 4, "x")], "ver": 5, "nowMs": 1}
    changes = await client.read_table("t")
    assert changes.version == make_version(3, 5)
    assert changes.rows[0].version == make_version(3, 4)


async def test_the_store_is_asked_for_its_own_numbers(client, fake_store):
    fake_store.epochs = ["3"]
    fake_store.body = {"rows": [], "ver": 8, "nowMs": 1}
    await client.watch("t", after=make_version(3, 5), wait_s=1.0)
    assert fake_store.calls[0][2]["after"] == "5"
    assert await client.put("t", "a", b"x", expected=make_version(3, 7)) == (
        make_version(3, 8)
    )
    assert fake_store.calls[1][3]["precondition"][0]["ver"] == 7


async def test_a_watch_that_spans_a_restore_loses_its_history(client, fake_store):
    fake_store.epochs = ["1"]
    fake_store.body = {"rows": [wire_row("a", 6, "x")], "ver": 6, "nowMs": 1}
    with pytest.raises(HistoryLostError):
        await client.watch("t", after=5, wait_s=0.0)


async def test_a_write_on_a_row_from_before_a_restore_is_not_sent(client, fake_store):
    fake_store.epochs = ["1"]
    await client.read_table("t")
    with pytest.raises(ChangeConflictError):
        await client.put("t", "a", b"x", expected=5)
    assert len(fake_store.calls) == 1


async def test_a_write_answered_in_a_later_epoch_has_an_unknown_outcome(
    client, fake_store
):
    fake_store.epochs = ["1"]
    fake_store.body = {"ver": 6, "nowMs": 1}
    with pytest.raises(StoreUnavailableError, match="epoch"):
        await client.put("t", "a", b"x", expected=5)


async def test_pages_of_two_epochs_are_not_joined(client, fake_store):
    fake_store.epochs = ["1", "2"]
    fake_store.pages = [
        {"rows": [wire_row("a", 1, "x")], "ver": 5, "nowMs": 1, "truncated": True},
        {"rows": [wire_row("b", 2, "y")], "ver": 5, "nowMs": 2},
    ]
    with pytest.raises(StoreUnavailableError, match="restored"):
        await client.read_table("t")


async def test_a_malformed_epoch_makes_the_answer_unusable(client, fake_store):
    fake_store.epochs = ["soon"]
    with pytest.raises(StoreUnavailableError, match="'soon'"):
        await client.read_table("t")


@pytest.mark.parametrize(
    ("status", "error"), [(410, HistoryLostError), (412, ChangeConflictError)]
)
async def test_a_rejection_without_an_epoch_keeps_its_meaning(
    client, fake_store, status, error
):
    # Otherwise a proxy whose version is unknown after a restore never reads anew.
    fake_store.epochs = ["2"]
    await client.read_table("t")
    fake_store.epochs = []
    fake_store.status = status
    version = make_version(2, 5)
    call = (
        client.watch("t", after=version, wait_s=0.0)
        if status == 410
        else client.put("t", "a", b"x", expected=version)
    )
    with pytest.raises(error):
        await call


async def test_a_delete_is_conditional_on_other_rows_too(client, fake_store):
    await client.delete("t", "a", expected=3, unchanged={"b": 4, "c": 2})
    _, path, _, body = fake_store.calls[0]
    assert path == "/rows-tx"
    assert body["deletes"] == [{"table": "t", "part": "", "key": "a"}]
    versions = {row["key"]: row["ver"] for row in body["precondition"]}
    assert versions == {"a": 3, "b": 4, "c": 2}


async def test_a_delete_is_not_sent_with_a_row_of_an_earlier_epoch(client, fake_store):
    fake_store.epochs = ["1"]
    await client.read_table("t")
    with pytest.raises(ChangeConflictError):
        await client.delete(
            "t", "a", expected=make_version(1, 3), unchanged={"b": make_version(0, 4)}
        )
    assert len(fake_store.calls) == 1
