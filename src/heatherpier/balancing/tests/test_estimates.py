"""Estimates of waits from reports, answers and own statements."""

import logbook
import pytest

from heatherpier.balancing import LoadEstimates
from heatherpier.balancing._estimates import LOAD_HALF_LIFE_S, WAIT_PER_STATEMENT_S

NAMES = ["a", "b", "c"]


@pytest.fixture
def estimates():
    """Returns estimates with a report on each instance at 100 s; ``a`` is loaded."""
    known = LoadEstimates()
    for name, load in zip(NAMES, (12, 3, 3), strict=True):
        known.note_report(name, waiting=load - 2, in_use=2, sent_at=100.0, now=100.0)
    return known


def test_a_report_counts_waiting_and_running_statements(estimates):
    assert estimates.expected_wait_s("a", 100.0) == 12 * WAIT_PER_STATEMENT_S


def test_a_report_tends_to_the_mean_with_age(estimates):
    """Guards against choices by queues that are gone."""
    later = 100.0 + LOAD_HALF_LIFE_S
    waits_s = [estimates.expected_waits_s(NAMES, at) for at in (100.0, later, 110.0)]
    gaps = [(waits[0] - waits[1]) / WAIT_PER_STATEMENT_S for waits in waits_s]
    assert gaps == pytest.approx([9.0, 4.5, 0.0], abs=1e-9)


def test_own_statements_since_the_report_are_added(estimates):
    """Guards against a proxy that sends all its statements to the same instance."""
    estimates.note_sent("b", 100.1)
    assert estimates.expected_wait_s("b", 100.1) > estimates.expected_wait_s("c", 100.1)
    estimates.note_settled("b", 100.1)
    assert estimates.expected_wait_s("b", 100.1) == estimates.expected_wait_s(
        "c", 100.1
    )


def test_own_statements_in_a_report_are_not_counted_twice(estimates):
    estimates.note_sent("b", 99.9)
    estimates.note_sent("b", 100.2)
    estimates.note_report("b", waiting=0, in_use=4, sent_at=100.0, now=100.2)
    wait_s = estimates.expected_waits_s(["b"], 100.0)[0]
    assert wait_s / WAIT_PER_STATEMENT_S == pytest.approx(5.0)


def test_an_instance_without_a_report_counts_as_the_mean(estimates):
    """Guards against the rush to an instance that has just appeared."""
    waits_s = estimates.expected_waits_s([*NAMES, "new"], 100.0)
    assert min(waits_s) < waits_s[-1] < max(waits_s)


def test_slow_answers_raise_the_wait_until_they_are_old(estimates):
    now = 101.0
    for _ in range(5):
        for name in NAMES:
            took_s = 0.4 if name == "c" else 0.02
            estimates.note_answer(name, kind="read", took_s=took_s, now=now)
        now += 0.1
    assert estimates.expected_wait_s("c", now) > 0.2
    waits_s = estimates.expected_waits_s(NAMES, now + 60.0)
    assert waits_s[2] == pytest.approx(waits_s[1], abs=0.001)


def test_kinds_of_statements_are_not_compared(estimates):
    """Guards against an instance that counts as slow since it gets long reads."""
    for _ in range(20):
        estimates.note_answer("b", kind="short", took_s=0.01, now=101.0)
        estimates.note_answer("c", kind="long", took_s=0.5, now=101.0)
    waits_s = estimates.expected_waits_s(NAMES, 101.0)
    assert waits_s[1] == pytest.approx(waits_s[2])


def test_a_rejection_counts_as_a_wait(estimates):
    """Guards against a full instance that attracts reads by quick rejections."""
    estimates.note_rejected("b", wait_s=0.1, now=100.0)
    assert estimates.expected_wait_s("b", 100.0) > 0.1


def test_forgotten_instance_starts_anew(estimates):
    estimates.forget("a")
    assert estimates.report_age_s("a", 100.0) is None
    estimates.note_settled("a", 99.0)


def test_slow_instances_are_logged_once(estimates):
    with logbook.TestHandler() as handler:
        for number in range(10):
            estimates.note_answer("b", kind="read", took_s=0.02, now=101.0 + number)
            estimates.note_answer("c", kind="read", took_s=0.9, now=101.0 + number)
            estimates.expected_waits_s(NAMES, 101.0 + number)
        estimates.expected_waits_s(NAMES, 200.0)
    messages = [record.message for record in handler.records]
    assert messages == ["instance is slow", "instance no longer counts as slow"]
