"""Contract tests of the stores, for the in-memory platform directly and over HTTP."""

import asyncio

import pytest

from heatherpier.bench import MemoryPlatform, free_ports, serve_platform
from heatherpier.stores import (
    AwsPlatform,
    ConflictError,
    PlatformAddress,
    PlatformUnavailableError,
    Record,
    ThrottledError,
)

FIRST = Record(key="head", version=1, body=b"\x00one")
SECOND = Record(key="head", version=2, body=b"two")


@pytest.fixture(scope="module")
def event_loop_policy():
    return asyncio.DefaultEventLoopPolicy()


@pytest.fixture
def memory(timers):
    return MemoryPlatform(timers=timers)


@pytest.fixture(params=["memory", "http"])
async def platform(request, memory):
    if request.param == "memory":
        yield memory
        return
    (port,) = free_ports(1)
    runner = await serve_platform(memory, host="127.0.0.1", port=port)
    url = f"http://127.0.0.1:{port}"
    address = PlatformAddress(
        table_url=url,
        object_url=url,
        table="heatherpier",
        bucket="heatherpier",
        region="local",
        access_key="key",
        secret_key="secret",
    )
    async with AwsPlatform(address) as client:
        yield client
    await runner.cleanup()


async def test_missing_record_is_none(platform):
    assert await platform.get("head") is None


async def test_get_returns_the_record_that_was_put(platform):
    await platform.put(FIRST)
    assert await platform.get("head") == FIRST


async def test_put_of_the_next_version_replaces_the_record(platform):
    await platform.put(FIRST)
    await platform.put(SECOND)
    assert await platform.get("head") == SECOND


@pytest.mark.parametrize("stored", [(), (FIRST, SECOND)])
async def test_put_of_an_unexpected_version_conflicts(platform, stored):
    for record in stored:
        await platform.put(record)
    with pytest.raises(ConflictError):
        await platform.put(SECOND)


async def test_put_whose_answer_is_lost_raises_unavailable_and_takes_effect(
    platform, memory
):
    memory.faults.lose_answers = 1
    with pytest.raises(PlatformUnavailableError):
        await platform.put(FIRST)
    assert await platform.get("head") == FIRST


async def test_get_from_a_platform_that_is_down_raises_unavailable(platform, memory):
    memory.faults.down = True
    with pytest.raises(PlatformUnavailableError):
        await platform.get("head")


async def test_throttled_put_changes_nothing(platform, memory):
    memory.faults.throttled = True
    with pytest.raises(ThrottledError):
        await platform.put(FIRST)
    assert memory.records == {}


async def test_get_object_returns_the_blob_that_was_put(platform):
    await platform.put_object("sections/ab", b"\xffbody")
    assert await platform.get_object("sections/ab") == b"\xffbody"


async def test_missing_object_is_none(platform):
    assert await platform.get_object("sections/ab") is None
