"""Messages between proxies about views and leases."""

import msgspec

from heatherpier.fleet import Message


class PastVoters(msgspec.Struct, frozen=True, kw_only=True):
    """What a proxy knows of earlier voter sets.

    Attributes:
        version: Version of the fleet's table up to which it knows all.
        known_s: For how long it has known all voter sets and removals, in seconds.
        removed_s: How long ago the last member was removed, in seconds, at least.
        panels: How long ago each voter set ended, in seconds, and its names.
    """

    version: int
    known_s: float
    removed_s: float
    panels: list[tuple[float, list[str]]]


class ReleaseRequest(Message, frozen=True, kw_only=True, tag="release"):
    """Asks to end the use of a primary that is being replaced.

    Attributes:
        service: The service.
        version: Version of the leadership row that says so.
        body: Content of that row.
        drain_s: Time in seconds for work that is under way.
    """

    service: str
    version: int
    body: bytes
    drain_s: float


class Released(Message, frozen=True, kw_only=True, tag="released"):
    """The old primary is no longer used, and answers from it no longer count.

    Attributes:
        past: What the peer knows of earlier voter sets, for one that began later.
    """

    past: PastVoters


class ChangeRequest(Message, frozen=True, kw_only=True, tag="change"):
    """Asks whether the peer is still at work on a change of primary.

    Attributes:
        service: The service.
    """

    service: str


class ChangeAnswer(Message, frozen=True, kw_only=True, tag="changing"):
    """Whether the peer is at work on a change of primary.

    Attributes:
        at_work: Whether it is.
    """

    at_work: bool


class ReachRequest(Message, frozen=True, kw_only=True, tag="reach"):
    """Asks whether an instance answers the peer.

    Attributes:
        instance: Name of the instance.
    """

    instance: str


class ReachAnswer(Message, frozen=True, kw_only=True, tag="reached"):
    """Whether an instance answers.

    Attributes:
        answers: Whether it has just answered.
    """

    answers: bool


class CopyRequest(Message, frozen=True, kw_only=True, tag="copy"):
    """Asks for tables that are newer than the asking proxy's.

    Attributes:
        versions: Version of the asking proxy's copy, by table.
        hold_s: How long the peer may hold the answer until something changes, in
            seconds.
        support: Whether the peer is asked not to release primaries for a while.
    """

    versions: dict[str, int]
    hold_s: float = 0.0
    support: bool = True


class TableAnswer(Message, frozen=True, kw_only=True, tag="table"):
    """A peer's copy of one table.

    Attributes:
        version: Version that it is complete up to.
        age_s: How long ago it was surely complete, in seconds.
        rows: Key, version and content of each row that is newer than the asking
            proxy's copy; a deleted row has no content.
        whole: Whether these are all rows of the table.
    """

    version: int
    age_s: float
    rows: list[tuple[str, int, bytes | None]]
    whole: bool


class CopyAnswer(Message, frozen=True, kw_only=True, tag="copies"):
    """A peer's copies of tables.

    Attributes:
        tables: By name of the table.
        grant_s: For how long the peer promises not to release primaries, in seconds.
        held_s: For how long the peer held the answer, in seconds.
    """

    tables: dict[str, TableAnswer]
    grant_s: float
    held_s: float = 0.0


class Ping(Message, frozen=True, kw_only=True, tag="ping"):
    """Asks whether the peer is alive."""


class Pong(Message, frozen=True, kw_only=True, tag="pong"):
    """The peer is alive."""


LEASE_MESSAGES = (
    Ping,
    Pong,
    ReleaseRequest,
    Released,
    ChangeRequest,
    ChangeAnswer,
    ReachRequest,
    ReachAnswer,
    CopyRequest,
    CopyAnswer,
)
