"""A caller's request and its answer."""

from dataclasses import dataclass
from enum import IntEnum

from heatherpier.groups import LogPosition
from heatherpier.upstreams import Result


class Priority(IntEnum):
    """Order in which work is served when there is too much of it."""

    WRITE = 0
    SESSION_READ = 1
    AGED_READ = 2
    BATCH = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One statement of a caller with everything that decides how it is served.

    Attributes:
        sql: One statement.
        group: Name of the database group.
        deadline: Monotonic time in seconds by which the answer must be given.
        min_position: Least position that a read must see, or None if none is known.
        key: Idempotency key, or None for one that the proxy makes.
        key_made_ms: Wall time in milliseconds at which the caller made the key,
            or None if it did not tell.
        repeatable: Whether the statement may run more than once.
        max_age_ms: Largest age of a read in milliseconds, or None for a read
            that must see the session's writes.
        priority: Priority class.
        trace: Trace id that logs and events carry.
        user: User that the statement runs for; users share an instance fairly.
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
        result: Rows or counts.
        position: Position that the session's token must be raised to, or None.
        instance: Name of the instance that answered.
        replica: Whether that instance was a replica.
    """

    result: Result
    position: LogPosition | None
    instance: str
    replica: bool
