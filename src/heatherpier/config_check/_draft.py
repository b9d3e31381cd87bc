"""A configuration as it is written, with entries that others replace."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from heatherpier.routing import Organisation


class AgeLimit(Enum):
    """Whether a consistency needs a maximum age of the data."""

    UNUSED = "unused"
    OPTIONAL = "optional"
    REQUIRED = "required"


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteEntry:
    """One entry of the list of routes.

    Attributes:
        database: Name of the database.
        service: Name of the service.
        consistency: Consistency of its reads, for people.
        age_limit: Whether this consistency needs a maximum age.
        max_age_s: Maximum age of the data in seconds, or None if not stated.
        statement_timeout_s: Longest time for one statement, in seconds.
        objective_s: Latency objective in seconds, or None if there is none.
        priority: Priority of its statements; 0 is served first.
        open_to_all: Whether callers without a known key may use it.
    """

    database: str
    service: str
    consistency: str
    age_limit: AgeLimit
    max_age_s: float | None
    statement_timeout_s: float
    objective_s: float | None = None
    priority: int = 0
    open_to_all: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceEntry:
    """One entry of the list of services.

    Attributes:
        name: Name of the service.
        accepted: Connections that one instance accepts.
        promised: Connections of an instance that the configuration counts on.
        settings: Further settings, by their name for people.
    """

    name: str
    accepted: int
    promised: int
    settings: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyEntry:
    """A key and the organisation that lists it.

    Attributes:
        key: The key, left out of the text form.
        organisation: Name of the organisation.
    """

    key: str = field(repr=False)
    organisation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Draft:
    """A configuration as it is written.

    Attributes:
        version: Its version, or None if it states none.
        routes: Entries of routes, in order; of one database the last one applies.
        services: Entries of services, in order.
        organisations: Entries of organisations, or None if callers are not identified.
        keys: Keys as the organisations list them.
        settings: Other settings, by the place of what they belong to and their name
            for people.
    """

    version: int | None = None
    routes: tuple[RouteEntry, ...] = ()
    services: tuple[ServiceEntry, ...] = ()
    organisations: tuple[Organisation, ...] | None = None
    keys: tuple[KeyEntry, ...] = ()
    settings: Mapping[str, Mapping[str, str]] = field(default_factory=dict)
