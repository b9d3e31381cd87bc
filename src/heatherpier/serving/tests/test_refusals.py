"""Refusals under load while no instance can serve: they come before the deadline."""

import asyncio
import dataclasses

import pytest

from heatherpier.bench import ask
from heatherpier.bench._simulated_deployment import OBJECTIVE_S, STATEMENT_TIMEOUT_S
from heatherpier.leases import LEASE_S, NoLease
from heatherpier.statements import Code, Done

# A statement waits for at most this long if no change of primary is in progress.
MAX_NO_PRIMARY_WAIT_S = OBJECTIVE_S / 4
# A statement waits for less than this if it can still be served, but no instance could
# be attempted yet. Its caller has time left to retry through another proxy.
MAX_UNATTEMPTED_WAIT_S = STATEMENT_TIMEOUT_S / 2
CALLERS = 20


@pytest.fixture
def group(deployment):
    return deployment.groups["claims"]


async def ask_many(deployment, timers, database, text):
    """Sends a statement from many callers; returns the answers and the longest wait."""
    began = timers.now()
    sessions = [deployment.open(database) for _ in range(CALLERS)]
    replies = await asyncio.gather(*(ask(item, text) for item in sessions))
    return replies, timers.now() - began


def assert_refused(replies):
    for reply in replies:
        assert reply.outcome.code is Code.OVERLOADED
        assert reply.outcome.retry_after_ms


async def wait_until_change_begins(deployment, timers):
    while True:
        lease = deployment.engines["proxy-0"].context.leases.lease("claims")
        if isinstance(lease, NoLease) and lease.changing:
            return
        await ask(deployment.open("claims-exact", proxy="proxy-1"), "WRITE claim")
        await timers.sleep(0.01)


@pytest.mark.parametrize("database", ["claims-aged", "claims-own"])
async def test_reads_without_a_recent_position_sample_are_refused_early(
    deployment, timers, database
):
    deployment.isolate("proxy-0")
    await timers.sleep(2 * LEASE_S)
    replies, waited_s = await ask_many(deployment, timers, database, "READ claim")
    assert_refused(replies)
    assert waited_s <= MAX_NO_PRIMARY_WAIT_S


async def test_writes_are_refused_before_their_deadline_while_a_primary_is_replaced(
    deployment, group, timers
):
    group.promote_s = 3.0
    group.instances["claims-0"].running = False
    await wait_until_change_begins(deployment, timers)
    replies, waited_s = await ask_many(
        deployment, timers, "claims-exact", "WRITE claim"
    )
    assert_refused(replies)
    assert waited_s < MAX_UNATTEMPTED_WAIT_S


async def test_reads_are_refused_before_their_deadline_while_a_primary_is_replaced(
    deployment, group, timers
):
    group.promote_s = 9.0
    for instance in group.instances.values():
        instance.lag_s = 30.0
    group.instances["claims-0"].running = False
    await wait_until_change_begins(deployment, timers)
    await timers.sleep(2.0)
    replies, waited_s = await ask_many(deployment, timers, "claims-aged", "READ claim")
    assert_refused(replies)
    assert waited_s < MAX_UNATTEMPTED_WAIT_S


async def test_writes_wait_for_the_end_of_a_planned_change(deployment, group, timers):
    group.promote_s = MAX_UNATTEMPTED_WAIT_S
    leaving = group.instances["claims-0"]
    leaving.record = dataclasses.replace(
        leaving.record,
        instance=dataclasses.replace(leaving.record.instance, leaving=True),
    )
    deployment.register(leaving)
    await wait_until_change_begins(deployment, timers)
    replies, _ = await ask_many(deployment, timers, "claims-exact", "WRITE claim")
    assert all(isinstance(reply.outcome, Done) for reply in replies)


async def test_statements_are_refused_before_their_deadline_by_a_full_instance(
    deployment, group, timers
):
    # The instance still counts connections of proxies that lost power, so it refuses
    # new ones.
    group.instances["claims-0"].full = True
    for pool in deployment.engines["proxy-0"].context.pools.all():
        for conn in pool._idle:
            conn._link.abort()
    replies, waited_s = await ask_many(
        deployment, timers, "claims-exact", "WRITE claim"
    )
    assert_refused(replies)
    assert waited_s < MAX_UNATTEMPTED_WAIT_S
