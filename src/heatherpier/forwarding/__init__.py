"""Homes, which own the connections to instances, and the forwarding to them."""

from heatherpier.forwarding._connector import RemoteConnector, RemotePool
from heatherpier.forwarding._forwarding import Forwarding
from heatherpier.forwarding._homes import HomeDirectory
from heatherpier.forwarding._link import RemoteLink
from heatherpier.forwarding._loads import HomeLoad, HomeLoads
from heatherpier.forwarding._messages import (
    FORWARDING_MESSAGES,
    ForwardAnswer,
    ForwardEnd,
    ForwardRequest,
    HomeProbe,
    HomeStatus,
)
from heatherpier.forwarding._metrics import ForwardingMetrics
from heatherpier.forwarding._monitor import HomeMonitor
from heatherpier.forwarding._server import ForwardingServer

__all__ = [
    "FORWARDING_MESSAGES",
    "ForwardAnswer",
    "ForwardEnd",
    "ForwardRequest",
    "Forwarding",
    "ForwardingMetrics",
    "ForwardingServer",
    "HomeDirectory",
    "HomeLoad",
    "HomeLoads",
    "HomeMonitor",
    "HomeProbe",
    "HomeStatus",
    "RemoteConnector",
    "RemoteLink",
    "RemotePool",
]
