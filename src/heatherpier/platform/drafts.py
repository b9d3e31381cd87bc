"""Decodes the operator's configuration as it is written, to check it."""

from heatherpier.config_check import (
    AgeLimit,
    Draft,
    KeyEntry,
    RouteEntry,
    ServiceEntry,
)
from heatherpier.platform._config import (
    MS_PER_S,
    ConfigBody,
    RouteBody,
    decode_body,
    make_organisation,
)
from heatherpier.pooling import CONTROL_CONNECTIONS

CONSISTENCIES = {
    "primary": ("any commit", AgeLimit.UNUSED),
    "bounded_staleness": ("bounded staleness", AgeLimit.REQUIRED),
    "read_own_writes": ("own writes", AgeLimit.REQUIRED),
}


def decode_draft(body: bytes) -> Draft:
    """Decodes a configuration with the entries that others replace.

    Raises:
        MalformedRecordError: The configuration can't be decoded.
    """
    cfg = decode_body(body)
    tenants = cfg.tenants
    return Draft(
        version=cfg.version,
        routes=tuple(_make_entry(item) for item in cfg.routes),
        services=tuple(
            ServiceEntry(
                name=item.name,
                accepted=item.max_conns,
                # One for statements beside those for control statements.
                promised=1 + CONTROL_CONNECTIONS,
                settings={"synchronous replicas": str(item.sync_replicas)},
            )
            for item in cfg.services
        ),
        organisations=None
        if tenants is None
        else tuple(make_organisation(item) for item in tenants),
        keys=tuple(
            KeyEntry(key=key, organisation=item.name)
            for item in tenants or ()
            for key in item.api_keys
        ),
        settings={"limits": _limits(cfg)},
    )


def _make_entry(item: RouteBody) -> RouteEntry:
    consistency, age_limit = CONSISTENCIES[item.kind]
    return RouteEntry(
        database=item.host,
        service=item.service,
        consistency=consistency,
        age_limit=age_limit,
        max_age_s=item.max_staleness_ms / MS_PER_S or None,
        statement_timeout_s=item.timeout_ms / MS_PER_S,
        objective_s=item.target_latency_ms / MS_PER_S,
        priority=item.priority,
        open_to_all=item.auth_exempt,
    )


def _limits(cfg: ConfigBody) -> dict[str, str]:
    return {
        "message": f"{cfg.limits.max_body_bytes} bytes",
        "message timeout": f"{cfg.limits.header_timeout_ms:g} ms",
        "idle timeout": f"{cfg.limits.idle_timeout_ms:g} ms",
        "transaction idle limit": f"{cfg.limits.tx_idle_ms:g} ms",
    }
