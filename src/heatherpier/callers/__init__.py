"""The border with callers: the MySQL protocol."""

from heatherpier.callers._configure import limits_of, ssl_context_of
from heatherpier.callers._errors import CallerError
from heatherpier.callers._limits import CallerLimits
from heatherpier.callers._listener import Listener
from heatherpier.callers._packets import PacketAdapter
from heatherpier.callers._session import CallerSession
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
    "CallerError",
    "CallerLimits",
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
    "limits_of",
    "ssl_context_of",
]
