"""Transactions against instances in memory, with and without faults."""

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
from heatherpier.writes.tests import traps

CALL = "INSERT INTO calls VALUES ('linh')"
SECOND = "INSERT INTO calls VALUES ('mai')"
COUNT = "SELECT COUNT(*) FROM calls"


@pytest.fixture
def caller(proxy):
    """Returns a caller without an open transaction."""
    return proxy.caller()


async def count(caller):
    ((rows,),) = (await caller.run(COUNT)).rows
    return rows


async def check(bench, outcome):
    """Fails if what the caller was told is not true of the final log."""
    await bench.settle()
    runs = bench.runs("linh")
    assert runs == bench.runs("mai"), "half a transaction ran"
    if outcome is None:
        assert runs == 1, f"committed, ran {runs} times"
    elif outcome is OutcomeUnknownError:
        assert runs <= 1, f"unknown, ran {runs} times"
    else:
        assert runs == 0, f"{outcome.__name__}, ran {runs} times"


async def outcome_of(work):
    try:
        await work
    except FinalError as exc:
        return type(exc)
    return None


async def transact(caller, **fields):
    await caller.begin(**fields)
    await caller.run(CALL)
    await caller.run(SECOND)
    await caller.commit()


async def test_committed_transaction_is_on_a_majority(bench, caller):
    await transact(caller)
    (answer,) = caller.commits
    assert sum(i.position >= answer.position for i in bench.instances) >= 2
    await check(bench, None)


async def test_reads_inside_see_the_writes_and_others_do_not(bench, proxy, caller):
    other = proxy.caller()
    await caller.begin()
    await caller.run(CALL)
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
    await caller.run(CALL)
    await caller.transactions.rollback()
    assert not caller.transactions.in_transaction
    await check(bench, NotRunError)


async def test_caller_that_leaves_frees_its_connection_and_locks(bench, proxy, caller):
    await caller.begin()
    await caller.run(CALL)
    await caller.transactions.rollback()
    await proxy.write(SECOND)
    assert bench.runs("linh") == 0


async def test_autocommit_off_opens_a_transaction_with_the_first_statement(
    bench, proxy, caller
):
    await caller.transactions.set_autocommit(False, proxy.request("SET"))
    await caller.run(CALL)
    assert caller.transactions.in_transaction
    assert bench.runs("linh") == 0


async def test_turning_autocommit_on_commits(bench, proxy, caller):
    await caller.transactions.set_autocommit(False, proxy.request("SET"))
    await caller.run(CALL)
    await caller.transactions.set_autocommit(True, proxy.request("SET"))
    assert bench.runs("linh") == 1


async def test_begin_inside_a_transaction_commits_it(bench, caller):
    await caller.begin()
    await caller.run(CALL)
    await caller.begin()
    assert bench.runs("linh") == 1


async def test_ddl_inside_a_transaction_commits_it_first(bench, caller):
    await caller.begin()
    await caller.run(CALL)
    await caller.run("CREATE TABLE claims (id INT)")
    assert bench.runs("linh") == 1
    assert not caller.transactions.in_transaction


async def test_return_to_a_savepoint_drops_only_what_followed(bench, caller):
    await caller.begin()
    await caller.run(CALL)
    await caller.mark("SAVEPOINT a")
    await caller.run(SECOND)
    await caller.mark("ROLLBACK TO SAVEPOINT a")
    await caller.commit()
    assert (bench.runs("linh"), bench.runs("mai")) == (1, 0)


@pytest.mark.parametrize("sql", ["SET @a = 1", "LOCK TABLES calls WRITE", "USE other"])
async def test_session_state_inside_a_transaction_is_refused(caller, sql):
    await caller.begin()
    with pytest.raises(RefusedError):
        await caller.run(sql)
    assert caller.transactions.in_transaction


async def test_rejected_statement_leaves_the_transaction_open(bench, caller):
    await caller.begin()
    await caller.run(CALL)
    with pytest.raises(StatementRejectedError) as caught:
        await caller.run("INSERT INTO jobs VALUES (0, 'second')")
    assert caught.value.code == 1062
    await caller.commit()
    assert bench.runs("linh") == 1


async def test_read_only_transaction_tells_the_position_that_it_saw(bench, caller):
    await caller.begin(read_only=True)
    await count(caller)
    await caller.commit()
    assert caller.commits[0].position == bench.primary.position


async def test_idle_transaction_is_ended_and_the_caller_is_told(bench, caller, timers):
    await caller.begin()
    await caller.run(CALL)
    await timers.sleep(31)
    assert not caller.transactions.in_transaction
    for statement in (caller.run(SECOND), caller.run(COUNT), caller.commit()):
        with pytest.raises(NotRunError, match="no statement came for 30 s"):
            await statement
    await caller.transactions.rollback()
    await check(bench, NotRunError)


async def test_slow_statement_is_not_idle(bench, caller, timers):
    await caller.begin()
    bench.primary.faults.slow_ms = 40_000
    await caller.run(CALL, budget_s=60)
    assert caller.transactions.in_transaction


async def test_key_that_committed_is_told_at_begin(bench, proxy, caller):
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
    await check(bench, None)


async def test_key_of_another_transaction_is_refused(bench, proxy):
    first, second = proxy.caller(), proxy.caller()
    await first.begin()
    await first.run(CALL)
    await first.commit(key="filing-1")
    await second.begin()
    await second.run(SECOND)
    with pytest.raises(RefusedError, match="filing-1"):
        await second.commit(key="filing-1")
    assert bench.runs("mai") == 0


async def test_second_transaction_without_a_primary_does_not_deny_the_first(
    bench, proxy, caller
):
    await transact(caller, key="filing-1")
    await traps.lose_majority(bench, None)
    assert await outcome_of(caller.begin(key="filing-1")) is OutcomeUnknownError


async def test_lost_second_transaction_does_not_deny_a_late_commit(bench, proxy):
    first, second = proxy.caller(), proxy.caller()
    proxy.trap(traps.stall_commit, "COMMIT")
    await first.begin(key="filing-1")
    await first.run(CALL)
    await first.run(SECOND)
    assert await outcome_of(first.commit(budget_s=0.8)) is OutcomeUnknownError
    await second.begin(key="filing-1")
    proxy.trap(traps.reset, "SELECT")
    assert await outcome_of(second.run("SELECT 1")) is AlreadyRunError
    with pytest.raises(AlreadyRunError):
        await second.run(SECOND)
    await check(bench, None)


# Faults

RECORD = "INSERT INTO heatherpier_requests"
FAULTS = [
    traps.reset,
    traps.silence,
    traps.crash,
    traps.pause,
    traps.isolate,
    traps.fence,
]
# Moment: statement at which the fault comes, whether after its effect, and
# whether every fault ends the transaction there.
MOMENTS = {
    "before the first statement": (CALL, False),
    "after the first statement": (CALL, True),
    "before the second statement": (SECOND, False),
    "before the record": (RECORD, False),
    "after the record": (RECORD, True),
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
@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("key", [None, "filing-1"])
async def test_fault_commits_all_of_a_transaction_or_nothing(
    bench, proxy, caller, moment, fault, key
):
    prefix, after = MOMENTS[moment]
    trap = proxy.trap(fault, prefix, after=after)
    outcome = await outcome_of(transact(caller, key=key))
    assert trap.sprung
    assert outcome in (None, NotRunError)
    if fault is traps.reset:
        assert outcome is (None if moment in AFTER_COMMIT else NotRunError)
    await check(bench, outcome)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
async def test_rest_of_a_lost_transaction_does_not_run(bench, proxy, caller, fault):
    await caller.begin()
    await caller.run(CALL)
    proxy.trap(fault, SECOND)
    first = await outcome_of(caller.run(SECOND))
    if first is None:
        # An isolated primary does not know yet that it was replaced.
        assert fault is traps.isolate
    else:
        assert not caller.transactions.in_transaction
        assert await outcome_of(caller.run(SECOND)) is NotRunError
    assert await outcome_of(caller.commit()) is NotRunError
    await check(bench, NotRunError)


@pytest.mark.parametrize("budget_s", [0.5, 4.0])
async def test_commit_that_arrives_late_makes_no_answer_untrue(
    bench, proxy, caller, budget_s
):
    proxy.trap(traps.stall_commit, "COMMIT")
    await caller.begin()
    await caller.run(CALL)
    await caller.run(SECOND)
    outcome = await outcome_of(caller.commit(budget_s=budget_s))
    await check(bench, outcome)


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
    ("switch_off", "fault", "after"),
    [
        (without_records, traps.reset, True),
        (without_refusals, traps.stall_commit, False),
    ],
)
async def test_not_run_is_untrue_without_its_mechanism(
    bench, proxy, caller, monkeypatch, switch_off, fault, after
):
    switch_off(monkeypatch)
    proxy.trap(fault, "COMMIT", after=after)
    outcome = await outcome_of(transact(caller))
    with pytest.raises(AssertionError, match="NotRunError, ran 1 times"):
        await check(bench, outcome)
