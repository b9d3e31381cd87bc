"""Routes of the databases: their services, consistency and limits."""

from heatherpier.routing._active_routes import ActiveRoutes
from heatherpier.routing._types import (
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

__all__ = [
    "AnyCommit",
    "BoundedStaleness",
    "CallerLimits",
    "Consistency",
    "Organisation",
    "ReadOwnWrites",
    "Route",
    "ActiveRoutes",
    "RoutingTable",
    "ServiceSpec",
]
