"""Reads with replicas that lag, do not answer, are busy or are down."""

import asyncio

import pytest

from heatherpier.bench import ask
from heatherpier.bench._simulated_link import SimulatedLink
from heatherpier.statements import Code, Done, Failed


def instances_that_ran(deployment, text):
    return [
        item.name
        for item in deployment.groups["claims"].instances.values()
        for run in item.executed
        if run.text == text
    ]


async def observe_primary_position(deployment, *, proxy="proxy-0"):
    """Makes the proxy record a position sample of the primary."""
    reply = await ask(deployment.open("claims-exact", proxy=proxy), "READ sample")
    assert isinstance(reply.outcome, Done)


async def test_a_route_without_stale_reads_uses_the_primary(deployment):
    await observe_primary_position(deployment, proxy="proxy-1")
    assert instances_that_ran(deployment, "READ sample") == ["claims-0"]


async def test_an_aged_read_runs_on_the_replica_of_the_same_data_centre(deployment):
    await observe_primary_position(deployment, proxy="proxy-1")
    reply = await ask(deployment.open("claims-aged", proxy="proxy-1"), "READ near")
    assert isinstance(reply.outcome, Done)
    assert instances_that_ran(deployment, "READ near") == ["claims-1"]


async def test_a_session_reads_its_own_commit_although_all_replicas_lag(deployment):
    for instance in deployment.groups["claims"].instances.values():
        instance.lag_s = 30.0
    session = deployment.open("claims-own", proxy="proxy-1")
    written = await ask(session, "WRITE claim")
    read = await ask(session, "READ claim")
    assert read.position >= written.position


async def test_an_aged_read_sees_all_commits_older_than_its_maximum_age(
    deployment, timers
):
    for instance in deployment.groups["claims"].instances.values():
        instance.lag_s = 5.0
    writer = deployment.open("claims-exact")
    for _ in range(40):
        written = await ask(writer, "WRITE claim")
        acknowledged_at = timers.now()
        while timers.now() < acknowledged_at + 1.5:
            await timers.sleep(0.1)
            await ask(writer, "READ sample")
        read = await ask(deployment.open("claims-aged"), "READ claim")
        assert read.position >= written.position


async def test_a_replica_gets_reads_again_after_it_has_caught_up(deployment, timers):
    replica = deployment.groups["claims"].instances["claims-1"]
    replica.lag_s = 3.0
    writer = deployment.open("claims-exact", proxy="proxy-1")
    reader = deployment.open("claims-aged", proxy="proxy-1")
    for _ in range(20):
        await ask(writer, "WRITE claim")
        await ask(reader, "READ claim")
        await timers.sleep(0.1)
    replica.lag_s = 0.0
    await timers.sleep(4.0)
    await ask(writer, "READ sample")
    before = len(replica.executed)
    for _ in range(10):
        await ask(writer, "READ sample")
        await ask(reader, "READ again")
        await timers.sleep(0.2)
    assert len(replica.executed) > before


async def test_an_unresponsive_replica_delays_a_read_by_the_hedge_delay_only(
    deployment, timers
):
    await observe_primary_position(deployment, proxy="proxy-1")
    deployment.groups["claims"].instances["claims-1"].unresponsive = True
    began = timers.now()
    reply = await ask(deployment.open("claims-aged", proxy="proxy-1"), "READ claim")
    assert isinstance(reply.outcome, Done)
    assert timers.now() - began < 0.4


async def test_a_read_is_retried_after_busy_answers(deployment):
    await observe_primary_position(deployment)
    for instance in deployment.groups["claims"].instances.values():
        instance.busy = 1
    reply = await ask(deployment.open("claims-aged"), "READ claim")
    assert isinstance(reply.outcome, Done)


async def test_a_read_whose_answer_is_lost_is_retried(deployment):
    await observe_primary_position(deployment)
    for instance in deployment.groups["claims"].instances.values():
        instance.lose_answers = 1
    reply = await ask(deployment.open("claims-aged"), "READ claim")
    assert isinstance(reply.outcome, Done)


async def test_aged_reads_are_served_while_the_primary_is_down(deployment, timers):
    await observe_primary_position(deployment)
    deployment.groups["claims"].instances["claims-0"].running = False
    await timers.sleep(0.3)
    reply = await ask(deployment.open("claims-aged"), "READ claim")
    assert isinstance(reply.outcome, Done)


@pytest.mark.parametrize("database", ["claims-aged", "claims-own", "claims-exact"])
async def test_a_read_that_no_instance_can_serve_is_refused_with_a_retry_delay(
    deployment, timers, database
):
    for instance in deployment.groups["claims"].instances.values():
        instance.running = False
    began = timers.now()
    reply = await ask(deployment.open(database), "READ claim")
    assert reply.outcome.code is Code.OVERLOADED
    assert reply.outcome.retry_after_ms > 0
    assert timers.now() - began <= 0.85


async def test_a_malformed_read_is_not_retried(deployment, timers, monkeypatch):
    asked = []

    async def refuse(self, id_, text, min_position):
        asked.append(text)
        return Failed(code=Code.MALFORMED, reason="not a statement")

    monkeypatch.setattr(SimulatedLink, "_forward", refuse)
    for database in ("claims-exact", "claims-aged"):
        asked.clear()
        reply = await ask(deployment.open(database), "READ claim")
        assert reply.outcome.code is Code.MALFORMED
        assert len(asked) == 1


@pytest.mark.parametrize("database", ["claims-exact", "claims-own"])
async def test_a_read_that_may_have_run_is_not_reported_as_not_run(
    deployment, timers, database
):
    # The read runs, but every instance loses the answer, and then all instances go
    # down. The refusal of the later attempts must not say that the read has not run.
    group = deployment.groups["claims"]
    group.promote_s = 9.0
    session = deployment.open(database)
    for instance in group.instances.values():
        instance.lose_answers = 100
    asking = asyncio.create_task(ask(session, "READ claim"))
    await timers.sleep(0.05)
    for instance in group.instances.values():
        instance.running = False
    reply = await asking
    ran = [run for item in group.instances.values() for run in item.executed]
    assert any(run.text == "READ claim" for run in ran)
    assert not reply.outcome.not_run
