"""How much work may be sent to instances, and when to come back."""

from heatherpier.limits._admission import Admission
from heatherpier.limits._backoff import Backoff, RandomSource
from heatherpier.limits._queue import StatementKind
from heatherpier.limits._retries import RetryBudget

__all__ = ["Admission", "Backoff", "RandomSource", "RetryBudget", "StatementKind"]
