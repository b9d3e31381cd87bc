"""Sessions whose database moves between groups, or whose group has another log."""

import contextlib
import dataclasses

import pytest

from heatherpier.bench._cluster import start_memory_group
from heatherpier.groups import Group
from heatherpier.reads.tests.conftest import DATABASE
from heatherpier.requests import FinalError

OTHER = "assist-core-2"
READ = "SELECT v FROM t WHERE v = 1"
WRITE = "INSERT INTO t VALUES (1)"


@pytest.fixture
async def other_group(cluster, timers):
    """Returns a group of another name, whose log is shorter than that of the first."""
    memory = start_memory_group(timers)
    spec = dataclasses.replace(memory.view("proxy-1").spec, name=OTHER)
    group = Group(spec, connector=memory.network.connector("proxy-1"), timers=timers)
    await group.refresh()
    yield group
    group.close()
    await memory.close()


# Guards against a minimum position of one group that is used in another one.
async def test_a_session_sees_its_write_after_its_database_moved_away_and_back(
    cluster, other_group
):
    client = cluster.client("proxy-1", location=1)
    await client.group.refresh()
    groups = client.session._groups
    cluster.memory.instances[1].faults.lag_ms = 3000
    await client.run(WRITE)
    groups[DATABASE] = other_group
    await client.run("CREATE TABLE note (v INT)")
    groups[DATABASE] = client.group
    assert await client.run(READ) == [(1,)]
    groups[DATABASE] = other_group
    assert await client.run("SELECT v FROM note") == []


@pytest.fixture
async def replaced(cluster, timers):
    """Returns a session with a position of term 4 whose group has a log of term 1 now."""
    client = cluster.client("proxy-1", location=1)
    for to in (1, 2, 0):
        await cluster.change_primary(to)
        await timers.sleep(0.5)
    await client.group.refresh()
    await client.run(WRITE)
    memory = start_memory_group(timers)
    client.group = memory.view("proxy-1")
    client.session._groups[DATABASE] = client.group
    client.memory = memory
    await client.group.refresh()
    yield client
    await memory.close()


# Guards against reads that wait for a position of a log that no longer exists.
async def test_a_session_is_served_after_its_group_came_back_with_another_log(
    replaced, timers
):
    began = timers.now()
    await replaced.run("CREATE TABLE t (v INT)")
    await replaced.run(WRITE)
    assert await replaced.run(READ) == [(1,)]
    for sql in ("BEGIN", WRITE, "COMMIT"):
        await replaced.run(sql)
    assert await replaced.run(READ) == [(1,), (1,)]
    assert timers.now() - began < 2.0


# Guards against an isolated primary of an earlier term that is taken for one of another
# log.
@pytest.mark.parametrize("confirms", [True, False])
async def test_a_primary_of_an_earlier_term_needs_a_majority(
    replaced, monkeypatch, confirms
):
    await replaced.run("CREATE TABLE t (v INT)")
    primary, *others = replaced.memory.instances
    for item in others:
        replaced.memory.network.cut(primary.name, item.name)
        replaced.memory.network.cut("proxy-1", item.name)
    if not confirms:

        async def succeed(*args, **kwargs):
            return None

        monkeypatch.setattr(Group, "confirm_primary", succeed)
        monkeypatch.setattr(Group, "acknowledge", succeed)
    for sql in ("SELECT v FROM t", "BEGIN"):
        with pytest.raises(FinalError) if confirms else contextlib.nullcontext():
            await replaced.run(sql, deadline_ms="1500")


# Guards against an old primary that is read from, since it leads an earlier term.
async def test_an_old_primary_does_not_serve_a_session_of_a_later_term(cluster):
    client = cluster.client("proxy-1", location=0)
    await client.group.refresh()
    old, new, third = cluster.memory.instances
    for other in (new, third):
        cluster.memory.network.cut(old.name, other.name)
    writer = cluster.client("proxy-2", location=1)
    await cluster.change_primary(1, voters=[1, 2])
    await writer.group.refresh()
    await writer.run(WRITE)
    token = await writer.token()
    assert await client.run(READ, token=token) == [(1,)]
    for item in (new, third):
        cluster.memory.network.cut("proxy-1", item.name)
    with pytest.raises(FinalError):
        await client.run(READ, deadline_ms="1500")
