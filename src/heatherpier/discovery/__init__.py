"""Registry of the instances of all services."""

from heatherpier.discovery._registry import MISSING_GRACE_S, InstanceRegistry
from heatherpier.discovery._types import InstanceRecord

__all__ = ["MISSING_GRACE_S", "InstanceRecord", "InstanceRegistry"]
