"""Reads in groups of five, where the primary and one replica are not a majority.

Each test runs with the check of larger groups, and once with the check disabled, in
which case the wrong rows must be returned.
"""

import pytest

from heatherpier.bench import _cluster, start_memory_group
from heatherpier.positions import LogPosition
from heatherpier.reads import _attempt, _knowledge
from heatherpier.requests import FinalError

from .conftest import Cluster

FIVE_DATA_CENTRES = ("north-a", "central-a", "south-a", "north-b", "south-b")
WRITTEN = [(1,)]
READ = "SELECT v FROM t WHERE v = 1"
WRITE = "INSERT INTO t VALUES (1)"


@pytest.fixture
async def five(timers, monkeypatch):
    """Returns a group of five with a table ``t`` whose only row, 0, is on all."""
    monkeypatch.setattr(_cluster, "DATA_CENTRES", FIVE_DATA_CENTRES)
    built = Cluster(start_memory_group(timers), timers)
    setup = built.client("setup")
    await setup.group.refresh()
    await setup.run("CREATE TABLE t (v INT)")
    await setup.run("INSERT INTO t VALUES (0)")
    await timers.sleep(1)
    yield built
    await built.memory.close()


def disable_check(disabled, monkeypatch):
    """Makes a primary and one replica count as a majority of five."""
    if disabled:
        for module in (_attempt, _knowledge):
            monkeypatch.setattr(module, "PRIMARY_AND_REPLICA", len(FIVE_DATA_CENTRES))


with_and_without_check = pytest.mark.parametrize(
    "disabled", [False, True], ids=["enabled", "disabled"]
)


@with_and_without_check
async def test_entry_held_by_two_of_five_is_not_returned(five, monkeypatch, disabled):
    primary, near, *others = five.memory.instances
    client = five.client("proxy-1", location=1)
    await client.group.refresh()
    for other in others:
        other.faults.replication_stopped = True
    await five.timers.sleep(1)
    primary.commit_alone(WRITE)
    await five.timers.sleep(1)
    disable_check(disabled, monkeypatch)
    try:
        answer = await client.read(READ, min_position=LogPosition(1, 3), within_s=1)
        rows = list(answer.result.rows)
    except FinalError:
        rows = []
    assert (rows == WRITTEN) is disabled


@with_and_without_check
async def test_age_reported_by_an_isolated_minority_is_not_trusted(
    five, monkeypatch, disabled
):
    old, near, *rest = five.memory.instances
    for other in rest:
        for isolated in (old, near):
            five.memory.network.cut(isolated.name, other.name)
    await five.change_primary(2, voters=[2, 3, 4])
    writer = five.client("proxy-2", location=2)
    await writer.group.refresh()
    await writer.run(WRITE)
    await five.timers.sleep(2)
    client = five.client("proxy-1", location=1)
    await client.group.refresh()
    disable_check(disabled, monkeypatch)
    answer = await client.read(READ, max_age_ms=1000, within_s=4)
    assert (list(answer.result.rows) == WRITTEN) is not disabled
