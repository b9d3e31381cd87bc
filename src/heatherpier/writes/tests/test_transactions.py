"""Tests of transactions on instances in memory, with and without faults."""

import asyncio

import pytest

from heatherpier.requests import (
    AlreadyRunError,
    FinalError,
    NotRunError,
    OutcomeUnknownError,
    RefusedError,
    StatementRejectedError,
)
from heatherpier.writes import _commit, _resolver
from heatherpier.writes.tests import faults

INSERT_CALL = "INSERT INTO calls VALUES ('linh')"
SECOND_INSERT = "INSERT INTO calls VALUES ('mai')"
COUNT_CALLS = "SELECT COUNT(*) FROM calls"


@pytest.fixture
def caller(proxy):
    """Returns a caller without an open transaction."""
    return proxy.caller()


async def count(caller):
    ((rows,),) = (await caller.run(COUNT_CALLS)).rows
    return rows


async def check_answer(bench, outcome):
    """Asserts that the caller's answer is true of the log that all instances hold."""
    await bench.converge()
    runs = bench.count_runs("linh")
    assert runs == bench.count_runs("mai"), "half a transaction ran"
    if outcome is None:
        assert runs == 1, f"committed, ran {runs} times"
    elif outcome is OutcomeUnknownError:
        assert runs <= 1, f"unknown, ran {runs} times"
    else:
        assert runs == 0, f"{outcome.__name__}, ran {runs} times"


async def outcome_of(awaitable):
    try:
        await awaitable
    except FinalError as exc:
        return type(exc)
    return None


async def transact(caller, **fields):
    await caller.begin(**fields)
    await caller.run(INSERT_CALL)
    await caller.run(SECOND_INSERT)
    await caller.commit()


async def test_committed_transaction_is_on_a_majority(bench, caller):
    await transact(caller)
    (answer,) = caller.commits
    assert sum(i.position >= answer.position for i in bench.instances) >= 2
    await check_answer(bench, None)


async def test_reads_inside_see_the_writes_and_others_do_not(bench, proxy, caller):
    other = proxy.caller()
    await caller.begin()
    await caller.run(INSERT_CALL)
    await other.begin()
    assert (await count(caller), await count(other)) == (1, 0)


async def test_statements_of_two_callers_run_on_their_own_connections(proxy):
    callers = [proxy.caller(), proxy.caller()]
    for caller in callers:
        await caller.begin()
    conns = {id(caller.transactions._open.transaction.conn) for caller in callers}
    assert len(conns) == 2


async def test_rolled_back_transaction_changes_nothing(bench, caller):
    await caller.begin()
    await caller.run(INSERT_CALL)
    await caller.transactions.rollback()
    assert not caller.transactions.in_transaction
    await check_answer(bench, NotRunError)


async def test_rollback_releases_the_connection_and_its_locks(bench, proxy, caller):
    await caller.begin()
    await caller.run(INSERT_CALL)
    await caller.transactions.rollback()
    await proxy.write(SECOND_INSERT)
    assert bench.count_runs("linh") == 0


async def test_autocommit_off_opens_a_transaction_with_the_first_statement(
    bench, proxy, caller
):
    await caller.transactions.set_autocommit(False, proxy.request("SET"))
    await caller.run(INSERT_CALL)
    assert caller.transactions.in_transaction
    assert bench.count_runs("linh") == 0


async def test_turning_autocommit_on_commits(bench, proxy, caller):
    await caller.transactions.set_autocommit(False, proxy.request("SET"))
    await caller.run(INSERT_CALL)
    await caller.transactions.set_autocommit(True, proxy.request("SET"))
    assert bench.count_runs("linh") == 1


async def test_begin_inside_a_transaction_commits_it(bench, caller):
    await caller.begin()
    await caller.run(INSERT_CALL)
    await caller.begin()
    assert bench.count_runs("linh") == 1


async def test_ddl_inside_a_transaction_commits_it_first(bench, caller):
    await caller.begin()
    await caller.run(INSERT_CALL)
    await caller.run("CREATE TABLE claims (id INT)")
    assert bench.count_runs("linh") == 1
    assert not caller.transactions.in_transaction


async def test_rollback_to_a_savepoint_drops_only_later_statements(bench, caller):
    await caller.begin()
    await caller.run(INSERT_CALL)
    await caller.execute_savepoint("SAVEPOINT a")
    await caller.run(SECOND_INSERT)
    await caller.execute_savepoint("ROLLBACK TO SAVEPOINT a")
    await caller.commit()
    assert (bench.count_runs("linh"), bench.count_runs("mai")) == (1, 0)


@pytest.mark.parametrize("sql", ["SET @a = 1", "LOCK TABLES calls WRITE", "USE other"])
async def test_session_state_inside_a_transaction_is_refused(caller, sql):
    await caller.begin()
    with pytest.raises(RefusedError):
        await caller.run(sql)
    assert caller.transactions.in_transaction


async def test_rejected_statement_leaves_the_transaction_open(bench, caller):
    await caller.begin()
    await caller.run(INSERT_CALL)
    with pytest.raises(StatementRejectedError) as caught:
        await caller.run("INSERT INTO jobs VALUES (0, 'second')")
    assert caught.value.code == 1062
    await caller.commit()
    assert bench.count_runs("linh") == 1


async def test_read_only_transaction_returns_the_position_that_it_read(bench, caller):
    await caller.begin(read_only=True)
    await count(caller)
    await caller.commit()
    assert caller.commits[0].position == bench.primary.position


async def test_idle_transaction_is_rolled_back_and_rejects_statements(
    bench, caller, timers
):
    await caller.begin()
    await caller.run(INSERT_CALL)
    await timers.sleep(31)
    assert not caller.transactions.in_transaction
    for statement in (
        caller.run(SECOND_INSERT),
        caller.run(COUNT_CALLS),
        caller.commit(),
    ):
        with pytest.raises(NotRunError, match="no statement came for 30 s"):
            await statement
    await caller.transactions.rollback()
    await check_answer(bench, NotRunError)


async def test_slow_statement_is_not_idle(bench, caller, timers):
    await caller.begin()
    bench.primary.faults.slow_ms = 40_000
    await caller.run(INSERT_CALL, timeout_s=60)
    assert caller.transactions.in_transaction


async def test_committed_key_is_rejected_at_begin(bench, proxy, caller):
    await transact(caller, key="filing-1")
    other = await bench.proxy("proxy-2", seed=8)
    with pytest.raises(AlreadyRunError):
        await other.caller().begin(key="filing-1")


async def test_concurrent_transactions_of_one_key_commit_once(bench, proxy):
    other = await bench.proxy("proxy-2", seed=8)
    callers = [proxy.caller(), other.caller()]
    outcomes = await asyncio.gather(
        *(outcome_of(transact(caller, key="filing-1")) for caller in callers)
    )
    assert outcomes == [None, None]
    await check_answer(bench, None)


async def test_key_of_another_transaction_is_refused(bench, proxy):
    first, second = proxy.caller(), proxy.caller()
    await first.begin()
    await first.run(INSERT_CALL)
    await first.commit(key="filing-1")
    await second.begin()
    await second.run(SECOND_INSERT)
    with pytest.raises(RefusedError, match="filing-1"):
        await second.commit(key="filing-1")
    assert bench.count_runs("mai") == 0


async def test_second_transaction_without_a_primary_is_answered_outcome_unknown(
    bench, proxy, caller
):
    await transact(caller, key="filing-1")
    await faults.crash_majority(bench, None)
    assert await outcome_of(caller.begin(key="filing-1")) is OutcomeUnknownError


async def test_lost_second_transaction_reports_a_late_commit_of_the_first(bench, proxy):
    # The COMMIT of the first transaction arrives after its deadline, when the second
    # one with the same key has begun. "Not run" would be false for the second.
    first, second = proxy.caller(), proxy.caller()
    proxy.inject(faults.delay_commit, "COMMIT")
    await first.begin(key="filing-1")
    await first.run(INSERT_CALL)
    await first.run(SECOND_INSERT)
    assert await outcome_of(first.commit(timeout_s=0.8)) is OutcomeUnknownError
    await second.begin(key="filing-1")
    proxy.inject(faults.reset, "SELECT")
    assert await outcome_of(second.run("SELECT 1")) is AlreadyRunError
    with pytest.raises(AlreadyRunError):
        await second.run(SECOND_INSERT)
    await check_answer(bench, None)


INSERT_RECORD = "INSERT INTO heatherpier_requests"
FAULTS = [
    faults.reset,
    faults.stop_answering,
    faults.crash,
    faults.pause,
    faults.isolate,
    faults.fence,
]
# Fault point of a transaction: the statement that triggers the fault, and whether the
# fault is applied after the statement takes effect.
FAULT_POINTS = {
    "before the first statement": (INSERT_CALL, False),
    "after the first statement": (INSERT_CALL, True),
    "before the second statement": (SECOND_INSERT, False),
    "before the record": (INSERT_RECORD, False),
    "after the record": (INSERT_RECORD, True),
    "at COMMIT before the effect": ("COMMIT", False),
    "at COMMIT after the effect": ("COMMIT", True),
    "before the position": ("CALL group_last_commit", False),
    "during acknowledgement": ("CALL group_wait", False),
}
AFTER_COMMIT = (
    "at COMMIT after the effect",
    "before the position",
    "during acknowledgement",
)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("fault_point", FAULT_POINTS)
@pytest.mark.parametrize("key", [None, "filing-1"])
async def test_fault_commits_all_of_a_transaction_or_nothing(
    bench, proxy, caller, fault_point, fault, key
):
    prefix, after = FAULT_POINTS[fault_point]
    injected = proxy.inject(fault, prefix, after=after)
    outcome = await outcome_of(transact(caller, key=key))
    assert injected.triggered
    assert outcome in (None, NotRunError)
    if fault is faults.reset:
        assert outcome is (None if fault_point in AFTER_COMMIT else NotRunError)
    await check_answer(bench, outcome)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
async def test_rest_of_a_lost_transaction_does_not_run(bench, proxy, caller, fault):
    await caller.begin()
    await caller.run(INSERT_CALL)
    proxy.inject(fault, SECOND_INSERT)
    first = await outcome_of(caller.run(SECOND_INSERT))
    if first is None:
        # An isolated primary still acts as primary, since it is not fenced.
        assert fault is faults.isolate
    else:
        assert not caller.transactions.in_transaction
        assert await outcome_of(caller.run(SECOND_INSERT)) is NotRunError
    assert await outcome_of(caller.commit()) is NotRunError
    await check_answer(bench, NotRunError)


@pytest.mark.parametrize("timeout_s", [0.5, 4.0])
async def test_answer_stays_true_when_the_commit_arrives_late(
    bench, proxy, caller, timeout_s
):
    proxy.inject(faults.delay_commit, "COMMIT")
    await caller.begin()
    await caller.run(INSERT_CALL)
    await caller.run(SECOND_INSERT)
    outcome = await outcome_of(caller.commit(timeout_s=timeout_s))
    await check_answer(bench, outcome)


def without_records(monkeypatch):
    async def nothing(*args, **kwargs):
        return None

    monkeypatch.setattr(_commit, "claim_attempt", nothing)


def without_refusals(monkeypatch):
    async def refuse(self, group, record, *, deadline):
        found = await self.look_up(group, record, deadline=deadline)
        return found if isinstance(found, _resolver.Ran) else None

    monkeypatch.setattr(_resolver.Resolver, "refuse", refuse)


@pytest.mark.parametrize(
    ("disable", "fault", "after"),
    [
        (without_records, faults.reset, True),
        (without_refusals, faults.delay_commit, False),
    ],
)
async def test_guarantee_fails_without_its_mechanism(
    bench, proxy, caller, monkeypatch, disable, fault, after
):
    disable(monkeypatch)
    proxy.inject(fault, "COMMIT", after=after)
    outcome = await outcome_of(transact(caller))
    with pytest.raises(AssertionError, match="NotRunError, ran 1 times"):
        await check_answer(bench, outcome)
