"""Read-your-writes and monotonic reads over several proxies and changes of primary.

A test marked `with_and_without` checks one guarantee. It runs once as it is, and once
with the mechanism behind the guarantee disabled, which must violate the guarantee.
"""

import dataclasses

import pytest

from heatherpier.bench import _instance as bench_instance
from heatherpier.groups import Group
from heatherpier.positions import LogPosition
from heatherpier.reads import _attempt, _knowledge
from heatherpier.reads._attempt import Attempt
from heatherpier.reads._knowledge import GroupKnowledge
from heatherpier.reads._outcomes import Served
from heatherpier.requests import FinalError
from heatherpier.sessions import SessionPositions

WRITTEN = [(1,)]
READ = "SELECT v FROM t WHERE v = 1"
WRITE = "INSERT INTO t VALUES (1)"


def disable(mechanism, monkeypatch):
    """Disables one mechanism of the guarantees; None disables nothing."""
    match mechanism:
        case "minimum position check":
            for module in (_attempt, _knowledge):
                monkeypatch.setattr(module, "is_fresh", lambda *args: True)
        case "status after the read":
            run = Attempt.run

            async def run_without_position(self, name, **limits):
                outcome = await run(self, name, **limits)
                answer = dataclasses.replace(outcome.answer, position=None)
                return Served(answer)

            monkeypatch.setattr(Attempt, "run", run_without_position)
        case "confirmation" | "acknowledgement":

            async def succeed(*args, **kwargs):
                return None

            monkeypatch.setattr(Group, "confirm_primary", succeed)
            monkeypatch.setattr(Group, "acknowledge", succeed)
        case "durable entries":
            monkeypatch.setattr(GroupKnowledge, "can_be_discarded", lambda *args: False)
        case "named sessions":
            monkeypatch.setattr(
                SessionPositions,
                "min_position",
                lambda self, group: self._token.min_position(group),
            )


def with_and_without(mechanism):
    """Runs a test with the mechanism enabled and disabled."""
    return pytest.mark.parametrize(
        "disabled", [None, mechanism], ids=["enabled", f"{mechanism} disabled"]
    )


async def connect(cluster, peer, *, location):
    client = cluster.client(peer, location=location)
    await client.group.refresh()
    return client


async def read_or_none(client, sql=READ):
    try:
        return await client.run(sql, deadline_ms="1500")
    except FinalError:
        return None


@with_and_without("minimum position check")
async def test_session_sees_its_write_through_another_proxy(
    cluster, monkeypatch, disabled
):
    here = await connect(cluster, "proxy-1", location=0)
    there = await connect(cluster, "proxy-2", location=1)
    cluster.memory.instances[1].faults.lag_ms = 2000
    await here.run(WRITE)
    disable(disabled, monkeypatch)
    rows = await there.run(READ, token=await here.token())
    assert (rows == WRITTEN) is (disabled is None)


@with_and_without("minimum position check")
async def test_session_sees_its_write_after_a_change_of_primary(
    cluster, monkeypatch, disabled
):
    here = await connect(cluster, "proxy-1", location=0)
    there = await connect(cluster, "proxy-2", location=1)
    slow, further = cluster.memory.instances[1:]
    slow.faults.lag_ms = 1000
    await here.run(WRITE)
    cluster.memory.network.crash(cluster.memory.instances[0].name)
    await cluster.change_primary(2, voters=[1, 2])
    disable(disabled, monkeypatch)
    rows = await there.run(READ, token=await here.token())
    assert further.position.term == 2
    assert (rows == WRITTEN) is (disabled is None)


@with_and_without("status after the read")
async def test_read_data_stay_visible_through_another_proxy(
    cluster, monkeypatch, disabled
):
    writer = await connect(cluster, "proxy-1", location=0)
    reader = await connect(cluster, "proxy-2", location=1)
    other = await connect(cluster, "proxy-3", location=2)
    cluster.memory.instances[2].faults.replication_stopped = True
    await cluster.timers.sleep(0.5)
    await writer.run("SELECT 1")
    early = await writer.token()
    await reader.run("SELECT 1", token=early)
    await writer.run(WRITE)
    await cluster.timers.sleep(0.2)
    disable(disabled, monkeypatch)
    assert await reader.run(READ) == WRITTEN
    rows = await other.run(READ, token=await reader.token())
    assert (rows == WRITTEN) is (disabled is None)


@with_and_without("confirmation")
async def test_session_without_minimum_position_is_not_served_by_an_old_primary(
    cluster, monkeypatch, disabled
):
    client = await connect(cluster, "proxy-1", location=0)
    old, new, third = cluster.memory.instances
    for other in (new, third):
        cluster.memory.network.cut(old.name, other.name)
    await cluster.change_primary(1, voters=[1, 2])
    writer = await connect(cluster, "proxy-2", location=1)
    await writer.run(WRITE)
    disable(disabled, monkeypatch)
    rows = await read_or_none(client)
    assert (rows == WRITTEN) is (disabled is None)


@with_and_without("acknowledgement")
async def test_entry_that_only_the_primary_holds_is_not_returned(
    cluster, monkeypatch, disabled
):
    client = await connect(cluster, "proxy-1", location=0)
    await client.read(min_position=LogPosition(1, 3))
    primary, *replicas = cluster.memory.instances
    for replica in replicas:
        cluster.memory.network.cut(primary.name, replica.name)
        cluster.memory.network.cut("proxy-1", replica.name)
    primary.commit_alone(WRITE)
    disable(disabled, monkeypatch)
    rows = await read_or_none(client)
    assert (rows != WRITTEN) is (disabled is None)


@with_and_without("durable entries")
async def test_entry_of_an_earlier_term_is_not_returned_before_it_is_durable(
    cluster, monkeypatch, disabled
):
    """A replica holds an entry that a further change of primary would discard.

    The first instance commits the entry alone and crashes, and the third becomes
    primary without it. The third crashes, and the first returns as primary and sends
    the entry to the second before any entry of its own new term. If the first failed
    now, the third could be elected, and the entry would be lost.
    """
    first, second, third = cluster.memory.instances
    network = cluster.memory.network
    client = await connect(cluster, "proxy-2", location=1)
    await client.run(
        "SELECT 1", token=await (await connect(cluster, "p", location=0)).token()
    )
    await client.run("SELECT 1")
    second.faults.replication_stopped = third.faults.replication_stopped = True
    await cluster.timers.sleep(1)
    before = second.position
    first.commit_alone(WRITE)
    network.crash(first.name)
    await cluster.change_primary(2, voters=[1, 2])
    network.crash(third.name)
    network.restart(first.name)
    await cluster.change_primary(0, voters=[0, 1])
    network.cut("proxy-2", first.name)
    monkeypatch.setattr(bench_instance, "MAX_FETCH_ENTRIES", 1)
    second.faults.replication_stopped = False
    while second.position == before:
        await cluster.timers.sleep(0.001)
    second.faults.replication_stopped = True
    assert second.position == LogPosition(1, before.index + 1)
    disable(disabled, monkeypatch)
    rows = await read_or_none(client)
    assert (rows != WRITTEN) is (disabled is None)


@with_and_without("named sessions")
async def test_named_session_without_token_sees_its_write_elsewhere(
    cluster, monkeypatch, disabled
):
    here = await connect(cluster, "proxy-1", location=1)
    there = await connect(cluster, "proxy-2", location=2)
    disable(disabled, monkeypatch)
    await here.run("SELECT 1", session="desk-7")
    cluster.memory.instances[1].faults.lag_ms = 2000
    await there.run(WRITE, session="desk-7")
    rows = await here.run(READ, session="desk-7")
    assert (rows == WRITTEN) is (disabled is None)


async def test_connection_that_changes_session_drops_the_old_minimum_position(cluster):
    client = await connect(cluster, "proxy-1", location=1)
    other = await connect(cluster, "proxy-2", location=0)
    await client.run("SELECT 1", session="a", token=await other.token())
    cluster.memory.instances[1].faults.lag_ms = 2000
    await other.run(WRITE, session="b")
    assert await client.run(READ, session="b") == WRITTEN


async def test_one_reachable_replica_serves_reads_that_it_can_prove(cluster):
    client = await connect(cluster, "proxy-2", location=1)
    await client.read(min_position=LogPosition(1, 3))
    for name in (0, 2):
        cluster.memory.network.cut("proxy-2", cluster.memory.instances[name].name)
    answer = await client.read(min_position=LogPosition(1, 3))
    assert answer.instance == cluster.memory.instances[1].name


async def test_isolated_primary_fails_unprovable_reads_before_the_deadline(cluster):
    client = await connect(cluster, "proxy-1", location=0)
    primary, *replicas = cluster.memory.instances
    for replica in replicas:
        cluster.memory.network.crash(replica.name)
    began = cluster.timers.now()
    with pytest.raises(FinalError, match="not run"):
        await client.read()
    assert cluster.timers.now() - began < 2


async def test_age_from_an_isolated_primary_is_not_trusted_after_its_demotion(
    cluster, monkeypatch
):
    """An isolated primary reports age 0 and is demoted while it runs a read.

    After the read it is a replica, but the age from before the read is that of a
    primary which had missed the writes of the next term.
    """
    first, second, third = cluster.memory.instances
    for name in (second.name, third.name):
        cluster.memory.network.cut(first.name, name)
    await cluster.change_primary(1, voters=[1, 2])
    await cluster.timers.sleep(8)
    client = await connect(cluster, "proxy-1", location=0)
    for name in (second.name, third.name):
        cluster.memory.network.cut("proxy-1", name)
    second.commit_alone(WRITE)
    await cluster.timers.sleep(3)
    read = first.engine.read

    def demote_and_read(sql, **options):
        if sql == READ:
            first.follow(second.adopted_term, second.name)
            first.log.append(second.log[len(first.log)])
        return read(sql, **options)

    monkeypatch.setattr(first.engine, "read", demote_and_read)
    with pytest.raises(FinalError):
        await client.read(READ, max_age_ms=2000, within_s=1.0)
