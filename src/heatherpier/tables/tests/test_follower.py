"""Reading a table and following its changes."""

import asyncio
import random

import pytest

from heatherpier.bench._row_store import MemoryRowStore
from heatherpier.tables import TableCopy, TableFollower


@pytest.fixture
def store(timers):
    return MemoryRowStore(timers=timers)


@pytest.fixture
async def follow(store, timers):
    """Returns a function that starts a follower and returns its copy."""
    tasks = []

    def start(*, min_period_s=0.0):
        copy = TableCopy("fleet", timers=timers)
        follower = TableFollower(
            store=store.client("proxy-0"),
            copy=copy,
            timers=timers,
            rng=random.Random(1),
            wait_s=0.5,
            min_period_s=min_period_s,
            from_beginning=True,
        )
        tasks.append(asyncio.create_task(follower.run()))
        return copy

    yield start
    for task in tasks:
        task.cancel()


async def test_a_table_with_its_whole_history_is_known_from_its_creation(
    store, follow, timers
):
    store.write("fleet", "a", b"1")
    store.write("fleet", "a", None)
    copy = follow()
    await timers.sleep(0.1)
    assert copy.followed_since == float("-inf")
    assert copy.rows() == ()


async def test_a_table_without_its_history_is_read_whole(store, follow, timers):
    store.write("fleet", "a", b"1")
    store.drop_history()
    copy = follow()
    await timers.sleep(0.1)
    assert copy.followed_since == pytest.approx(timers.elapsed(), abs=0.1)
    assert copy.get("a").body == b"1"


async def test_history_lost_while_following_causes_a_whole_read(store, follow, timers):
    copy = follow()
    await timers.sleep(5.0)
    store.write("other", "b", b"1")
    store.drop_history()
    await timers.sleep(1.0)
    assert copy.followed_since > 4.0


async def test_changes_are_followed_over_an_outage(store, follow, timers):
    copy = follow()
    await timers.sleep(0.1)
    store.faults.unresponsive_to.add("proxy-0")
    await timers.sleep(5.0)
    store.write("fleet", "a", b"2")
    store.faults.unresponsive_to.clear()
    await timers.sleep(3.0)
    assert copy.get("a").body == b"2"
    assert copy.followed_since == float("-inf")


async def test_changes_in_quick_succession_are_read_together(store, follow, timers):
    copy = follow(min_period_s=0.4)
    await timers.sleep(0.1)
    before = store.calls
    for number in range(40):
        store.write("fleet", f"member/{number}", b"1")
        await timers.sleep(0.01)
    await timers.sleep(0.5)
    assert len(copy.rows()) == 40
    assert store.calls - before <= 4
