"""Types of the routing configuration."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class AnyCommit:
    """Reads see every acknowledged commit, so they run on the primary."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BoundedStaleness:
    """Reads see all commits that were acknowledged at least `max_age_s` ago.

    Attributes:
        max_age_s: Maximum age of the data that a read sees, in seconds.
    """

    max_age_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadOwnWrites:
    """Like `BoundedStaleness`, and a session also sees all its own commits.

    Attributes:
        max_age_s: Maximum age of the data that a read sees, in seconds.
    """

    max_age_s: float


Consistency = AnyCommit | BoundedStaleness | ReadOwnWrites


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Service, consistency and priority of the sessions of one database.

    Attributes:
        database: Name of the database, with which callers start a session.
        service: Group of instances that holds the data.
        consistency: Consistency of its reads.
        statement_timeout_s: Longest time for one statement, in seconds.
        objective_s: Latency objective of a whole operation, in seconds.
        priority: Priority of its statements; 0 is served first.
        open_to_all: Whether callers without a known key may use it.
    """

    database: str
    service: str
    consistency: Consistency
    statement_timeout_s: float
    objective_s: float
    priority: int
    open_to_all: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSpec:
    """Properties that all instances of one service share.

    Attributes:
        name: Name of the service.
        max_connections: Number of connections that one instance accepts from all
            proxies together.
        synchronous_replicas: Number of replicas that have a commit before it is
            acknowledged.
    """

    name: str
    max_connections: int
    synchronous_replicas: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """A company whose callers share keys and a rate limit.

    Attributes:
        name: Name by which instances know it.
        priority: Priority among organisations; 0 is the highest.
        rate_per_s: Operations per second that all proxies together may run for it, or
            None if there is no limit.
        burst: Operations that it may run at once beyond the rate.
    """

    name: str
    priority: int = 0
    rate_per_s: float | None = None
    burst: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on the connections of callers.

    Attributes:
        message_bytes: Maximum size of a message, in bytes.
        message_timeout_s: Longest time for the remainder of a message that has begun
            to arrive, in seconds.
        idle_timeout_s: Longest pause between statements, in seconds.
        transaction_idle_s: Longest pause inside a transaction, in seconds.
    """

    message_bytes: int = 1 << 20
    message_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    transaction_idle_s: float = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingTable:
    """One version of the configuration.

    Attributes:
        version: Version of the configuration; it rises with each change.
        routes: Routes by the name of their database.
        services: Services by their name.
        limits: Limits on the connections of callers.
        organisations: Organisations by name, or None if callers are not identified.
        keys: Name of the organisation that holds each key.
    """

    version: int
    routes: Mapping[str, Route] = field(default_factory=dict)
    services: Mapping[str, ServiceSpec] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    organisations: Mapping[str, Organisation] | None = None
    # Left out of the text form, so that no log line or traceback shows a key.
    keys: Mapping[str, str] = field(default_factory=dict, repr=False)
