"""What callers saw, as typed records that the checker reads."""

from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """What a caller knows of its write in the end."""

    ACKNOWLEDGED = "acknowledged"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class StatementClass(Enum):
    """Classes that the report counts by."""

    WRITE = "single writes"
    CLAIM = "claims of a row"
    TRANSACTION = "transactions"
    SESSION_READ = "session reads"
    AGED_READ = "aged reads"


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteRecord:
    """One write, or one transaction, with all of its tries.

    Attributes:
        op: Its tag, which stands in each of its statements.
        session: Name of the session.
        group: Database group.
        kind: Its class.
        parts: Count of statements that must run together.
        started: Monotonic time in seconds of its arrival.
        ended: Monotonic time in seconds of the last answer.
        outcome: What the caller knows.
        affected_rows: Rows that the answer told.
        code: Number of the last error, or 0.
        tries: Count of tries.
        row: Row that a claim is about, or 0.
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
    tries: int = 1
    row: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadRecord:
    """One read that must see the session's own writes.

    Attributes:
        session: Name of the session.
        group: Database group.
        started: Monotonic time in seconds of its arrival.
        ended: Monotonic time in seconds of the answer.
        owed: Tags that the session had been told of before it read.
        seen: Tags in the answer.
        proxy: Name of the proxy that answered.
    """

    session: str
    group: str
    started: float
    ended: float
    owed: frozenset[str]
    seen: frozenset[str]
    proxy: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class AgedReadRecord:
    """One read of stated age.

    Attributes:
        session: Name of the session.
        group: Database group.
        sent: Monotonic time in seconds at which the statement was sent.
        ended: Monotonic time in seconds of the answer.
        max_age_s: Stated age in seconds.
        count: Count of rows in the answer.
    """

    session: str
    group: str
    sent: float
    ended: float
    max_age_s: float
    count: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CutRecord:
    """A statement that was sent and got no answer.

    Attributes:
        proxy: Name of the proxy.
        session: Name of the session.
        at: Monotonic time in seconds.
        sql: The statement.
        reason: What the driver told.
    """

    proxy: str
    session: str
    at: float
    sql: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class FailedRead:
    """A read that got a final error, or none at all."""

    group: str
    kind: StatementClass
    at: float
    code: int


@dataclass(slots=True)
class History:
    """Everything that the callers of one run saw."""

    writes: list[WriteRecord] = field(default_factory=list)
    reads: list[ReadRecord] = field(default_factory=list)
    aged_reads: list[AgedReadRecord] = field(default_factory=list)
    failed_reads: list[FailedRead] = field(default_factory=list)
    cuts: list[CutRecord] = field(default_factory=list)
    sent: int = 0

    def acknowledged(self, group: str) -> list[WriteRecord]:
        """Returns the acknowledged writes of ``group`` by the time of their answers."""
        found = [
            item
            for item in self.writes
            if item.group == group and item.outcome is Outcome.ACKNOWLEDGED
        ]
        return sorted(found, key=lambda item: item.ended)
