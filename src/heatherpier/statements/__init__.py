"""Statements of sessions and their answers, independent of the protocol."""

from heatherpier.statements._answers import (
    Code,
    Done,
    Failed,
    Outcome,
    Reply,
    SessionState,
)
from heatherpier.statements._types import (
    Access,
    Begin,
    Commit,
    Deallocate,
    Execute,
    Prepare,
    Query,
    Read,
    Rollback,
    SetValue,
    Statement,
    Unknown,
    Write,
)

__all__ = [
    "Access",
    "Begin",
    "Code",
    "Commit",
    "Deallocate",
    "Done",
    "Execute",
    "Failed",
    "Outcome",
    "Prepare",
    "Query",
    "Read",
    "Reply",
    "Rollback",
    "SessionState",
    "SetValue",
    "Statement",
    "Unknown",
    "Write",
]
