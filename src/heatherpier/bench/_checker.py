"""Checks guarantees by comparing callers' histories with the instances' logs."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from heatherpier.bench._engine import Engine, LogEntry
from heatherpier.bench._history import History, Outcome, StatementClass, WriteRecord
from heatherpier.bench._mixes import Mix


class Fault(Enum):
    """Kinds of violated guarantees; the values are rows of the report."""

    LOST = "acknowledged writes lost"
    DOUBLED = "writes doubled"
    STALE = "stale session reads"
    MIXED = "mixed transactions"
    WRONG_NOT_RUN = "wrong 'not run'"
    CUT = "requests cut at the graceful stop"


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a guarantee, with the facts that show it."""

    fault: Fault
    facts: str


@dataclass(frozen=True, slots=True)
class LoggedOp:
    """One occurrence of a write in a log.

    Attributes:
        entry: Index of the log entry.
        parts: Numbers of the write's statements in the entry, from 1.
        part_count: Count of statements of the whole write.
    """

    entry: int
    parts: tuple[int, ...]
    part_count: int


class GroupLog:
    """The log of one group, indexed by the writes in it.

    Args:
        entries: Log of the instance that is furthest ahead among a majority.
        mix: Recognises callers' writes among the statements.

    Attributes:
        entries: The log as given.
        ops: Occurrences of each write, by its id.
        ops_by_entry: Ids of the writes in each entry, by the entry's index.
    """

    def __init__(self, entries: Sequence[LogEntry], *, mix: Mix) -> None:
        self.entries = entries
        self.ops: dict[str, list[LoggedOp]] = defaultdict(list)
        self.ops_by_entry: dict[int, set[str]] = {}
        for entry in entries:
            self._index(entry, mix)

    def _index(self, entry: LogEntry, mix: Mix) -> None:
        parts: dict[str, list[int]] = defaultdict(list)
        part_counts: dict[str, int] = {}
        for sql in entry.statements:
            for op, part, count in mix.parse_writes(sql):
                parts[op].append(part)
                part_counts[op] = count
        for op, part_numbers in parts.items():
            self.ops[op].append(
                LoggedOp(entry.index, tuple(part_numbers), part_counts[op])
            )
        if parts:
            self.ops_by_entry[entry.index] = set(parts)

    def read_first_column(self, sql: str) -> list[str]:
        """Runs a read on the data that the log produces; returns its first column."""
        engine = Engine()
        for entry in self.entries:
            engine.apply(entry)
        return [str(row[0]) for row in engine.read(sql).rows]


def check_group(
    history: History, group: str, log: GroupLog, *, mix: Mix
) -> list[Violation]:
    """Returns the violations found in one group."""
    writes = [item for item in history.writes if item.group == group]
    return [
        *_check_lost(writes, log, mix),
        *_check_doubled(writes, log),
        *_check_mixed(log),
        *_check_wrong_not_run(writes, log),
        *_check_session_reads(history, group),
        *_check_aged_reads(history, group),
    ]


def check_stop(
    history: History, proxy: str, *, since: float, until: float
) -> list[Violation]:
    """Returns a violation for each request that a graceful stop left unanswered.

    Args:
        history: Records of the callers.
        proxy: Name of the stopped proxy.
        since: Monotonic time in seconds of the stop signal.
        until: Monotonic time in seconds at which the process had ended.
    """
    return [
        Violation(
            Fault.CUT,
            f"{statement.session} at {statement.at - since:+.3f} s after the signal: "
            f"{statement.sql[:80]!r}: {statement.reason}",
        )
        for statement in history.unanswered
        if statement.proxy == proxy and since <= statement.at <= until
    ]


def _check_lost(
    writes: Iterable[WriteRecord], log: GroupLog, mix: Mix
) -> Iterable[Violation]:
    claimed = set(
        log.read_first_column(
            f"SELECT agent FROM {mix.claim_table} WHERE agent IS NOT NULL"
        )
    )
    for item in writes:
        if item.outcome is not Outcome.ACKNOWLEDGED:
            continue
        claim = item.kind is StatementClass.CLAIM
        if claim and item.affected_rows == 0:
            continue
        if item.op not in log.ops:
            yield Violation(Fault.LOST, f"{_facts(item)}: not in the log")
        elif claim and f"op:{item.op}/1/1" not in claimed:
            yield Violation(
                Fault.LOST, f"{_facts(item)}: row {item.row} has another claim"
            )


def _check_doubled(writes: Iterable[WriteRecord], log: GroupLog) -> Iterable[Violation]:
    by_op = {item.op: item for item in writes}
    for op, occurrences in log.ops.items():
        repeated = [
            part for occurrence in occurrences for part in _repeated(occurrence.parts)
        ]
        if len(occurrences) > 1 or repeated:
            record = by_op.get(op)
            entries = [occurrence.entry for occurrence in occurrences]
            facts = _facts(record) if record else f"{op}, no record of it"
            yield Violation(Fault.DOUBLED, f"{facts}: in entries {entries}")


def _repeated(parts: Sequence[int]) -> list[int]:
    return [part for part, count in Counter(parts).items() if count > 1]


def _check_mixed(log: GroupLog) -> Iterable[Violation]:
    for index, ops in log.ops_by_entry.items():
        if len(ops) > 1:
            yield Violation(Fault.MIXED, f"entry {index} contains writes {sorted(ops)}")
    for op, occurrences in log.ops.items():
        for occurrence in occurrences:
            if set(occurrence.parts) != set(range(1, occurrence.part_count + 1)):
                yield Violation(
                    Fault.MIXED,
                    f"entry {occurrence.entry} contains parts {occurrence.parts} of "
                    f"{occurrence.part_count} of {op}",
                )


def _check_wrong_not_run(
    writes: Iterable[WriteRecord], log: GroupLog
) -> Iterable[Violation]:
    for item in writes:
        if item.outcome is Outcome.NOT_RUN and item.op in log.ops:
            entries = [occurrence.entry for occurrence in log.ops[item.op]]
            yield Violation(
                Fault.WRONG_NOT_RUN, f"{_facts(item)}: in entries {entries}"
            )


def _check_session_reads(history: History, group: str) -> Iterable[Violation]:
    seen_before: dict[str, frozenset[str]] = {}
    reads = [item for item in history.reads if item.group == group]
    for item in sorted(reads, key=lambda read: read.ended):
        required = item.required | seen_before.get(item.session, frozenset())
        if missing := required - item.seen:
            yield Violation(
                Fault.STALE,
                f"{item.session} in {group} by {item.proxy} at {item.ended:.3f}: "
                f"misses {sorted(missing)[:3]} of {len(required)}",
            )
        seen_before[item.session] = required | item.seen


def _check_aged_reads(history: History, group: str) -> Iterable[Violation]:
    acknowledged = history.acknowledged(group)
    inserts = [item for item in acknowledged if item.kind is not StatementClass.CLAIM]
    for item in history.aged_reads:
        if item.group != group:
            continue
        min_count = sum(
            write.parts for write in inserts if write.ended < item.sent - item.max_age_s
        )
        if item.count < min_count:
            yield Violation(
                Fault.STALE,
                f"aged read of {item.session} in {group} at {item.ended:.3f}: "
                f"{item.count} rows, {min_count} are older than {item.max_age_s:.1f} s",
            )


def _facts(item: WriteRecord) -> str:
    return (
        f"{item.kind.value} {item.op} in {item.group}: {item.outcome.value}, "
        f"{item.attempts} attempts, code {item.code}, "
        f"from {item.started:.3f} to {item.ended:.3f}"
    )
