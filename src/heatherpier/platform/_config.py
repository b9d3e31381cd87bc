"""Decoding of the operator's configuration."""

from typing import Literal

import msgspec

from heatherpier.platform._errors import MalformedRecordError
from heatherpier.routing import (
    AnyCommit,
    BoundedStaleness,
    CallerLimits,
    Consistency,
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


class _Route(msgspec.Struct, kw_only=True, rename="camel"):
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


class _Service(msgspec.Struct, kw_only=True, rename="camel"):
    name: str
    # Connections that one instance accepts from all proxies together.
    max_conns: int
    # Replicas that have a commit before it is acknowledged.
    sync_replicas: int = 0


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


class _Config(msgspec.Struct, kw_only=True):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


_decoder = msgspec.json.Decoder(_Config)


def decode_config(body: bytes) -> RoutingTable:
    """Decodes a configuration into a routing table.

    Raises:
        MalformedRecordError: The configuration can't be decoded.
    """
    try:
        cfg = _decoder.decode(body)
    except msgspec.MsgspecError as exc:
        raise MalformedRecordError(f"configuration: {exc}") from exc
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
    )


def _make_route(item: _Route) -> Route:
    return Route(
        database=item.host,
        service=item.service,
        consistency=_make_consistency(item),
        statement_timeout_s=item.timeout_ms / MS_PER_S,
        objective_s=item.target_latency_ms / MS_PER_S,
        priority=item.priority,
    )


def _make_consistency(item: _Route) -> Consistency:
    max_age_s = item.max_staleness_ms / MS_PER_S
    match item.kind:
        case "primary":
            return AnyCommit()
        case "bounded_staleness":
            return BoundedStaleness(max_age_s=max_age_s)
        case "read_own_writes":
            return ReadOwnWrites(max_age_s=max_age_s)
