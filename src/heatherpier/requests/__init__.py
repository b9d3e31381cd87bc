"""Requests of callers and their final answers."""

from heatherpier.requests._errors import (
    AlreadyRunError,
    FinalError,
    NotRunError,
    OutcomeUnknownError,
    OverloadedError,
    ReadOnlyError,
    RefusedError,
    StatementRejectedError,
    TooStaleError,
)
from heatherpier.requests._types import Answer, Priority, Request

__all__ = [
    "AlreadyRunError",
    "Answer",
    "FinalError",
    "NotRunError",
    "OutcomeUnknownError",
    "OverloadedError",
    "Priority",
    "ReadOnlyError",
    "RefusedError",
    "Request",
    "StatementRejectedError",
    "TooStaleError",
]
