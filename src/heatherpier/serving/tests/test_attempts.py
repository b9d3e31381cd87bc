"""Attempts that end before or after their statement is sent."""

import pytest

from heatherpier.leases import Lease
from heatherpier.pooling import Forward, SessionNeeds
from heatherpier.serving._attempts import AnswerLost, Attempts, NotSent, Target
from heatherpier.serving._pending_statement import PendingStatement


@pytest.fixture
def primary(deployment):
    return deployment.groups["claims"].instances["claims-0"]


async def attempt_write(deployment, timers, *, within):
    context = deployment.engines["proxy-0"].context
    lease = context.leases.lease("claims")
    assert isinstance(lease, Lease)
    record = context.registry.get("claims-0")
    statement = PendingStatement(
        call=Forward(id="w-1", text="WRITE claim"),
        needs=SessionNeeds(),
        route=context.routes.route("claims-exact"),
        deadline=timers.now() + within,
        writes=True,
    )
    target = Target(record=record, lease=lease, min_position=None)
    return await Attempts(context).run(target, statement, until=statement.deadline)


async def test_an_attempt_without_a_connection_is_not_sent(deployment, primary, timers):
    context = deployment.engines["proxy-0"].context
    context.pools.drop("claims-0")
    primary.unresponsive = True
    result = await attempt_write(deployment, timers, within=0.3)
    assert isinstance(result, NotSent)
    primary.unresponsive = False
    await timers.sleep(3.0)
    assert primary.executed == []


async def test_a_sent_attempt_without_an_answer_is_lost(deployment, primary, timers):
    assert not isinstance(
        await attempt_write(deployment, timers, within=0.8), AnswerLost
    )
    primary.unresponsive = True
    assert isinstance(await attempt_write(deployment, timers, within=0.3), AnswerLost)
