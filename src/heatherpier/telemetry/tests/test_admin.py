"""The admin endpoint, tested over a real socket."""

import asyncio
import io

import aiohttp
import pytest
from prometheus_client import CollectorRegistry, Counter

from heatherpier.bench import free_ports
from heatherpier.telemetry import AdminServer, JsonHandler, get_logger

TOKEN = "t0ken"


@pytest.fixture(scope="module")
def event_loop_policy():
    return asyncio.DefaultEventLoopPolicy()


@pytest.fixture
def handler():
    return JsonHandler(stream=io.StringIO(), level="INFO")


@pytest.fixture
def state():
    return {"ready": True}


@pytest.fixture
async def url(handler, state):
    registry = CollectorRegistry()
    Counter("statements", "Statements.", registry=registry).inc()
    admin = AdminServer(
        ready=lambda: state["ready"],
        status=lambda: state,
        registry=registry,
        handler=handler,
        token=TOKEN,
    )
    (port,) = free_ports(1)
    await admin.start(host="127.0.0.1", port=port)
    yield f"http://127.0.0.1:{port}"
    await admin.close()


async def get(url):
    async with aiohttp.ClientSession() as http, http.get(url) as answer:
        return answer.status, await answer.text()


@pytest.mark.parametrize(("ready", "expected"), [(True, 200), (False, 503)])
async def test_ready_returns_the_readiness_of_the_proxy(url, state, ready, expected):
    state["ready"] = ready
    assert (await get(f"{url}/ready"))[0] == expected


@pytest.mark.parametrize(
    ("path", "text"),
    [
        ("/live", "live"),
        ("/metrics", "statements_total 1.0"),
        ("/status", '"ready":true'),
    ],
)
async def test_page_contains_its_text(url, path, text):
    status, body = await get(url + path)
    assert status == 200
    assert text in body


@pytest.mark.parametrize(
    ("token", "level", "expected", "written"),
    [
        (TOKEN, "debug", 200, True),
        (TOKEN, "LOUD", 400, False),
        ("wrong", "DEBUG", 403, False),
        ("", "DEBUG", 403, False),
    ],
)
async def test_log_level_changes_only_with_token_and_known_level(
    url, handler, token, level, expected, written
):
    headers = {"Authorization": f"Bearer {token}"}
    async with (
        aiohttp.ClientSession() as http,
        http.put(f"{url}/log-level", data=level, headers=headers) as answer,
    ):
        assert answer.status == expected
    with handler.applicationbound():
        get_logger("test").debug("detail")
    assert ("detail" in handler._stream.getvalue()) is written
