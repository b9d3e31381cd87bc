"""Bounds of a pool."""

from dataclasses import dataclass


@dataclass(slots=True)
class PoolLimits:
    """Bounds of a pool, which may change at any time.

    Attributes:
        soft_limit: Number of connections that are opened as soon as they are needed.
        hard_limit: Maximum number of connections, reached only while waiters would
            otherwise wait long.
    """

    soft_limit: int
    hard_limit: int
