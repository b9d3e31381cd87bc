"""The border with callers: the MySQL protocol."""

from heatherpier.callers._listener import CallerSession, Listener
from heatherpier.callers._packets import PacketAdapter
from heatherpier.callers._statements import (
    Begin,
    Commit,
    Ignored,
    Read,
    Rollback,
    SelectToken,
    SetAutocommit,
    SetHint,
    Statement,
    Unsupported,
    Write,
    classify,
)

__all__ = [
    "Begin",
    "CallerSession",
    "Commit",
    "Ignored",
    "Listener",
    "PacketAdapter",
    "Read",
    "Rollback",
    "SelectToken",
    "SetAutocommit",
    "SetHint",
    "Statement",
    "Unsupported",
    "Write",
    "classify",
]
