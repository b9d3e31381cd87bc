"""Sessions of callers and the choice of the instance that runs each statement."""

from heatherpier.serving._context import ServingContext
from heatherpier.serving._health import InstanceHealth
from heatherpier.serving._metrics import ServingMetrics
from heatherpier.serving._positions import PositionHistory, PositionSample
from heatherpier.serving._read_balancer import ReadBalancer
from heatherpier.serving._replica_selector import ReplicaSelector
from heatherpier.serving._runner import Runner
from heatherpier.serving._session import (
    IDLE_TOO_LONG,
    STOPPING,
    CallerSession,
    find_route,
    identify_caller,
)
from heatherpier.serving._shared_positions import SharedPositions

__all__ = [
    "IDLE_TOO_LONG",
    "STOPPING",
    "CallerSession",
    "ServingContext",
    "InstanceHealth",
    "ReplicaSelector",
    "PositionHistory",
    "Runner",
    "PositionSample",
    "ReadBalancer",
    "ServingMetrics",
    "SharedPositions",
    "find_route",
    "identify_caller",
]
