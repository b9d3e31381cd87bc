"""Messages between a proxy that forwards a statement and a home of its instance."""

import msgspec

from heatherpier.fleet import Message
from heatherpier.forwarding._wire import WireCall, WireReply


class UseRecord(msgspec.Struct, frozen=True, array_like=True):
    """Wire format of what a connection is acquired for.

    Attributes:
        class_name: Class of the statement.
        reads: Whether it is a single read.
        left_ms: Time left until its latency objective, in milliseconds; may be below 0.
        objective_ms: Latency objective of its class, in milliseconds.
    """

    class_name: str
    reads: bool
    left_ms: float
    objective_ms: float


class ForwardRequest(
    Message, frozen=True, kw_only=True, omit_defaults=True, tag="forward"
):
    """Asks a home to run calls on a connection of its own.

    Fields with their default are left out of the message.

    Attributes:
        link: Number of the link, unique within the sender's incarnation.
        step: Number of the request, rising within the link.
        incarnation: Incarnation of the sending process.
        home: Incarnation of the home that the request is for. Another one must not run
            it: the home that ended may have run it already.
        instance: Name of the instance.
        started_ms: Unix time in milliseconds of the instance's start, which tells its
            incarnations apart; 0 if unknown.
        service: Service that the instance belongs to.
        organisation: Organisation whose statement it is, or empty.
        priority: Priority of the statement; 0 is served first.
        left_ms: Time left for the answer, in milliseconds.
        queue_ms: Time that the request may wait for a connection, in milliseconds.
        grace_ms: Time in milliseconds after ``left_ms`` for which the sender still
            reads an answer.
        primary: Whether the sender uses the instance as the primary.
        term_version: Version of the leadership row of the sender's lease, for the log;
            0 for a replica.
        continues: Whether the request belongs to a transaction that the home holds.
        values: Session values that the calls rely on.
        prepared: Prepared statement that the calls rely on, or None.
        calls: The calls.
        use: What the connection is for, or None for a use with the end of the wait as
            its objective.
    """

    link: int
    step: int
    incarnation: int
    home: int
    instance: str
    started_ms: int
    service: str
    organisation: str = ""
    priority: int = 0
    left_ms: float
    queue_ms: float
    calls: list[WireCall]
    grace_ms: float = 0.0
    primary: bool = False
    term_version: int = 0
    continues: bool = False
    values: dict[str, str] = {}
    prepared: WireCall | None = None
    use: UseRecord | None = None


class ForwardAnswer(
    Message, frozen=True, kw_only=True, omit_defaults=True, tag="forwarded"
):
    """Answers a `ForwardRequest`. One of the first three attributes is set.

    Attributes:
        replies: Replies of the instance to the calls.
        not_run: Reason why nothing was written to the instance, or empty.
        lost: Reason why it is unknown whether the calls ran, or empty.
        retry_after_ms: Time in milliseconds after which a retry may succeed, or None.
        overloaded: Whether capacity would become free too late.
        unreachable: Whether the home could not connect to the instance.
        stopping: Whether the home is about to end.
        restarted: Whether the request was for another incarnation of the home.
        running_ms: Age of the home's process in milliseconds, if it has restarted; 0 in
            answers of older builds.
        pinned: Whether a transaction is open on a connection held for the link.
        waiting: Requests and statements that wait for a connection at the home.
        in_use: Connections of the home to the instance that are in use.
    """

    replies: list[WireReply] | None = None
    not_run: str = ""
    lost: str = ""
    retry_after_ms: int | None = None
    overloaded: bool = False
    unreachable: bool = False
    stopping: bool = False
    restarted: bool = False
    running_ms: float = 0
    pinned: bool = False
    waiting: int = 0
    in_use: int = 0


class ForwardEnd(Message, frozen=True, kw_only=True, tag="forward-end"):
    """Rolls back and releases what the home holds for a link. It has no answer.

    Attributes:
        link: Number of the link.
        incarnation: Incarnation of the sending process.
    """

    link: int
    incarnation: int


class HomeProbe(Message, frozen=True, kw_only=True, tag="home-probe"):
    """Asks a peer whether it runs forwarded statements."""


class HomeStatus(Message, frozen=True, kw_only=True, tag="home-status"):
    """Answers a `HomeProbe`.

    Attributes:
        incarnation: Incarnation of the home.
        stopping: Whether the home is about to end.
    """

    incarnation: int
    stopping: bool = False


FORWARDING_MESSAGES = (
    ForwardRequest,
    ForwardAnswer,
    ForwardEnd,
    HomeProbe,
    HomeStatus,
)
