"""Statements and transactions through homes, without faults."""

import asyncio

from heatherpier.bench import SimulatedDeployment, ask
from heatherpier.bench._simulated_deployment import query
from heatherpier.forwarding.tests._clubs import KEY
from heatherpier.statements import Access, Done, Execute, Prepare, Query, SetValue

FORWARDING_KINDS = {"forward", "forwarded", "forward-end", "home-probe", "home-status"}


async def test_statements_run_on_a_connection_of_the_home(clubs):
    for text in ("WRITE a", "READ b"):
        assert isinstance((await ask(clubs.session(), text)).outcome, Done)
    assert clubs.direct_connections() == {}
    assert set(clubs.direct_connections(clubs.homes()[0])) == {clubs.primary.name}
    assert {item.organisation for item in clubs.primary.executed} == {"club"}


async def test_transaction_stays_on_one_connection_of_the_home(clubs):
    session = clubs.session()
    for text in ("BEGIN", "WRITE a", "READ b", "COMMIT", "READ c"):
        assert isinstance((await ask(session, text)).outcome, Done)
    *inside, after = clubs.primary.executed
    assert [item.in_transaction for item in inside] == [True, True, True]
    assert len({item.connection for item in inside}) == 1
    assert not after.in_transaction
    assert not clubs.server(clubs.homes()[0])._pins._pins


async def test_rollback_releases_the_connection_at_the_home(clubs, timers):
    session = clubs.session()
    for text in ("BEGIN", "WRITE a", "ROLLBACK"):
        await ask(session, text)
    await timers.sleep(0.2)
    assert not clubs.server(clubs.homes()[0])._pins._pins
    assert clubs.primary.log == []


async def test_home_applies_values_and_prepared_statements(clubs):
    """Guards against session state that is left on a connection of the home."""
    first, second = clubs.session(), clubs.session()
    for statement in (
        SetValue(name="lang", value="cy"),
        Prepare(name="p", access=Access.WRITE, shape="shape"),
        Execute(name="p", arguments="1"),
    ):
        query_ = Query(id=f"i-{type(statement).__name__}", text="", statement=statement)
        assert isinstance((await first.execute(query_)).outcome, Done)
    await ask(second, "READ b")
    executed, plain = clubs.primary.executed
    assert (executed.text, executed.values) == ("WRITE shape 1", {"lang": "cy"})
    assert plain.values == {}


async def test_slow_answer_delays_no_other(clubs, timers):
    """Guards against an exchange that occupies the path to the home."""
    clubs.primary.unresponsive = True
    slow = asyncio.create_task(clubs.write())
    await timers.sleep(0.1)
    clubs.primary.unresponsive = False
    began = timers.now()
    assert isinstance(await clubs.write(), Done)
    assert timers.now() - began < 0.15
    assert not slow.done()
    slow.cancel()


async def test_messages_hold_no_key(clubs):
    frames = []
    clubs.fleet.on_frame = frames.append
    assert isinstance(await clubs.write(), Done)
    assert any(b"club" in frame for frame in frames)
    assert not any(KEY.encode() in frame for frame in frames)


async def test_answers_report_the_load_of_the_home(clubs):
    await asyncio.gather(*(clubs.write() for _ in range(30)))
    loads = clubs.sender.forwarding.loads.of_instance(clubs.primary.name)
    assert clubs.homes()[0] in loads
    assert all(load.at > 0 for load in loads.values())


async def test_few_connections_are_opened_for_many_proxies(crowd, timers):
    """Guards against attempts spent on connections that instances reject."""

    async def call(name):
        session = crowd.open("claims-exact", proxy=name)
        replies = []
        for text in ("WRITE a", "READ b") * 20:
            replies.append(await ask(session, text))
            await timers.sleep(0.1)
        return replies

    answers = await asyncio.gather(*map(call, crowd.names))
    outcomes = [reply.outcome for replies in answers for reply in replies]
    assert all(isinstance(outcome, Done) for outcome in outcomes)
    instances = crowd.groups["claims"].instances.values()
    assert sum(item.rejected for item in instances) == 0
    assert sum(item.connections for item in instances) < 0.05 * len(outcomes)


async def test_nothing_is_forwarded_without_need(timers):
    """Guards against a change of deployments that have connections for all proxies."""
    async with SimulatedDeployment(timers=timers, proxies=7) as deployment:
        for name in deployment.names:
            for database in ("claims-exact", "claims-own"):
                session = deployment.open(database, proxy=name)
                await session.execute(query("WRITE a"))
                await session.execute(query("READ a"))
        assert not FORWARDING_KINDS & deployment.fleet.kind_counts.keys()
