"""Decoding of the operator's configuration."""

from typing import Literal

import msgspec

from heatherpier.decoding import DECODE_ERRORS
from heatherpier.platform._errors import MalformedRecordError
from heatherpier.routing import (
    AnyCommit,
    BoundedStaleness,
    CallerLimits,
    Consistency,
    Organisation,
    ReadOwnWrites,
    Route,
    RoutingTable,
    ServiceSpec,
)

MS_PER_S = 1000
# Table of the store with the configuration.
CONFIG_TABLE = "op"
# Key of the row with the newest configuration.
CONFIG_KEY = "config"


class RouteBody(msgspec.Struct, kw_only=True, rename="camel"):
    """A route as the platform writes it."""

    # Name of the database with which callers start a session; not a host.
    host: str
    # Consistency of the reads.
    kind: Literal["primary", "bounded_staleness", "read_own_writes"]
    service: str
    # Longest time for one statement.
    timeout_ms: float
    # Latency objective of a whole operation, not of one statement.
    target_latency_ms: float
    priority: int
    # Maximum age of the data that a read sees; not used by kind "primary".
    max_staleness_ms: float = 0
    # Whether callers without a known key may use the route.
    auth_exempt: bool = False


class _Service(msgspec.Struct, kw_only=True, rename="camel"):
    name: str
    # Connections that one instance accepts from all proxies together.
    max_conns: int
    # Replicas that have a commit before it is acknowledged.
    sync_replicas: int = 0


class _Tenant(msgspec.Struct, kw_only=True, rename="camel"):
    name: str
    api_keys: list[str]
    priority: int = 0
    # Operations a second, by all proxies together.
    rate_per_s: float | None = None
    # Operations at once.
    burst: float = 0


class _Limits(msgspec.Struct, kw_only=True, rename="camel"):
    # Maximum size of a whole message, because those of the line protocol have no body.
    max_body_bytes: int = 1 << 20
    # Longest time for the remainder of a message that has begun to arrive, and for
    # the first message of a connection; the line protocol has no headers.
    header_timeout_ms: float = 10_000
    # Longest pause between statements.
    idle_timeout_ms: float = 60_000
    # Longest pause inside a transaction.
    tx_idle_ms: float = 10_000


class ConfigBody(msgspec.Struct, kw_only=True):
    """The configuration as the platform writes it."""

    version: int
    routes: list[RouteBody]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_decoder = msgspec.json.Decoder(ConfigBody)


def decode_body(body: bytes) -> ConfigBody:
    """Decodes a configuration as it is written.

    Raises:
        MalformedRecordError: The configuration can't be decoded.
    """
    try:
        return _decoder.decode(body)
    except DECODE_ERRORS as exc:
        raise MalformedRecordError(f"configuration: {exc}") from exc


def decode_config(body: bytes, *, identifies_callers: bool = False) -> RoutingTable:
    """Decodes a configuration into a routing table.

    Args:
        body: Content of the configuration's row.
        identifies_callers: Whether callers need a key even if the configuration names
            no organisations.

    Raises:
        MalformedRecordError: The configuration can't be decoded.
    """
    cfg = decode_body(body)
    tenants = cfg.tenants
    if tenants is None and identifies_callers:
        tenants = []
    return RoutingTable(
        version=cfg.version,
        routes={item.host: _make_route(item) for item in cfg.routes},
        services={
            item.name: ServiceSpec(
                name=item.name,
                max_connections=item.max_conns,
                synchronous_replicas=item.sync_replicas,
            )
            for item in cfg.services
        },
        limits=CallerLimits(
            message_bytes=cfg.limits.max_body_bytes,
            message_timeout_s=cfg.limits.header_timeout_ms / MS_PER_S,
            idle_timeout_s=cfg.limits.idle_timeout_ms / MS_PER_S,
            transaction_idle_s=cfg.limits.tx_idle_ms / MS_PER_S,
        ),
        organisations=None
        if tenants is None
        else {item.name: make_organisation(item) for item in tenants},
        keys={key: item.name for item in tenants or () for key in item.api_keys},
    )


def make_organisation(item: _Tenant) -> Organisation:
    """Returns an organisation.

    Raises:
        MalformedRecordError: The name is not a word.
    """
    # The name is a word of the message that opens a connection to an instance.
    if not item.name or not item.name.isprintable() or " " in item.name:
        raise MalformedRecordError(f"tenant: expected a word, got {item.name!r:.60}")
    return Organisation(
        name=item.name,
        priority=item.priority,
        rate_per_s=item.rate_per_s,
        burst=item.burst,
    )


def _make_route(item: RouteBody) -> Route:
    return Route(
        database=item.host,
        service=item.service,
        consistency=_make_consistency(item),
        statement_timeout_s=item.timeout_ms / MS_PER_S,
        objective_s=item.target_latency_ms / MS_PER_S,
        priority=item.priority,
        open_to_all=item.auth_exempt,
    )


def _make_consistency(item: RouteBody) -> Consistency:
    max_age_s = item.max_staleness_ms / MS_PER_S
    match item.kind:
        case "primary":
            return AnyCommit()
        case "bounded_staleness":
            return BoundedStaleness(max_age_s=max_age_s)
        case "read_own_writes":
            return ReadOwnWrites(max_age_s=max_age_s)
