"""What a caller is told when a fault comes at each moment of a write.

Each case is checked against the logs of the instances after everything is
healed and the old primary is back.
"""

import asyncio

import pytest

from heatherpier.groups import LogPosition
from heatherpier.requests import (
    FinalError,
    NotRunError,
    OutcomeUnknownError,
    ReadOnlyError,
)
from heatherpier.writes import _resolver, _runner, _single
from heatherpier.writes.tests import traps

CALL = "INSERT INTO calls VALUES ('linh')"
MARKER = "linh"
RECORD = "INSERT INTO heatherpier_requests"
OUTCOME = "UPDATE heatherpier_requests"
LOOK_UP = "SELECT attempt"
# Time that a rollback and the last control answer may take past the deadline.
ANSWER_GRACE_S = 0.1

# Moment: statement at which the fault comes, and whether after its effect.
MOMENTS = {
    "before BEGIN": ("BEGIN", False),
    "before the record": (RECORD, False),
    "before the statement": (CALL, False),
    "after the statement": (CALL, True),
    "before COMMIT": (OUTCOME, True),
    "at COMMIT before the effect": ("COMMIT", False),
    "at COMMIT after the effect": ("COMMIT", True),
    "before the position": ("CALL group_last_commit", False),
    "during acknowledgement": ("CALL group_wait", False),
}
# The record follows the statement where the proxy made the key.
MOMENTS_WITHOUT_KEY = {
    "before the statement": (CALL, False),
    "after the statement": (CALL, True),
    "after the record": (RECORD, True),
    "at COMMIT before the effect": ("COMMIT", False),
    "at COMMIT after the effect": ("COMMIT", True),
    "during acknowledgement": ("CALL group_wait", False),
}
FAULTS = [
    traps.reset,
    traps.silence,
    traps.crash,
    traps.pause,
    traps.isolate,
    traps.fence,
]


async def outcome_of(proxy, sql=CALL, **fields):
    """Returns the final answer's class, or None for a result."""
    try:
        await proxy.write(sql, **fields)
    except FinalError as exc:
        proxy.last_error = exc
        return type(exc)
    return None


async def check_promises(bench, outcome, *, key=None):
    """Fails if what the caller was told is not true of the final log."""
    await bench.settle()
    runs = bench.runs(MARKER)
    if outcome is None:
        assert runs == 1, f"acknowledged, ran {runs} times"
    elif outcome is OutcomeUnknownError:
        assert runs <= 1, f"unknown, ran {runs} times"
        other = await bench.proxy("proxy-2", seed=8)
        await other.write(CALL, key=key)
        assert bench.runs(MARKER) == 1, "the repeat ran again"
    else:
        assert runs == 0, f"{outcome.__name__}, ran {runs} times"


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("moment", MOMENTS)
async def test_write_survives_one_fault(bench, proxy, moment, fault):
    prefix, after = MOMENTS[moment]
    trap = proxy.trap(fault, prefix, after=after)
    outcome = await outcome_of(proxy, key="call-1")
    assert trap.sprung
    assert outcome is None
    await check_promises(bench, outcome)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("moment", MOMENTS_WITHOUT_KEY)
async def test_write_without_a_key_survives_one_fault(bench, proxy, moment, fault):
    prefix, after = MOMENTS_WITHOUT_KEY[moment]
    trap = proxy.trap(fault, prefix, after=after)
    outcome = await outcome_of(proxy)
    assert trap.sprung
    assert outcome is None
    await check_promises(bench, outcome)


@pytest.mark.parametrize("second", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("moment", [LOOK_UP, "CALL group_wait", "CALL group_status"])
async def test_write_survives_a_second_fault_during_resolution(
    bench, proxy, moment, second
):
    proxy.trap(traps.reset, "COMMIT", after=True)
    trap = proxy.trap(second, moment)
    outcome = await outcome_of(proxy, key="call-1", budget_s=6.0)
    assert trap.sprung
    await check_promises(bench, outcome, key="call-1")
    assert outcome is None


@pytest.mark.parametrize(
    ("fault", "moment", "expected"),
    [
        (traps.lose_majority, "before the statement", ReadOnlyError),
        (traps.lose_majority, "after the statement", ReadOnlyError),
        (traps.lose_majority, "at COMMIT after the effect", OutcomeUnknownError),
        (traps.lose_majority, "during acknowledgement", None),
        (traps.lose_replicas, "during acknowledgement", OutcomeUnknownError),
        (traps.stop_replication, "after the statement", OutcomeUnknownError),
        (traps.stop_replication, "at COMMIT after the effect", OutcomeUnknownError),
    ],
)
async def test_write_that_can_not_go_on_gets_the_truth(
    bench, proxy, fault, moment, expected
):
    prefix, after = MOMENTS_WITHOUT_KEY[moment]
    proxy.trap(fault, prefix, after=after)
    outcome = await outcome_of(proxy)
    assert outcome is expected
    key = proxy.last_error.key if outcome is OutcomeUnknownError else None
    await check_promises(bench, outcome, key=key)


@pytest.mark.parametrize("fault", [traps.lose_majority, traps.stop_replication])
@pytest.mark.parametrize("moment", ["before BEGIN", "after the statement"])
async def test_callers_key_that_can_not_be_settled_is_unknown(
    bench, proxy, fault, moment
):
    prefix, after = MOMENTS[moment]
    proxy.trap(fault, prefix, after=after)
    outcome = await outcome_of(proxy, key="call-1")
    assert outcome is OutcomeUnknownError
    await check_promises(bench, outcome, key="call-1")


async def test_second_try_without_a_primary_does_not_deny_the_first(bench, proxy):
    await proxy.write(CALL, key="call-1")
    await traps.lose_majority(bench, None)
    assert await outcome_of(proxy, key="call-1") is OutcomeUnknownError


async def test_try_that_another_one_refused_does_not_run_later(bench, proxy, timers):
    for _ in range(2):
        proxy.trap(traps.reset, "COMMIT")
    first = asyncio.create_task(outcome_of(proxy, key="call-1"))
    while not any(trap.sprung for trap in proxy.connector.traps):
        await timers.sleep(0.001)
    other = await bench.proxy("proxy-2", seed=8)
    record = _single.RequestRecord(
        key="call-1",
        attempt=1,
        fingerprint=_single.fingerprint_of("assist-core-1", [CALL]),
        state=_single.RecordState.RUN,
    )
    resolver = _resolver.Resolver(timers=timers, rng=other.rng)
    await resolver.refuse(other.group, record, deadline=timers.now() + 2)
    assert await first is NotRunError
    await check_promises(bench, NotRunError)


async def test_hopeless_write_is_answered_long_before_its_deadline(
    bench, proxy, timers
):
    await traps.lose_majority(bench, None)
    began = timers.now()
    with pytest.raises(ReadOnlyError) as caught:
        await proxy.write(CALL, budget_s=60)
    assert timers.now() - began <= 3
    assert caught.value.retry_after_ms > 0


@pytest.mark.parametrize("budget_s", [0.5, 1.0, 4.0])
async def test_commit_that_arrives_late_makes_no_answer_untrue(bench, proxy, budget_s):
    proxy.trap(traps.stall_commit, "COMMIT")
    outcome = await outcome_of(proxy, key="call-1", budget_s=budget_s)
    await check_promises(bench, outcome, key="call-1")


@pytest.mark.parametrize("key", [None, "call-1"])
async def test_own_late_commit_is_not_taken_for_anothers_row(bench, proxy, key):
    sql = "INSERT INTO jobs VALUES (1, 'linh')"
    proxy.trap(traps.stall_commit, "COMMIT")
    assert await outcome_of(proxy, sql, key=key) is None
    await check_promises(bench, None)


@pytest.mark.parametrize("fault", [traps.silence, traps.pause, traps.stop_replication])
@pytest.mark.parametrize("moment", MOMENTS)
async def test_final_answer_comes_by_the_deadline(bench, proxy, timers, moment, fault):
    prefix, after = MOMENTS[moment]
    proxy.trap(fault, prefix, after=after)
    began = timers.now()
    await outcome_of(proxy, key="call-1", budget_s=0.9)
    assert timers.now() - began <= 0.9 + ANSWER_GRACE_S


async def test_concurrent_tries_of_a_key_run_once(bench, proxy):
    other = await bench.proxy("proxy-2", seed=8)
    await asyncio.gather(
        proxy.write(CALL, key="call-1"), other.write(CALL, key="call-1")
    )
    await check_promises(bench, None)


# Each promise fails when its mechanism is off, so the checks above can fail.


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
    ("switch_off", "fault", "moment", "budget_s", "broken"),
    [
        (without_records, traps.reset, "at COMMIT after the effect", 4, "ran 2 times"),
        (without_refusals, traps.stall_commit, "at COMMIT before the effect", 0.5, "NotRunError, ran 1 times"),
        (without_acknowledgement, traps.isolate, "after the statement", 4, "acknowledged, ran 0 times"),
        (without_acknowledgement, traps.isolate, "at COMMIT before the effect", 4, "acknowledged, ran 0 times"),
    ],
)  # fmt: skip
async def test_promise_is_broken_without_its_mechanism(
    bench, proxy, monkeypatch, switch_off, fault, moment, budget_s, broken
):
    switch_off(monkeypatch)
    prefix, after = MOMENTS[moment]
    proxy.trap(fault, prefix, after=after)
    outcome = await outcome_of(proxy, key="call-1", budget_s=budget_s)
    with pytest.raises(AssertionError, match=broken):
        await check_promises(bench, outcome, key="call-1")


async def test_refused_attempt_is_followed_by_the_next_one(bench, proxy, timers):
    record = _single.RequestRecord(
        key="call-1",
        attempt=1,
        fingerprint=_single.fingerprint_of("assist-core-1", [CALL]),
        state=_single.RecordState.RUN,
    )
    resolver = _resolver.Resolver(timers=timers, rng=proxy.rng)
    refused = await resolver.refuse(proxy.group, record, deadline=timers.now() + 2)
    assert isinstance(refused, _resolver.Refused)
    await proxy.write(CALL, key="call-1")
    await proxy.write(CALL, key="call-1")
    await check_promises(bench, None)


async def test_short_write_that_did_not_run_says_so(bench, proxy):
    for trap in (traps.reset,) * 3:
        proxy.trap(trap, "COMMIT")
    outcome = await outcome_of(proxy, key="call-1", budget_s=0.4)
    assert outcome is NotRunError
    await check_promises(bench, outcome)
