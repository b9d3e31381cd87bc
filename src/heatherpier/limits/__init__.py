"""Admission control for instances, and limits and delays of retries."""

from heatherpier.limits._admission import Admission
from heatherpier.limits._backoff import Backoff, RandomSource
from heatherpier.limits._queue import StatementKind
from heatherpier.limits._retries import RetryBudget

__all__ = ["Admission", "Backoff", "RandomSource", "RetryBudget", "StatementKind"]
