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
from heatherpier.pooling._limits import PoolLimits
from heatherpier.pooling._metrics import WaiterMetrics
from heatherpier.pooling._pool import ConnectionPool
from heatherpier.pooling._pools import InstancePools
from heatherpier.pooling._shares import CONTROL_CONNECTIONS, ConnectionShares
from heatherpier.pooling._uses import ConnectionUse
from heatherpier.pooling._waiters import FairOrder

__all__ = [
    "CONTROL_CONNECTIONS",
    "ApplyValue",
    "FetchStatus",
    "Call",
    "ClearSession",
    "ConnectionShares",
    "ConnectionUse",
    "Demote",
    "FairOrder",
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
    "WaiterMetrics",
    "shape_name",
]
