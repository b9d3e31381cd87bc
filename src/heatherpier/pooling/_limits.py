"""Bounds of a pool."""

from dataclasses import dataclass

# A connection is closed after it was idle for this long, unless the pool has no other.
# If all proxies lose power at once, the instance keeps counting their connections for
# 3 s, and what it accepts beyond these is all that the proxies have after their start.
IDLE_LIMIT_S = 2.0


@dataclass(slots=True)
class PoolLimits:
    """Bounds of a pool, which may change at any time.

    Attributes:
        soft_limit: Number of connections that are opened as soon as they are needed.
        hard_limit: Maximum number of connections, reached only while waiters would
            otherwise wait long.
        idle_s: Time in seconds after which an idle connection is closed, unless the
            pool has no other.
    """

    soft_limit: int
    hard_limit: int
    idle_s: float = IDLE_LIMIT_S
