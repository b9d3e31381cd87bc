"""Callers with known, unknown, withdrawn and moved keys, through whole proxies."""

import pytest

from heatherpier.bench import SimulatedDeployment, ask
from heatherpier.routing import Organisation
from heatherpier.statements import Code, Done, Failed

NORTH = Organisation(name="north-club")
SOUTH = Organisation(name="south-club")
KEYS = {"key-n": "north-club", "key-s": "south-club"}
# Longest time until all proxies that reach the store apply a new configuration.
APPLY_S = 5.0


@pytest.fixture
async def deployment(timers):
    """Returns a deployment whose configuration has two organisations."""
    async with SimulatedDeployment(timers=timers) as running:
        await configure(running, KEYS)
        yield running


async def configure(deployment, keys):
    deployment.configure(
        deployment.routes(), organisations=(NORTH, SOUTH), keys=dict(keys)
    )
    await deployment.timers.sleep(APPLY_S)


def executed(deployment):
    return [
        statement
        for instance in deployment.groups["claims"].instances.values()
        for statement in instance.executed
    ]


async def test_each_connection_belongs_to_one_organisation(deployment):
    """Guards against a connection that serves a second organisation."""
    for _ in range(20):
        for key in KEYS:
            session = deployment.open("claims-exact", key=key)
            for text in ("WRITE a", "READ a"):
                assert isinstance((await ask(session, text)).outcome, Done)
    owners = {}
    for statement in executed(deployment):
        owners.setdefault(statement.connection, set()).add(statement.organisation)
    assert {frozenset(names) for names in owners.values()} == {
        frozenset({"north-club"}),
        frozenset({"south-club"}),
    }


async def test_unknown_key_is_rejected_at_the_start_of_a_session(deployment):
    failure = deployment.engines["proxy-0"].open_session("claims-exact", "key-x")
    assert failure.code is Code.UNKNOWN_KEY
    assert "key-x" not in failure.reason


async def test_open_session_ends_with_its_key(deployment):
    """Guards against sessions that go on with a withdrawn key."""
    session = deployment.open("claims-exact", key="key-n")
    assert isinstance((await ask(session, "READ a")).outcome, Done)
    await configure(deployment, {"key-s": "south-club"})
    before = len(executed(deployment))
    for text in ("READ a", "WRITE a", "BEGIN"):
        assert (await ask(session, text)).outcome.code is Code.UNKNOWN_KEY
    assert len(executed(deployment)) == before


@pytest.mark.parametrize("text", ["WRITE b", "COMMIT"])
async def test_transaction_of_a_withdrawn_key_is_rolled_back(deployment, text):
    """Guards against a commit that the key no longer permits."""
    session = deployment.open("claims-exact", key="key-n")
    for begun in ("BEGIN", "WRITE a"):
        assert isinstance((await ask(session, begun)).outcome, Done)
    await configure(deployment, {"key-s": "south-club"})
    assert (await ask(session, text)).outcome.code is Code.UNKNOWN_KEY
    assert not any(item.text == "COMMIT" for item in executed(deployment))
    assert not session.in_transaction


async def test_moved_key_takes_effect_with_the_next_operation(deployment):
    """Guards against statements under the organisation that held the key before."""
    session = deployment.open("claims-exact", key="key-n")
    await ask(session, "BEGIN")
    await ask(session, "WRITE a")
    await configure(deployment, KEYS | {"key-n": "south-club"})
    assert (await ask(session, "WRITE b")).outcome.code is Code.ABORTED
    assert isinstance((await ask(session, "WRITE c")).outcome, Done)
    assert executed(deployment)[-1].organisation == "south-club"


async def test_key_is_not_rejected_for_certain_by_an_old_configuration(deployment):
    """Guards against NOAUTH for a key that was added while the store was away."""
    deployment.store.faults.unresponsive_to |= set(deployment.names)
    await deployment.timers.sleep(12.0)
    failure = deployment.engines["proxy-0"].open_session("claims-exact", "key-x")
    assert isinstance(failure, Failed)
    assert failure.code is Code.OVERLOADED
    assert failure.retry_after_ms


async def test_callers_need_no_key_without_organisations(timers):
    async with SimulatedDeployment(timers=timers) as running:
        session = running.open("claims-exact")
        assert isinstance((await ask(session, "WRITE a")).outcome, Done)
        assert {item.organisation for item in executed(running)} == {""}
