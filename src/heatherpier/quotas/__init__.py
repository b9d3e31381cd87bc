"""Limits the operations of each organisation over all proxies."""

from heatherpier.quotas._allocators import first_allocators
from heatherpier.quotas._buckets import QuotaWindow, Rate
from heatherpier.quotas._fleet_rows import FleetRows
from heatherpier.quotas._gate import QuotaGate
from heatherpier.quotas._messages import QUOTA_MESSAGES, RightsAnswer, RightsRequest
from heatherpier.quotas._metrics import QuotaMetrics
from heatherpier.quotas._policies import (
    EmptyStart,
    FilledSinceStart,
    FixedShares,
    LossPolicy,
    QuotaPolicy,
    RaisedShares,
)
from heatherpier.quotas._rate_limits import RateLimits
from heatherpier.quotas._right import OpenGate, Refusal, Right

__all__ = [
    "QUOTA_MESSAGES",
    "EmptyStart",
    "FilledSinceStart",
    "FixedShares",
    "FleetRows",
    "LossPolicy",
    "OpenGate",
    "QuotaGate",
    "QuotaMetrics",
    "QuotaPolicy",
    "QuotaWindow",
    "RaisedShares",
    "Rate",
    "RateLimits",
    "Refusal",
    "Right",
    "RightsAnswer",
    "RightsRequest",
    "first_allocators",
]
