"""Groups in which the primary and one replica are no majority."""

import pytest

from heatherpier.bench import _cluster, start_memory_group
from heatherpier.groups import LogPosition
from heatherpier.reads import _attempt, _knowledge
from heatherpier.requests import FinalError

from .conftest import Field

PLACES = ("north-a", "central-a", "south-a", "north-b", "south-b")
SEEN = [(1,)]
READ = "SELECT v FROM t WHERE v = 1"
WRITE = "INSERT INTO t VALUES (1)"


@pytest.fixture
async def five(timers, monkeypatch):
    """Returns a group of five with a table ``t`` whose one row, 0, is everywhere."""
    monkeypatch.setattr(_cluster, "DATA_CENTRES", PLACES)
    built = Field(start_memory_group(timers), timers)
    setup = built.desk("setup")
    await setup.group.refresh()
    await setup.run("CREATE TABLE t (v INT)")
    await setup.run("INSERT INTO t VALUES (0)")
    await timers.sleep(1)
    yield built
    await built.memory.close()


def switch_off(off, monkeypatch):
    if off:
        for module in (_attempt, _knowledge):
            monkeypatch.setattr(module, "PAIR", len(PLACES))


both = pytest.mark.parametrize("off", [False, True], ids=["on", "off"])


@both
async def test_entry_that_two_of_five_hold_is_not_shown(five, monkeypatch, off):
    primary, near, *others = five.memory.instances
    desk = five.desk("proxy-1", place=1)
    await desk.group.refresh()
    for other in others:
        other.faults.replication_stopped = True
    await five.timers.sleep(1)
    primary.commit_alone(WRITE)
    await five.timers.sleep(1)
    switch_off(off, monkeypatch)
    try:
        answer = await desk.read(READ, min_position=LogPosition(1, 3), within_s=1)
        rows = list(answer.result.rows)
    except FinalError:
        rows = []
    assert (rows == SEEN) is off


@both
async def test_age_told_by_a_cut_off_minority_is_not_believed(five, monkeypatch, off):
    old, near, *rest = five.memory.instances
    for other in rest:
        for cut_off in (old, near):
            five.memory.network.cut(cut_off.name, other.name)
    await five.change_primary(2, voters=[2, 3, 4])
    writer = five.desk("proxy-2", place=2)
    await writer.group.refresh()
    await writer.run(WRITE)
    await five.timers.sleep(2)
    desk = five.desk("proxy-1", place=1)
    await desk.group.refresh()
    switch_off(off, monkeypatch)
    answer = await desk.read(READ, max_age_ms=1000, within_s=4)
    assert (list(answer.result.rows) == SEEN) is not off
