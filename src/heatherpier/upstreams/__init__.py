"""Connections and connection pools to the instances of database groups."""

from heatherpier.upstreams._errors import (
    AnswerTimeoutError,
    ConnectError,
    ConnectionLostError,
    InstanceLeavingError,
    InstanceUnreachableError,
    PathLostError,
    PoolBusyError,
    StatementError,
    TooManyConnectionsError,
    UpstreamError,
)
from heatherpier.upstreams._interface import (
    Column,
    Connection,
    Connector,
    Instance,
    Result,
)
from heatherpier.upstreams._pool import Pool, PooledConnection

__all__ = [
    "AnswerTimeoutError",
    "Column",
    "ConnectError",
    "Connection",
    "ConnectionLostError",
    "Connector",
    "Instance",
    "InstanceLeavingError",
    "InstanceUnreachableError",
    "PathLostError",
    "Pool",
    "PoolBusyError",
    "PooledConnection",
    "Result",
    "StatementError",
    "TooManyConnectionsError",
    "UpstreamError",
]
