"""The report measures failover gaps and names classes that were not served."""

import pytest

from heatherpier.bench._history import (
    History,
    Outcome,
    ReadRecord,
    StatementClass,
    WriteRecord,
)
from heatherpier.bench._load import LoadResult
from heatherpier.bench._report import Loss, failover_gap_s, unserved_classes

GROUP = "assist-core-1"
LOSS = Loss(group=GROUP, at=10.0, kind="primary killed")


def write(ended, *, group=GROUP, outcome=Outcome.ACKNOWLEDGED):
    return WriteRecord(
        op=f"s1.{ended}",
        session="s1",
        group=group,
        kind=StatementClass.WRITE,
        parts=1,
        started=ended,
        ended=ended,
        outcome=outcome,
    )


@pytest.mark.parametrize(
    ("times", "load_end", "gap_s"),
    [
        ([9.9, 12.0, 12.1], 12.2, 2.1),
        ([9.9, 10.1], 30.0, 11.9),
        ([9.9], 13.0, 3.1),
        ([9.9, 10.1, 14.0, 14.1], 14.1, 3.9),
    ],
    ids=["recovers", "never recovers", "load ends first", "answer in flight"],
)
def test_gap_is_the_longest_stall_around_the_loss(times, load_end, gap_s):
    history = History(writes=[write(time) for time in times])
    assert failover_gap_s(history, LOSS, load_end=load_end) == pytest.approx(gap_s)


def test_gap_counts_only_acknowledged_writes_of_its_group():
    history = History(
        writes=[
            write(9.9),
            write(10.5, group="assist-core-2"),
            write(11.0, outcome=Outcome.UNKNOWN),
            write(13.0),
        ]
    )
    assert failover_gap_s(history, LOSS, load_end=13.0) == pytest.approx(3.1)


def test_class_without_a_success_is_reported_as_unserved():
    result = LoadResult()
    result.record(StatementClass.WRITE, 0.1)
    result.record(StatementClass.SESSION_READ, 0.1)
    result.history.reads.append(
        ReadRecord(
            session="s1",
            group=GROUP,
            started=1.0,
            ended=1.1,
            required=frozenset(),
            seen=frozenset(),
        )
    )
    assert unserved_classes(result) == [StatementClass.WRITE]
