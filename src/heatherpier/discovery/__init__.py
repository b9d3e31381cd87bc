"""Which instances there are, and which of them may get work."""

from heatherpier.discovery._registry import MISSING_GRACE_S, InstanceRegistry
from heatherpier.discovery._types import InstanceRecord

__all__ = ["MISSING_GRACE_S", "InstanceRecord", "InstanceRegistry"]
