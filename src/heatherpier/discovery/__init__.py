"""Registry of the instances of all services."""

from heatherpier.discovery._registry import (
    DELIVERY_S,
    MISSING_GRACE_S,
    SENDING_S,
    InstanceRegistry,
)
from heatherpier.discovery._types import InstanceRecord

__all__ = [
    "DELIVERY_S",
    "MISSING_GRACE_S",
    "SENDING_S",
    "InstanceRecord",
    "InstanceRegistry",
]
