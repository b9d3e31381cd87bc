"""Records of callers' statements and their answers, read by the checker."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """Final knowledge of a caller about its write."""

    ACKNOWLEDGED = "acknowledged"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class StatementClass(Enum):
    """Classes of operations that the report lists separately."""

    WRITE = "single writes"
    CLAIM = "claims of a row"
    TRANSACTION = "transactions"
    SESSION_READ = "session reads"
    AGED_READ = "aged reads"


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteRecord:
    """One write, or one transaction, over all of its attempts.

    Attributes:
        op: Id of the write, unique in the run; the tag in each of its statements
            contains it.
        session: Name of the session.
        group: Database group.
        kind: Class of the operation.
        parts: Count of its statements, which must run in one transaction.
        started: Monotonic time in seconds of its arrival.
        ended: Monotonic time in seconds of the last answer.
        outcome: Whether it took effect, as far as the caller knows.
        affected_rows: Count of affected rows in the answer.
        code: Number of the last error, or 0.
        attempts: Count of attempts.
        row: Id of the row to claim; 0 if the write is no claim.
    """

    op: str
    session: str
    group: str
    kind: StatementClass
    parts: int
    started: float
    ended: float
    outcome: Outcome
    affected_rows: int = 0
    code: int = 0
    attempts: int = 1
    row: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRecord:
    """One answered read that must see the session's own writes.

    Attributes:
        session: Name of the session.
        group: Database group.
        started: Monotonic time in seconds of its arrival.
        ended: Monotonic time in seconds of the answer.
        required: Tags of the writes whose token the session held before it read; the
            answer must contain them.
        seen: Tags in the answer.
        proxy: Name of the proxy that answered.
    """

    session: str
    group: str
    started: float
    ended: float
    required: frozenset[str]
    seen: frozenset[str]
    proxy: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class AgedReadRecord:
    """One answered read with bounded staleness.

    Attributes:
        session: Name of the session.
        group: Database group.
        sent: Monotonic time in seconds at which the statement was sent.
        ended: Monotonic time in seconds of the answer.
        max_age_s: Maximum age of the data that the read allowed, in seconds.
        count: Count of rows in the answer.
    """

    session: str
    group: str
    sent: float
    ended: float
    max_age_s: float
    count: int


@dataclass(frozen=True, slots=True, kw_only=True)
class UnansweredStatement:
    """A statement without an answer.

    Either its answer did not come, or it was not sent because the connection was
    closed inside its transaction.

    Attributes:
        proxy: Name of the proxy.
        session: Name of the session.
        at: Monotonic time in seconds of the failure.
        sql: The statement.
        reason: Text of the error.
    """

    proxy: str
    session: str
    at: float
    sql: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class FailedRead:
    """A failed attempt of a read, or a read that ran out of time.

    Attributes:
        group: Database group.
        kind: Class of the read.
        at: Monotonic time in seconds of the failure.
        code: Error number; 0 if no answer came or the time ran out.
    """

    group: str
    kind: StatementClass
    at: float
    code: int


@dataclass(slots=True)
class History:
    """All records of the callers of one run.

    Attributes:
        writes: Writes and transactions that have ended.
        reads: Answered reads that must see the session's own writes.
        aged_reads: Answered reads with bounded staleness.
        failed_reads: Failed attempts of reads, and reads that ran out of time.
        unanswered: Statements without an answer.
        sent: Count of statements sent.
        in_flight: Count of statements that wait for an answer, by proxy.
    """

    writes: list[WriteRecord] = field(default_factory=list)
    reads: list[ReadRecord] = field(default_factory=list)
    aged_reads: list[AgedReadRecord] = field(default_factory=list)
    failed_reads: list[FailedRead] = field(default_factory=list)
    unanswered: list[UnansweredStatement] = field(default_factory=list)
    sent: int = 0
    in_flight: Counter[str] = field(default_factory=Counter)

    def acknowledged(self, group: str) -> list[WriteRecord]:
        """Returns the acknowledged writes of ``group``, ordered by answer time."""
        found = [
            item
            for item in self.writes
            if item.group == group and item.outcome is Outcome.ACKNOWLEDGED
        ]
        return sorted(found, key=lambda item: item.ended)

    def served(self) -> Counter[StatementClass]:
        """Returns the count of successful operations by class."""
        counts = Counter(
            item.kind for item in self.writes if item.outcome is Outcome.ACKNOWLEDGED
        )
        counts[StatementClass.SESSION_READ] = len(self.reads)
        counts[StatementClass.AGED_READ] = len(self.aged_reads)
        return counts
