"""Session values and prepared statements on shared connections."""

import asyncio
import itertools

import pytest

from heatherpier.bench import SimulatedDeployment, ask
from heatherpier.statements import (
    Access,
    Code,
    Deallocate,
    Done,
    Execute,
    Prepare,
    Query,
    SetValue,
)

ids = itertools.count(1)


async def run(session, statement):
    return await session.execute(
        Query(id=f"s-{next(ids)}", text="as sent", statement=statement)
    )


def runs(deployment, text):
    return [
        run
        for item in deployment.groups["claims"].instances.values()
        for run in item.executed
        if run.text == text
    ]


async def test_statements_run_with_the_values_of_their_own_session(deployment):
    async def use_session(number):
        session = deployment.open("claims-exact")
        await run(session, SetValue(name="tenant", value=f"t{number}"))
        for turn in range(5):
            await ask(session, f"READ {number}-{turn}")

    await asyncio.gather(*(use_session(number) for number in range(20)))
    for number in range(20):
        for turn in range(5):
            [found] = runs(deployment, f"READ {number}-{turn}")
            assert found.values == {"tenant": f"t{number}"}


async def test_values_of_an_earlier_session_are_cleared(deployment):
    first = deployment.open("claims-exact")
    await run(first, SetValue(name="tenant", value="t1"))
    await ask(first, "READ a")
    await ask(deployment.open("claims-exact"), "READ b")
    assert runs(deployment, "READ b")[0].values == {}


async def test_sessions_may_prepare_different_statements_under_one_name(deployment):
    first, second = deployment.open("claims-exact"), deployment.open("claims-exact")
    await run(first, Prepare(name="s1", access=Access.READ, shape="shape-a"))
    await run(second, Prepare(name="s1", access=Access.WRITE, shape="shape-b"))
    await run(first, Execute(name="s1", arguments="1"))
    await run(second, Execute(name="s1", arguments="2"))
    assert len(runs(deployment, "READ shape-a 1")) == 1
    assert len(runs(deployment, "WRITE shape-b 2")) == 1


async def test_a_prepared_statement_that_the_instance_lost_is_prepared_again(
    deployment,
):
    session = deployment.open("claims-exact")
    await run(session, Prepare(name="s1", access=Access.READ, shape="shape-a"))
    await run(session, Execute(name="s1", arguments="1"))
    primary = deployment.groups["claims"].instances["claims-0"]
    pool = deployment.engines["proxy-0"].context.pools.of(primary.record)
    for conn in pool._idle:
        conn._link._prepared.clear()
    reply = await run(session, Execute(name="s1", arguments="2"))
    assert isinstance(reply.outcome, Done)


@pytest.mark.parametrize(
    "statement", [Execute(name="s1", arguments=""), Deallocate(name="s1")]
)
async def test_a_name_that_was_not_prepared_is_refused(deployment, statement):
    reply = await run(deployment.open("claims-exact"), statement)
    assert reply.outcome.code is Code.UNKNOWN_STATEMENT


async def test_a_deallocated_name_is_unknown(deployment):
    session = deployment.open("claims-exact")
    await run(session, Prepare(name="s1", access=Access.READ, shape="shape-a"))
    await run(session, Deallocate(name="s1"))
    reply = await run(session, Execute(name="s1", arguments=""))
    assert reply.outcome.code is Code.UNKNOWN_STATEMENT


# Guards against session state that stays on the service that a route has left.
async def test_values_and_prepared_statements_follow_a_moved_route(timers):
    async with SimulatedDeployment(
        timers=timers, services=("claims", "archive")
    ) as deployment:
        sessions = [deployment.open("claims-exact") for _ in range(2)]
        for number, session in enumerate(sessions):
            await run(session, SetValue(name="tenant", value=f"t{number}"))
            shape = f"shape-{number}"
            await run(session, Prepare(name="p", access=Access.READ, shape=shape))
        for turn, service in enumerate(("claims", "archive", "claims", "archive")):
            deployment.configure(
                deployment.routes(), served_by={"claims-exact": service}
            )
            await timers.sleep(0.3)
            for number, session in enumerate(sessions):
                reply = await run(session, Execute(name="p", arguments=f"{turn}"))
                assert isinstance(reply.outcome, Done)
                primary = deployment.groups[service].primary()
                assert primary.executed[-1].text == f"READ shape-{number} {turn}"
                assert primary.executed[-1].values == {"tenant": f"t{number}"}
