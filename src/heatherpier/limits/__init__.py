"""Admission control for instances, order of waiters, limits and delays of retries."""

from heatherpier.limits._admission import Admission
from heatherpier.limits._backoff import Backoff, RandomSource
from heatherpier.limits._class_queue import QueueEntry
from heatherpier.limits._fair_queue import FairQueue, Hopeless
from heatherpier.limits._queue import StatementKind
from heatherpier.limits._retries import RetryBudget

__all__ = [
    "Admission",
    "Backoff",
    "FairQueue",
    "Hopeless",
    "QueueEntry",
    "RandomSource",
    "RetryBudget",
    "StatementKind",
]
