"""What a caller asks for and the final answers it can get."""

from heatherpier.requests._errors import (
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
