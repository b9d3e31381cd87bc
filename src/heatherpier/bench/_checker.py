"""Compares callers' histories with the logs of the instances."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from heatherpier.bench._engine import Engine, LogEntry
from heatherpier.bench._history import History, Outcome, StatementClass, WriteRecord
from heatherpier.bench._mixes import Mix


class Fault(Enum):
    """Kinds of broken promises."""

    LOST = "acknowledged writes lost"
    DOUBLED = "writes doubled"
    STALE = "stale session reads"
    MIXED = "mixed transactions"
    WRONG_NOT_RUN = "wrong 'not run'"
    CUT = "requests cut at the graceful stop"


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken promise with its facts."""

    fault: Fault
    facts: str


@dataclass(frozen=True, slots=True)
class LoggedOp:
    """Where one write stands in a log: its part in each entry."""

    entry: int
    parts: tuple[int, ...]
    of: int


class GroupLog:
    """The log of one group, indexed by the writes in it.

    Args:
        entries: Log of the instance that is furthest ahead on a majority.
        mix: Tells which statements are callers' writes.
    """

    def __init__(self, entries: Sequence[LogEntry], *, mix: Mix) -> None:
        self.entries = entries
        self.ops: dict[str, list[LoggedOp]] = defaultdict(list)
        self.ops_by_entry: dict[int, set[str]] = {}
        for entry in entries:
            self._index(entry, mix)

    def _index(self, entry: LogEntry, mix: Mix) -> None:
        parts: dict[str, list[int]] = defaultdict(list)
        of: dict[str, int] = {}
        for sql in entry.statements:
            for op, part, count in mix.writes(sql):
                parts[op].append(part)
                of[op] = count
        for op, numbers in parts.items():
            self.ops[op].append(LoggedOp(entry.index, tuple(numbers), of[op]))
        if parts:
            self.ops_by_entry[entry.index] = set(parts)

    def column(self, sql: str) -> list[str]:
        """Returns the first column of a read of the data that the log makes."""
        engine = Engine()
        for entry in self.entries:
            engine.apply(entry)
        return [str(row[0]) for row in engine.read(sql).rows]


def check_group(
    history: History, group: str, log: GroupLog, *, mix: Mix
) -> list[Violation]:
    """Returns the broken promises of one group."""
    writes = [item for item in history.writes if item.group == group]
    return [
        *_check_lost(writes, log, mix),
        *_check_doubled(writes, log),
        *_check_mixed(log),
        *_check_not_run(writes, log),
        *_check_session_reads(history, group),
        *_check_aged_reads(history, group),
    ]


def check_stop(
    history: History, proxy: str, *, since: float, until: float
) -> list[Violation]:
    """Returns the requests that a planned stop of ``proxy`` cut.

    Args:
        history: What callers saw.
        proxy: Name of the stopped proxy.
        since: Monotonic time in seconds of the stop's signal.
        until: Monotonic time in seconds at which the process had ended.
    """
    return [
        Violation(
            Fault.CUT,
            f"{cut.session} at {cut.at - since:+.3f} s after the signal: "
            f"{cut.sql[:80]!r}: {cut.reason}",
        )
        for cut in history.cuts
        if cut.proxy == proxy and since <= cut.at <= until
    ]


def _check_lost(
    writes: Iterable[WriteRecord], log: GroupLog, mix: Mix
) -> Iterable[Violation]:
    claimed = set(log.column(f"SELECT agent FROM {mix.board} WHERE agent IS NOT NULL"))
    for item in writes:
        if item.outcome is not Outcome.ACKNOWLEDGED:
            continue
        claim = item.kind is StatementClass.CLAIM
        if claim and item.affected_rows == 0:
            continue
        if item.op not in log.ops:
            yield Violation(Fault.LOST, f"{_facts(item)}: not in the log")
        elif claim and f"op:{item.op}/1/1" not in claimed:
            yield Violation(Fault.LOST, f"{_facts(item)}: row {item.row} has another")


def _check_doubled(writes: Iterable[WriteRecord], log: GroupLog) -> Iterable[Violation]:
    by_op = {item.op: item for item in writes}
    for op, places in log.ops.items():
        repeated = [p for place in places for p in _repeated(place.parts)]
        if len(places) > 1 or repeated:
            record = by_op.get(op)
            entries = [place.entry for place in places]
            facts = _facts(record) if record else f"{op} without a record"
            yield Violation(Fault.DOUBLED, f"{facts}: in entries {entries}")


def _repeated(parts: Sequence[int]) -> list[int]:
    return [part for part, count in Counter(parts).items() if count > 1]


def _check_mixed(log: GroupLog) -> Iterable[Violation]:
    for index, ops in log.ops_by_entry.items():
        if len(ops) > 1:
            yield Violation(Fault.MIXED, f"entry {index} holds {sorted(ops)}")
    for op, places in log.ops.items():
        for place in places:
            if set(place.parts) != set(range(1, place.of + 1)):
                yield Violation(
                    Fault.MIXED,
                    f"entry {place.entry} holds parts {place.parts} of "
                    f"{place.of} of {op}",
                )


def _check_not_run(writes: Iterable[WriteRecord], log: GroupLog) -> Iterable[Violation]:
    for item in writes:
        if item.outcome is Outcome.NOT_RUN and item.op in log.ops:
            entries = [place.entry for place in log.ops[item.op]]
            yield Violation(
                Fault.WRONG_NOT_RUN, f"{_facts(item)}: in entries {entries}"
            )


def _check_session_reads(history: History, group: str) -> Iterable[Violation]:
    seen_before: dict[str, frozenset[str]] = {}
    reads = [item for item in history.reads if item.group == group]
    for item in sorted(reads, key=lambda read: read.ended):
        owed = item.owed | seen_before.get(item.session, frozenset())
        if missing := owed - item.seen:
            yield Violation(
                Fault.STALE,
                f"{item.session} in {group} by {item.proxy} at {item.ended:.3f}: "
                f"misses {sorted(missing)[:3]} of {len(owed)}",
            )
        seen_before[item.session] = owed | item.seen


def _check_aged_reads(history: History, group: str) -> Iterable[Violation]:
    acknowledged = history.acknowledged(group)
    inserts = [item for item in acknowledged if item.kind is not StatementClass.CLAIM]
    for item in history.aged_reads:
        if item.group != group:
            continue
        least = sum(
            write.parts for write in inserts if write.ended < item.sent - item.max_age_s
        )
        if item.count < least:
            yield Violation(
                Fault.STALE,
                f"aged read of {item.session} in {group} at {item.ended:.3f}: "
                f"{item.count} rows, {least} are older than {item.max_age_s:.1f} s",
            )


def _facts(item: WriteRecord) -> str:
    return (
        f"{item.kind.value} {item.op} in {item.group}: {item.outcome.value}, "
        f"{item.tries} tries, code {item.code}, "
        f"from {item.started:.3f} to {item.ended:.3f}"
    )
