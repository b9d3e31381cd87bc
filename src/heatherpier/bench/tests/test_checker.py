"""Each check of the checker finds its own violation, and none in a correct run."""

import dataclasses

import pytest

from heatherpier.bench._checker import Fault, GroupLog, check_group, check_stop
from heatherpier.bench._engine import LogEntry
from heatherpier.bench._history import (
    AgedReadRecord,
    History,
    Outcome,
    ReadRecord,
    StatementClass,
    UnansweredStatement,
    WriteRecord,
)
from heatherpier.bench._mixes import BOOKINGS

GROUP = "assist-core-1"
TAG = "op:s1.1/1/1"
WRITE = WriteRecord(
    op="s1.1",
    session="s1",
    group=GROUP,
    kind=StatementClass.WRITE,
    parts=1,
    started=1.0,
    ended=1.1,
    outcome=Outcome.ACKNOWLEDGED,
    affected_rows=1,
)
CLAIM = dataclasses.replace(WRITE, op="s2.1", kind=StatementClass.CLAIM, row=1)
READ = ReadRecord(
    session="s1",
    group=GROUP,
    started=1.2,
    ended=1.3,
    required=frozenset({TAG}),
    seen=frozenset({TAG}),
)
AGED = AgedReadRecord(
    session="s3", group=GROUP, sent=9.0, ended=9.1, max_age_s=2.0, count=1
)
INSERT = BOOKINGS.insert("s1.1", "s1")
PARTS = [BOOKINGS.insert("s4.1", "s4", part=part, parts=2) for part in (1, 2)]
CLAIM_SQL = BOOKINGS.claim("s2.1", row=1)


def check(history, *transactions):
    entries = [
        LogEntry(1, index, tuple(statements))
        for index, statements in enumerate((BOOKINGS.schema(), *transactions), 1)
    ]
    log = GroupLog(entries, mix=BOOKINGS)
    return [item.fault for item in check_group(history, GROUP, log, mix=BOOKINGS)]


def test_correct_run_has_no_violation():
    history = History(writes=[WRITE, CLAIM], reads=[READ], aged_reads=[AGED])
    assert check(history, [INSERT], PARTS, [CLAIM_SQL]) == []


@pytest.mark.parametrize(
    ("history", "transactions", "fault"),
    [
        (History(writes=[WRITE]), [], Fault.LOST),
        (
            History(writes=[CLAIM]),
            [[CLAIM_SQL.replace("s2.1", "s9.1")], [CLAIM_SQL]],
            Fault.LOST,
        ),
        (History(writes=[WRITE]), [[INSERT], [INSERT]], Fault.DOUBLED),
        (History(writes=[WRITE]), [[INSERT, INSERT]], Fault.DOUBLED),
        (
            History(reads=[dataclasses.replace(READ, seen=frozenset())]),
            [[INSERT]],
            Fault.STALE,
        ),
        (
            History(
                reads=[
                    READ,
                    dataclasses.replace(
                        READ, ended=2.0, required=frozenset(), seen=frozenset()
                    ),
                ]
            ),
            [[INSERT]],
            Fault.STALE,
        ),
        (
            History(writes=[WRITE], aged_reads=[dataclasses.replace(AGED, count=0)]),
            [[INSERT]],
            Fault.STALE,
        ),
        (History(), [[INSERT, *PARTS]], Fault.MIXED),
        (History(), [PARTS[:1]], Fault.MIXED),
        (
            History(writes=[dataclasses.replace(WRITE, outcome=Outcome.NOT_RUN)]),
            [[INSERT]],
            Fault.WRONG_NOT_RUN,
        ),
    ],
    ids=[
        "lost write",
        "lost claim",
        "doubled over entries",
        "doubled in an entry",
        "own write missing",
        "later read sees less",
        "older than its maximum age",
        "two writes in an entry",
        "half a transaction",
        "write reported as not run ran",
    ],
)
def test_violation_is_found(history, transactions, fault):
    assert check(history, *transactions) == [fault]


@pytest.mark.parametrize(
    ("proxy", "at", "faults"),
    [("proxy-1", 5.2, [Fault.CUT]), ("proxy-2", 5.2, []), ("proxy-1", 4.0, [])],
)
def test_unanswered_statement_counts_only_at_a_proxy_while_it_stops(proxy, at, faults):
    statement = UnansweredStatement(
        proxy=proxy, session="s1", at=at, sql=INSERT, reason="reset"
    )
    found = check_stop(History(unanswered=[statement]), "proxy-1", since=5.0, until=6.0)
    assert [item.fault for item in found] == faults
