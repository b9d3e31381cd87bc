"""Pools of connections to instances, which sessions share."""

from heatherpier.pooling._calls import (
    ApplyValue,
    Call,
    ClearSession,
    Demote,
    FetchStatus,
    Forward,
    ForwardExecute,
    OpenTransaction,
    PrepareShape,
    RollBack,
)
from heatherpier.pooling._connection import InstanceConnection, SessionNeeds, shape_name
from heatherpier.pooling._interface import InstanceConnector, InstanceLink, Pool
from heatherpier.pooling._pool import ConnectionPool, PoolLimits
from heatherpier.pooling._pools import InstancePools
from heatherpier.pooling._shares import CONTROL_CONNECTIONS, ConnectionShares

__all__ = [
    "CONTROL_CONNECTIONS",
    "ApplyValue",
    "FetchStatus",
    "Call",
    "ClearSession",
    "ConnectionShares",
    "Demote",
    "Forward",
    "ForwardExecute",
    "InstanceConnector",
    "InstanceLink",
    "InstancePools",
    "ConnectionPool",
    "InstanceConnection",
    "OpenTransaction",
    "Pool",
    "PoolLimits",
    "PrepareShape",
    "RollBack",
    "SessionNeeds",
    "shape_name",
]
