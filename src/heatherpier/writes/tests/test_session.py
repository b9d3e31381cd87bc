"""Tests of transactions through a caller's session."""

import pytest

from heatherpier._session import Session
from heatherpier.limits import Admission
from heatherpier.reads import Reader
from heatherpier.requests import NotRunError, RefusedError
from heatherpier.sessions import TokenSigner
from heatherpier.writes.tests import faults

DATABASE = "assist_core_1"
INSERT_CALL = "INSERT INTO calls VALUES ('linh')"


@pytest.fixture
def signer():
    """Returns a signer of session tokens."""
    return TokenSigner(deployment="test", keys=(b"0" * 32,))


@pytest.fixture
def run(proxy, signer, timers):
    """Returns a function that runs a statement in one session, its ``session``."""
    session = Session(
        groups={DATABASE: proxy.group},
        reader=Reader(
            admission=Admission(timers=timers),
            timers=timers,
            data_centre="south-a",
            rng=proxy.rng,
        ),
        writer=proxy.writer,
        signer=signer,
        timers=timers,
        deadline_ms=4000,
        transaction_idle_ms=2000,
    )

    async def run(sql):
        return await session.execute(sql, database=DATABASE, hints={})

    run.session = session
    return run


def flags(run):
    return run.session.in_transaction, run.session.autocommit


@pytest.mark.parametrize(
    ("statements", "expected"),
    [
        ((), (False, True)),
        (("BEGIN",), (True, True)),
        (("START TRANSACTION READ ONLY",), (True, True)),
        (("/* begin */ BEGIN WORK;",), (True, True)),
        (("BEGIN", INSERT_CALL, "COMMIT"), (False, True)),
        (("BEGIN", INSERT_CALL, "ROLLBACK"), (False, True)),
        (("BEGIN", INSERT_CALL, "SAVEPOINT a", "ROLLBACK TO a"), (True, True)),
        (("SET autocommit=0",), (False, False)),
        (("SET autocommit=0", INSERT_CALL), (True, False)),
        (("SET autocommit=0", INSERT_CALL, "COMMIT"), (False, False)),
        (("SET autocommit=0", INSERT_CALL, "SET autocommit=1"), (False, True)),
        (("BEGIN", INSERT_CALL, "SET autocommit=1"), (True, True)),
        (("BEGIN", "CREATE TABLE claims (id INT)"), (False, True)),
        (("COMMIT", "ROLLBACK"), (False, True)),
    ],
)
async def test_status_flags_follow_the_statements(run, statements, expected):
    for sql in statements:
        await run(sql)
    assert flags(run) == expected


@pytest.mark.parametrize(
    "sql",
    [
        "COMMIT AND CHAIN",
        "ROLLBACK RELEASE",
        "SET autocommit=0, sql_mode=''",
        "START SLAVE",
        "SAVEPOINT a",
    ],
)
async def test_unsupported_form_is_refused(run, sql):
    with pytest.raises(RefusedError):
        await run(sql)


async def test_commit_advances_the_position_in_the_token(bench, run, signer):
    await run("BEGIN")
    await run(INSERT_CALL)
    await run("COMMIT")
    ((token,),) = (await run("SELECT @heatherpier_token")).rows
    min_position = signer.decode(token).min_position("assist-core-1")
    assert min_position == bench.primary.position


async def test_lost_transaction_is_refused_until_the_caller_ends_it(bench, proxy, run):
    await run("BEGIN")
    proxy.inject(faults.reset, INSERT_CALL, after=True)
    for sql in (INSERT_CALL, INSERT_CALL, "SELECT * FROM calls"):
        with pytest.raises(NotRunError):
            await run(sql)
    assert flags(run) == (False, True)
    await run("ROLLBACK")
    await run(INSERT_CALL)
    assert bench.count_runs("linh") == 1


async def test_idle_limit_of_the_service_ends_a_transaction(run, timers):
    await run("BEGIN")
    await timers.sleep(2.1)
    assert flags(run) == (False, True)
    with pytest.raises(NotRunError, match="no statement came for 2 s"):
        await run(INSERT_CALL)


async def test_end_of_the_session_rolls_back(bench, run):
    await run("BEGIN")
    await run(INSERT_CALL)
    await run.session.close()
    assert bench.count_runs("linh") == 0
