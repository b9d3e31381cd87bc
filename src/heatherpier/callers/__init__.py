"""Server side of the MySQL protocol, which callers connect to."""

from heatherpier.callers._configure import limits_of, ssl_context_of
from heatherpier.callers._errors import CallerError
from heatherpier.callers._kinds import Read, Unsupported, Write
from heatherpier.callers._limits import CallerLimits
from heatherpier.callers._listener import Listener
from heatherpier.callers._packets import PacketAdapter
from heatherpier.callers._session import CallerSession
from heatherpier.callers._statements import (
    Ignored,
    SelectToken,
    SetAutocommit,
    SetHint,
    Statement,
    classify,
)
from heatherpier.callers._transactions import Begin, Commit, Rollback, Savepoint

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
    "Savepoint",
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
