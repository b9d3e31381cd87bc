"""Whole proxies order waiters fairly only where organisations are configured."""

import asyncio

from heatherpier.bench import ask
from heatherpier.routing import Organisation
from heatherpier.statements import Done

APPLY_S = 5.0


def pools(deployment):
    engines = deployment.engines.values()
    return [pool for engine in engines for pool in engine.context.pools.all()]


async def test_without_organisations_the_order_is_as_before(deployment):
    # Deployments of before must not change.
    await ask(deployment.open("claims-exact"), "WRITE a")
    assert pools(deployment)
    assert not any(pool.fair for pool in pools(deployment))


async def configure(deployment):
    deployment.configure(
        deployment.routes(),
        organisations=(Organisation(name="north-club"),),
        keys={"key-n": "north-club"},
    )
    await deployment.timers.sleep(APPLY_S)


async def test_with_organisations_waiters_are_in_fair_order(deployment):
    await configure(deployment)
    sessions = [deployment.open("claims-exact", key="key-n") for _ in range(40)]
    replies = await asyncio.gather(*(ask(item, "WRITE a") for item in sessions))
    assert all(isinstance(reply.outcome, Done) for reply in replies)
    assert all(pool.fair for pool in pools(deployment))
    # Uses are told apart by class, so the reserve for short work can see them.
    names = {name for pool in pools(deployment) for name in pool._meter._means_s}
    assert names == {"AnyCommit write"}


async def test_a_statement_that_nobody_waits_for_leaves_the_queue(deployment):
    # Statements may wait until their deadline, and would run although their caller has
    # gone or another instance has answered.
    await configure(deployment)
    session = deployment.open("claims-exact", key="key-n")
    assert isinstance((await ask(session, "WRITE a")).outcome, Done)
    (pool,) = (
        item
        for item in pools(deployment)
        if any(conn.organisation for conn in item._idle)
    )
    now = deployment.timers.now()
    for _ in range(pool.limits.hard_limit):
        await pool.acquire({}, priority=0, deadline=now + 9, organisation="north-club")
    task = asyncio.create_task(ask(session, "WRITE b"))
    await deployment.timers.sleep(0.05)
    assert pool.waiting == 1
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    # The statement may wait at a home, which is told over the network.
    await deployment.timers.sleep(0.05)
    assert not pool.waiting
