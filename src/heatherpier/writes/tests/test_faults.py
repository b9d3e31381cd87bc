"""Tests that the answer of a write is true when a fault occurs at any step of it.

Each answer is compared with the logs of the instances after all faults are removed
and the old primary has rejoined.
"""

import asyncio

import pytest

from heatherpier.positions import LogPosition
from heatherpier.requests import (
    FinalError,
    NotRunError,
    OutcomeUnknownError,
    ReadOnlyError,
)
from heatherpier.writes import _resolver, _runner, _single
from heatherpier.writes._errors import UnresolvedError
from heatherpier.writes.tests import faults

INSERT_CALL = "INSERT INTO calls VALUES ('linh')"
MARKER = "linh"
INSERT_RECORD = "INSERT INTO heatherpier_requests"
UPDATE_OUTCOME = "UPDATE heatherpier_requests"
SELECT_RECORD = "SELECT attempt"
# Time in seconds past the deadline for a rollback and the last control answer.
ANSWER_GRACE_S = 0.1

# Fault point of a write: the statement that triggers the fault, and whether the fault
# is applied after the statement takes effect.
FAULT_POINTS = {
    "before BEGIN": ("BEGIN", False),
    "before the record": (INSERT_RECORD, False),
    "before the statement": (INSERT_CALL, False),
    "after the statement": (INSERT_CALL, True),
    "before COMMIT": (UPDATE_OUTCOME, True),
    "at COMMIT before the effect": ("COMMIT", False),
    "at COMMIT after the effect": ("COMMIT", True),
    "before the position": ("CALL group_last_commit", False),
    "during acknowledgement": ("CALL group_wait", False),
}
# A write with a generated key inserts its record after the statement.
FAULT_POINTS_WITHOUT_KEY = {
    "before the statement": (INSERT_CALL, False),
    "after the statement": (INSERT_CALL, True),
    "after the record": (INSERT_RECORD, True),
    "at COMMIT before the effect": ("COMMIT", False),
    "at COMMIT after the effect": ("COMMIT", True),
    "during acknowledgement": ("CALL group_wait", False),
}
FAULTS = [
    faults.reset,
    faults.stop_answering,
    faults.crash,
    faults.pause,
    faults.isolate,
    faults.fence,
]


async def outcome_of(proxy, sql=INSERT_CALL, **fields):
    """Returns the final answer's class, or None for a result."""
    try:
        await proxy.write(sql, **fields)
    except FinalError as exc:
        proxy.last_error = exc
        return type(exc)
    return None


async def check_answer(bench, outcome, *, key=None):
    """Asserts that the caller's answer is true of the log that all instances hold."""
    await bench.converge()
    runs = bench.count_runs(MARKER)
    if outcome is None:
        assert runs == 1, f"acknowledged, ran {runs} times"
    elif outcome is OutcomeUnknownError:
        assert runs <= 1, f"unknown, ran {runs} times"
        other = await bench.proxy("proxy-2", seed=8)
        await other.write(INSERT_CALL, key=key)
        assert bench.count_runs(MARKER) == 1, "the repeat ran again"
    else:
        assert runs == 0, f"{outcome.__name__}, ran {runs} times"


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("fault_point", FAULT_POINTS)
async def test_write_survives_one_fault(bench, proxy, fault_point, fault):
    prefix, after = FAULT_POINTS[fault_point]
    injected = proxy.inject(fault, prefix, after=after)
    outcome = await outcome_of(proxy, key="call-1")
    assert injected.triggered
    assert outcome is None
    await check_answer(bench, outcome)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("fault_point", FAULT_POINTS_WITHOUT_KEY)
async def test_write_without_a_key_survives_one_fault(bench, proxy, fault_point, fault):
    prefix, after = FAULT_POINTS_WITHOUT_KEY[fault_point]
    injected = proxy.inject(fault, prefix, after=after)
    outcome = await outcome_of(proxy)
    assert injected.triggered
    assert outcome is None
    await check_answer(bench, outcome)


@pytest.mark.parametrize("second", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize(
    "fault_point", [SELECT_RECORD, "CALL group_wait", "CALL group_status"]
)
async def test_write_survives_a_second_fault_during_resolution(
    bench, proxy, fault_point, second
):
    proxy.inject(faults.reset, "COMMIT", after=True)
    injected = proxy.inject(second, fault_point)
    outcome = await outcome_of(proxy, key="call-1", timeout_s=6.0)
    assert injected.triggered
    await check_answer(bench, outcome, key="call-1")
    assert outcome is None


@pytest.mark.parametrize(
    ("fault", "fault_point", "expected"),
    [
        (faults.crash_majority, "before the statement", ReadOnlyError),
        (faults.crash_majority, "after the statement", ReadOnlyError),
        (faults.crash_majority, "at COMMIT after the effect", OutcomeUnknownError),
        (faults.crash_majority, "during acknowledgement", None),
        (faults.crash_replicas, "during acknowledgement", OutcomeUnknownError),
        (faults.stop_replication, "after the statement", OutcomeUnknownError),
        (faults.stop_replication, "at COMMIT after the effect", OutcomeUnknownError),
    ],
)
async def test_write_that_cannot_finish_gets_a_true_answer(
    bench, proxy, fault, fault_point, expected
):
    prefix, after = FAULT_POINTS_WITHOUT_KEY[fault_point]
    proxy.inject(fault, prefix, after=after)
    outcome = await outcome_of(proxy)
    assert outcome is expected
    key = proxy.last_error.key if outcome is OutcomeUnknownError else None
    await check_answer(bench, outcome, key=key)


@pytest.mark.parametrize("fault", [faults.crash_majority, faults.stop_replication])
@pytest.mark.parametrize("fault_point", ["before BEGIN", "after the statement"])
async def test_unresolved_callers_key_is_answered_outcome_unknown(
    bench, proxy, fault, fault_point
):
    prefix, after = FAULT_POINTS[fault_point]
    proxy.inject(fault, prefix, after=after)
    outcome = await outcome_of(proxy, key="call-1")
    assert outcome is OutcomeUnknownError
    await check_answer(bench, outcome, key="call-1")


async def test_second_request_without_a_primary_is_answered_outcome_unknown(
    bench, proxy
):
    # The first request has run, and no refusal can be stored without a primary, so
    # "read only" would be false.
    await proxy.write(INSERT_CALL, key="call-1")
    await faults.crash_majority(bench, None)
    assert await outcome_of(proxy, key="call-1") is OutcomeUnknownError


async def test_attempt_refused_by_another_request_takes_no_new_number(
    bench, proxy, timers
):
    # Another request refuses attempt 1, and may answer "not run", while this one repeats
    # it after a lost COMMIT. A run as attempt 2 would make that answer false.
    for _ in range(2):
        proxy.inject(faults.reset, "COMMIT")
    first = asyncio.create_task(outcome_of(proxy, key="call-1"))
    while not any(item.triggered for item in proxy.connector.injected_faults):
        await timers.sleep(0.001)
    other = await bench.proxy("proxy-2", seed=8)
    record = _single.RequestRecord(
        key="call-1",
        attempt=1,
        fingerprint=_single.fingerprint_of("assist-core-1", [INSERT_CALL]),
        state=_single.RecordState.RUN,
    )
    resolver = _resolver.Resolver(timers=timers, rng=other.rng)
    await resolver.refuse(other.group, record, deadline=timers.now() + 2)
    assert await first is NotRunError
    await check_answer(bench, NotRunError)


async def test_write_without_a_majority_fails_long_before_its_deadline(
    bench, proxy, timers
):
    await faults.crash_majority(bench, None)
    started_at = timers.now()
    with pytest.raises(ReadOnlyError) as caught:
        await proxy.write(INSERT_CALL, timeout_s=60)
    assert timers.now() - started_at <= 3
    assert caught.value.retry_after_ms > 0


@pytest.mark.parametrize("timeout_s", [0.5, 1.0, 4.0])
async def test_answer_stays_true_when_the_commit_arrives_late(bench, proxy, timeout_s):
    proxy.inject(faults.delay_commit, "COMMIT")
    outcome = await outcome_of(proxy, key="call-1", timeout_s=timeout_s)
    await check_answer(bench, outcome, key="call-1")


@pytest.mark.parametrize("key", [None, "call-1"])
async def test_own_late_commit_is_not_reported_as_a_duplicate_row(bench, proxy, key):
    # The connection is lost at COMMIT, which arrives while the write is repeated.
    # The repeat must not answer with a duplicate entry of the write's own row.
    sql = "INSERT INTO jobs VALUES (1, 'linh')"
    proxy.inject(faults.delay_commit, "COMMIT")
    assert await outcome_of(proxy, sql, key=key) is None
    await check_answer(bench, None)


@pytest.mark.parametrize(
    "fault", [faults.stop_answering, faults.pause, faults.stop_replication]
)
@pytest.mark.parametrize("fault_point", FAULT_POINTS)
async def test_final_answer_comes_by_the_deadline(
    bench, proxy, timers, fault_point, fault
):
    prefix, after = FAULT_POINTS[fault_point]
    proxy.inject(fault, prefix, after=after)
    started_at = timers.now()
    await outcome_of(proxy, key="call-1", timeout_s=0.9)
    assert timers.now() - started_at <= 0.9 + ANSWER_GRACE_S


async def test_concurrent_requests_with_one_key_run_once(bench, proxy):
    other = await bench.proxy("proxy-2", seed=8)
    await asyncio.gather(
        proxy.write(INSERT_CALL, key="call-1"), other.write(INSERT_CALL, key="call-1")
    )
    await check_answer(bench, None)


# The tests below disable one mechanism each, and check that `check_answer` then fails.


def without_records(monkeypatch):
    async def nothing(*args, **kwargs):
        return None

    monkeypatch.setattr(_runner, "claim_attempt", nothing)
    monkeypatch.setattr(_runner, "update_outcome", nothing)


def without_refusals(monkeypatch):
    async def refuse(self, group, record, *, deadline):
        return _resolver.Refused(position=LogPosition(0, 0))

    monkeypatch.setattr(_resolver.Resolver, "refuse", refuse)


def without_acknowledgement(monkeypatch):
    async def acknowledge(self, group, position, *, instance, deadline):
        return None

    monkeypatch.setattr(_resolver.Resolver, "acknowledge", acknowledge)


@pytest.mark.parametrize(
    ("disable", "fault", "fault_point", "timeout_s", "message"),
    [
        (without_records, faults.reset, "at COMMIT after the effect", 4, "ran 2 times"),
        (without_refusals, faults.delay_commit, "at COMMIT before the effect", 0.5, "NotRunError, ran 1 times"),
        (without_acknowledgement, faults.isolate, "after the statement", 4, "acknowledged, ran 0 times"),
        (without_acknowledgement, faults.isolate, "at COMMIT before the effect", 4, "acknowledged, ran 0 times"),
    ],
)  # fmt: skip
async def test_guarantee_fails_without_its_mechanism(
    bench, proxy, monkeypatch, disable, fault, fault_point, timeout_s, message
):
    disable(monkeypatch)
    prefix, after = FAULT_POINTS[fault_point]
    proxy.inject(fault, prefix, after=after)
    outcome = await outcome_of(proxy, key="call-1", timeout_s=timeout_s)
    with pytest.raises(AssertionError, match=message):
        await check_answer(bench, outcome, key="call-1")


async def test_key_of_a_refused_attempt_runs_once_as_the_next_attempt(
    bench, proxy, timers
):
    record = _single.RequestRecord(
        key="call-1",
        attempt=1,
        fingerprint=_single.fingerprint_of("assist-core-1", [INSERT_CALL]),
        state=_single.RecordState.RUN,
    )
    resolver = _resolver.Resolver(timers=timers, rng=proxy.rng)
    refused = await resolver.refuse(proxy.group, record, deadline=timers.now() + 2)
    assert isinstance(refused, _resolver.Refused)
    await proxy.write(INSERT_CALL, key="call-1")
    await proxy.write(INSERT_CALL, key="call-1")
    await check_answer(bench, None)


async def test_write_with_a_short_deadline_is_answered_not_run(bench, proxy):
    for fault in (faults.reset,) * 3:
        proxy.inject(fault, "COMMIT")
    outcome = await outcome_of(proxy, key="call-1", timeout_s=0.4)
    assert outcome is NotRunError
    await check_answer(bench, outcome)


async def test_no_attempt_is_refused_after_an_earlier_one_that_ran(
    bench, proxy, timers
):
    await proxy.write(INSERT_CALL, key="call-1")
    record = _single.RequestRecord(
        key="call-1",
        attempt=2,
        fingerprint=_single.fingerprint_of("assist-core-1", [INSERT_CALL]),
        state=_single.RecordState.RUN,
    )
    resolver = _resolver.Resolver(timers=timers, rng=proxy.rng)
    found = await resolver.refuse(proxy.group, record, deadline=timers.now() + 2)
    assert isinstance(found, _resolver.Ran)
    assert found.record.attempt == 1


async def test_no_attempt_is_refused_before_the_earlier_ones_are(bench, proxy, timers):
    record = _single.RequestRecord(
        key="call-1",
        attempt=2,
        fingerprint=_single.fingerprint_of("assist-core-1", [INSERT_CALL]),
        state=_single.RecordState.RUN,
    )
    resolver = _resolver.Resolver(timers=timers, rng=proxy.rng)
    await resolver.create_table(proxy.group, deadline=timers.now() + 2)
    with pytest.raises(UnresolvedError):
        await resolver.refuse(proxy.group, record, deadline=timers.now() + 2)
