"""Messages between proxies about leases, grants and copies of tables."""

import msgspec

from heatherpier.fleet import Message


class PastVoters(msgspec.Struct, frozen=True, kw_only=True):
    """Voter sets and removals that a proxy has seen.

    Attributes:
        version: Version of the fleet's table up to which the history is complete.
        known_s: Length of the complete history, in seconds.
        removed_s: Minimum time since the last removal of a member, in seconds.
        panels: Each voter set: time since it ended, in seconds, and the names of the
            voters. The current set has the time 0.
    """

    version: int
    known_s: float
    removed_s: float
    panels: list[tuple[float, list[str]]]


class ReleaseRequest(Message, frozen=True, kw_only=True, tag="release"):
    """Asks a peer to release its lease on a primary that is being replaced.

    Attributes:
        service: Name of the service.
        version: Version of the leadership row that announces the change.
        body: Content of that row.
        drain_s: Time in seconds for in-flight work to end before it is aborted.
    """

    service: str
    version: int
    body: bytes
    drain_s: float


class Released(Message, frozen=True, kw_only=True, tag="released"):
    """Confirms that the peer no longer uses the old primary nor counts its answers.

    Attributes:
        past: The peer's history of voter sets, for a proxy whose history starts later.
    """

    past: PastVoters


class ChangeRequest(Message, frozen=True, kw_only=True, tag="change"):
    """Asks whether the peer is still carrying out a change of primary.

    Attributes:
        service: Name of the service.
    """

    service: str


class ChangeAnswer(Message, frozen=True, kw_only=True, tag="changing"):
    """Answers a `ChangeRequest`.

    Attributes:
        at_work: Whether the peer is carrying out the change.
    """

    at_work: bool


class WriteRequest(Message, frozen=True, kw_only=True, tag="write"):
    """Asks a peer to write a leadership row for a coordinator without the store.

    Attributes:
        service: Name of the service.
        body: Content of the row.
        expected: Version that the row must have.
    """

    service: str
    body: bytes
    expected: int


class WriteAnswer(Message, frozen=True, kw_only=True, tag="written"):
    """Answers a `WriteRequest`.

    Attributes:
        version: Version of the written row, or 0 if the peer did not write it.
    """

    version: int


class ReachRequest(Message, frozen=True, kw_only=True, tag="reach"):
    """Asks the peer to probe an instance.

    Attributes:
        instance: Name of the instance.
    """

    instance: str


class ReachAnswer(Message, frozen=True, kw_only=True, tag="reached"):
    """Answers a `ReachRequest`.

    Attributes:
        answers: Whether the instance has just answered the peer's probe.
    """

    answers: bool


class ConfirmRequest(Message, frozen=True, kw_only=True, tag="confirm"):
    """Asks a voter whether it knows of a change since a restored leadership row.

    Attributes:
        service: Name of the service.
        epoch: Epoch of the store in which the primary is to be confirmed.
        version: Version of the present leadership row, which does not count; 0 if there
            is none.
        previous: Version of the leadership row before the restore; 0 if there was none,
            and -1 if only the peer's term is asked for.
    """

    service: str
    epoch: int
    version: int
    previous: int


class ConfirmAnswer(Message, frozen=True, kw_only=True, tag="confirmed"):
    """Answers a `ConfirmRequest`.

    Attributes:
        agrees: Whether the voter saw the same leadership row before the restore and
            releases its primary for no change up to the present row any more.
        term: Term of the primary that the peer knew before the restore, or 0.
    """

    agrees: bool
    term: int = 0


class SharedSample(msgspec.Struct, frozen=True, array_like=True):
    """Position of a primary's log at a time.

    Attributes:
        term: Term of the position.
        index: Index of the position.
        time_s: Time or age in seconds, as the message that holds the sample says.
    """

    term: int
    index: int
    time_s: float


class SampleReport(msgspec.Struct, frozen=True, kw_only=True):
    """Samples of a follower, for the voter that it follows.

    Attributes:
        clock_id: Identifies the incarnation of the voter whose clock the times are of.
        samples: Sample by service. Its time is the earliest that it may have been taken
            at, in seconds of the voter's clock.
    """

    clock_id: int
    samples: dict[str, SharedSample]


class SampleAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Samples of a voter, for one of its followers.

    Attributes:
        clock_id: Identifies the incarnation of the voter.
        clock_s: Time of the answer by the voter's clock, in seconds.
        samples: Sample by service, with its age in seconds.
    """

    clock_id: int
    clock_s: float
    samples: dict[str, SharedSample]


class CopyRequest(Message, frozen=True, kw_only=True, tag="copy"):
    """Asks a peer for rows of tables that are newer than the sender's.

    Attributes:
        versions: Version of the sender's copy, by table.
        hold_s: Maximum time in seconds for which the peer may delay the answer until
            a table changes (long poll).
        support: Whether the peer is asked for a grant.
        tables: Names of the tables that are asked for, or None for all.
        deflate: Whether the sender can read deflated rows.
        samples: Positions of primaries that the sender has seen, or None.
        shares: Whether the sender takes part in the exchange of positions.
    """

    versions: dict[str, int]
    hold_s: float = 0.0
    support: bool = True
    tables: list[str] | None = None
    deflate: bool = False
    samples: SampleReport | None = None
    shares: bool = False


class TableAnswer(Message, frozen=True, kw_only=True, tag="table"):
    """Rows of a peer's copy of one table.

    Attributes:
        version: Version of the table up to which the copy is complete.
        age_s: Time since the copy was known to be complete, in seconds.
        rows: Key, version and content of each row that is newer than the copy of the
            proxy that asked. The content of a deleted row is None.
        whole: Whether ``rows`` holds all rows of the table.
        deflated: Keys of the rows whose content is deflated.
    """

    version: int
    age_s: float
    rows: list[tuple[str, int, bytes | None]]
    whole: bool
    deflated: list[str] = []


class CopyAnswer(Message, frozen=True, kw_only=True, tag="copies"):
    """Answers a `CopyRequest`.

    Attributes:
        tables: Newer rows, by name of the table.
        grant_s: Validity of the peer's grant in seconds, during which it releases no
            primary; 0 without a grant.
        held_s: Time for which the peer delayed the answer, in seconds.
        samples: Positions of primaries that the peer knows, or None.
    """

    tables: dict[str, TableAnswer]
    grant_s: float
    held_s: float = 0.0
    samples: SampleAnswer | None = None


class Ping(Message, frozen=True, kw_only=True, tag="ping"):
    """Asks whether the peer is alive.

    `fleet` has membership messages called `Ping` and `Pong` with the same tags. A
    proxy uses either those or these.
    """


class Pong(Message, frozen=True, kw_only=True, tag="pong"):
    """Answers a `Ping`."""


LEASE_MESSAGES = (
    Ping,
    Pong,
    ReleaseRequest,
    Released,
    ChangeRequest,
    ChangeAnswer,
    ConfirmRequest,
    ConfirmAnswer,
    WriteRequest,
    WriteAnswer,
    ReachRequest,
    ReachAnswer,
    CopyRequest,
    CopyAnswer,
)
