"""Writes and transactions with lost answers and busy, down or former primaries."""

import asyncio

import pytest

from heatherpier.bench import ask
from heatherpier.bench._simulated_deployment import query
from heatherpier.serving import IDLE_TOO_LONG, STOPPING
from heatherpier.statements import Code, Done, SessionState


@pytest.fixture
def primary(deployment):
    return deployment.groups["claims"].instances["claims-0"]


def runs(deployment, text):
    return [
        run
        for item in deployment.groups["claims"].instances.values()
        for run in item.executed
        if run.text == text
    ]


async def test_a_write_runs_once_on_the_primary(deployment):
    reply = await ask(deployment.open("claims-own"), "WRITE claim")
    assert isinstance(reply.outcome, Done)
    assert len(runs(deployment, "WRITE claim")) == 1


async def test_a_write_whose_answer_is_lost_is_not_retried(deployment, primary):
    primary.lose_answers = 1
    reply = await ask(deployment.open("claims-exact"), "WRITE claim")
    assert reply.outcome.code is Code.OUTCOME_UNKNOWN
    assert len(runs(deployment, "WRITE claim")) == 1


async def test_a_write_that_the_primary_rejects_is_retried(deployment, primary):
    primary.busy = 3
    reply = await ask(deployment.open("claims-exact"), "WRITE claim")
    assert isinstance(reply.outcome, Done)
    assert len(runs(deployment, "WRITE claim")) == 1


async def test_a_write_to_an_unresponsive_primary_is_answered_by_its_deadline(
    deployment, primary, timers
):
    primary.unresponsive = True
    began = timers.now()
    reply = await ask(deployment.open("claims-exact"), "WRITE claim")
    assert reply.outcome.code in (Code.OUTCOME_UNKNOWN, Code.OVERLOADED)
    assert timers.now() - began <= 0.85


async def test_a_statement_is_sent_only_after_its_transaction_is_open(
    deployment, primary
):
    # A statement pipelined behind a refused opening would run outside of the
    # transaction.
    primary.leads = False
    session = deployment.open("claims-exact")
    await ask(session, "BEGIN")
    reply = await ask(session, "READ claim")
    assert reply.state is SessionState.IDLE
    assert not [run for run in runs(deployment, "READ claim") if not run.in_transaction]


async def test_all_statements_of_a_transaction_share_one_connection(deployment):
    session = deployment.open("claims-exact")
    await ask(session, "BEGIN")
    for text in ("READ a", "WRITE b", "READ c"):
        assert isinstance((await ask(session, text)).outcome, Done)
    assert isinstance((await ask(session, "COMMIT")).outcome, Done)
    found = [
        runs(deployment, text)[0] for text in ("READ a", "WRITE b", "READ c", "COMMIT")
    ]
    assert len({run.connection for run in found}) == 1
    assert all(run.in_transaction for run in found)


async def test_a_transaction_whose_statement_is_lost_is_aborted(deployment, primary):
    session = deployment.open("claims-exact")
    await ask(session, "BEGIN")
    await ask(session, "WRITE a")
    primary.lose_answers = 1
    reply = await ask(session, "WRITE b")
    assert reply.outcome.code is Code.ABORTED
    assert primary.log == []


async def test_a_commit_whose_answer_is_lost_has_an_unknown_outcome(
    deployment, primary
):
    session = deployment.open("claims-exact")
    await ask(session, "BEGIN")
    await ask(session, "WRITE a")
    primary.lose_answers = 1
    reply = await ask(session, "COMMIT")
    assert reply.outcome.code is Code.OUTCOME_UNKNOWN
    assert len(primary.log) == 1


async def test_a_commit_on_a_closed_connection_was_not_sent(deployment, primary):
    session = deployment.open("claims-exact")
    await ask(session, "BEGIN")
    await ask(session, "WRITE a")
    primary.running = False
    reply = await ask(session, "COMMIT")
    assert reply.outcome.code is Code.ABORTED
    assert primary.log == []


async def test_a_rolled_back_transaction_leaves_nothing_on_its_connection(
    deployment, primary, timers
):
    session = deployment.open("claims-exact")
    await ask(session, "BEGIN")
    await ask(session, "WRITE a")
    await ask(session, "ROLLBACK")
    await timers.sleep(0.1)
    await ask(deployment.open("claims-exact"), "READ b")
    assert not runs(deployment, "READ b")[0].in_transaction
    assert primary.log == []


async def test_the_rollback_of_an_idle_transaction_is_reported(deployment, primary):
    session = deployment.open("claims-exact")
    await ask(session, "BEGIN")
    await ask(session, "WRITE a")
    session.end_transaction(reason=IDLE_TOO_LONG)
    reply = await ask(session, "WRITE b")
    assert reply.outcome.code is Code.ABORTED
    assert isinstance((await ask(session, "READ c")).outcome, Done)
    assert primary.log == []


async def test_a_transaction_ended_by_a_stop_is_rolled_back_before_its_connection_is_used(
    deployment, primary, timers
):
    # Guards against an answer "aborted" while the transaction is still open.
    session = deployment.open("claims-exact")
    await ask(session, "BEGIN")
    await ask(session, "WRITE a")
    session.end_transaction(reason=STOPPING)
    session.end_transaction(reason=IDLE_TOO_LONG)
    reply = await ask(session, "COMMIT")
    assert reply.outcome.code is Code.ABORTED
    assert STOPPING in reply.outcome.reason
    assert isinstance((await ask(session, "READ b")).outcome, Done)
    assert not runs(deployment, "READ b")[0].in_transaction
    assert primary.log == []


@pytest.mark.parametrize(
    ("opening", "text", "code"),
    [
        ((), "READ a", Code.TIMEOUT),
        ((), "WRITE a", Code.OUTCOME_UNKNOWN),
        (("BEGIN",), "READ a", Code.ABORTED),
        (("BEGIN", "WRITE a"), "WRITE b", Code.ABORTED),
        (("BEGIN", "WRITE a"), "COMMIT", Code.OUTCOME_UNKNOWN),
    ],
    ids=str,
)
async def test_the_answer_to_a_cancelled_statement_is_true(
    deployment, primary, timers, opening, text, code
):
    # Guards against a promise that nothing is kept of a statement that may have run.
    session = deployment.open("claims-exact")
    for earlier in opening:
        await ask(session, earlier)
    cut = query(text)
    running = asyncio.create_task(session.execute(cut))
    await timers.sleep(0.003)
    running.cancel()
    await asyncio.wait({running})
    assert running.cancelled()
    reply = session.interrupted_reply(cut)
    session.close()
    assert reply.outcome.code is code
    assert reply.state is SessionState.IDLE
    await timers.sleep(1.0)
    if reply.outcome.not_run:
        assert primary.log == []


async def test_a_removed_database_is_unknown_after_the_open_transaction(
    deployment, timers
):
    session = deployment.open("claims-exact")
    await ask(session, "BEGIN")
    await ask(session, "WRITE a")
    routes = deployment.routes()
    del routes["claims-exact"]
    deployment.configure(routes)
    await timers.sleep(0.2)
    assert isinstance((await ask(session, "COMMIT")).outcome, Done)
    reply = await ask(session, "READ a")
    assert reply.outcome.code is Code.UNKNOWN_DATABASE


async def test_an_unknown_database_is_refused_as_overloaded_by_an_old_configuration(
    deployment, timers
):
    for name in deployment.names:
        deployment.isolate(name, instances=False)
    await timers.sleep(6.0)
    failure = deployment.engines["proxy-0"].open_session("claims-new")
    assert failure.code is Code.OVERLOADED
    assert failure.retry_after_ms > 0


async def test_a_write_that_was_not_sent_is_reported_as_not_run(
    deployment, primary, timers
):
    for pool in deployment.engines["proxy-0"].context.pools.all():
        for conn in pool._idle:
            conn._link.abort()
    primary.unresponsive = True
    reply = await ask(deployment.open("claims-exact"), "WRITE claim")
    assert reply.outcome.code is Code.OVERLOADED
    assert reply.outcome.retry_after_ms > 0
    await timers.sleep(3.0)
    assert primary.executed == []
