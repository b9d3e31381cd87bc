"""Requests of callers and their answers."""

from dataclasses import dataclass
from enum import IntEnum

from heatherpier.positions import LogPosition
from heatherpier.upstreams import Result


class Priority(IntEnum):
    """Order in which statements are served under overload; lower values first."""

    WRITE = 0
    SESSION_READ = 1
    AGED_READ = 2
    BATCH = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One statement of a caller and the options that decide how it is served.

    Attributes:
        sql: Text of the statement.
        group: Name of the database group.
        deadline: Monotonic time in seconds by which the answer must be given.
        min_position: Minimum log position that a read must see, or None if none is
            known.
        key: Idempotency key, or None if the proxy generates one.
        key_made_ms: Unix time in milliseconds at which the caller generated the key, or
            None if the caller did not state it.
        repeatable: Whether the statement may run more than once.
        max_age_ms: Maximum age in milliseconds of the data that a read sees, or None
            for a read that must see the session's writes.
        priority: Priority class.
        trace: Trace id for logs and events, or empty.
        user: User for whom the statement runs; users get fair shares of an instance.
        session: Name of the session, or empty.
    """

    sql: str
    group: str
    deadline: float
    min_position: LogPosition | None = None
    key: str | None = None
    key_made_ms: int | None = None
    repeatable: bool = False
    max_age_ms: int | None = None
    priority: Priority = Priority.SESSION_READ
    trace: str = ""
    user: str = ""
    session: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The answer to a request.

    Attributes:
        result: Rows of a read or counts of a write.
        position: Log position to which the session's token must advance, or None.
        instance: Name of the instance that answered.
        replica: Whether that instance was a replica.
    """

    result: Result
    position: LogPosition | None
    instance: str
    replica: bool
