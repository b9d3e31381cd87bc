"""How much work may be sent to instances, and when to come back."""

from heatherpier.limits._backoff import Backoff, RandomSource

__all__ = ["Backoff", "RandomSource"]
