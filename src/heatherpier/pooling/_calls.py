"""Calls that the proxy sends to an instance."""

from dataclasses import dataclass

from heatherpier.positions import LogPosition
from heatherpier.statements import Access


@dataclass(frozen=True, slots=True, kw_only=True)
class Forward:
    """Runs a caller's statement as the caller wrote it.

    Attributes:
        id: The caller's id of the statement.
        text: The caller's text of the statement.
        min_position: Minimum log position that the instance must have, or None
            if any will do.
    """

    id: str
    text: str
    min_position: LogPosition | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardExecute:
    """Runs a prepared statement for a caller.

    Attributes:
        id: The caller's id of the statement.
        name: Name of the prepared statement on the connection.
        arguments: The caller's arguments, unchanged.
        min_position: Minimum log position that the instance must have, or None
            if any will do.
    """

    id: str
    name: str
    arguments: str
    min_position: LogPosition | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenTransaction:
    """Opens a transaction on the connection.

    Attributes:
        read_only: Whether the transaction may only read.
        min_position: Minimum log position that the instance must have, or None
            if any will do.
    """

    read_only: bool
    min_position: LogPosition | None = None


@dataclass(frozen=True, slots=True)
class RollBack:
    """Rolls back the connection's transaction."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ApplyValue:
    """Sets a session value on the connection."""

    name: str
    value: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PrepareShape:
    """Prepares a statement on the connection.

    Attributes:
        name: Name under which it is run later.
        access: Whether it reads or writes.
        shape: Text of the statement, without arguments.
    """

    name: str
    access: Access
    shape: str


@dataclass(frozen=True, slots=True)
class ClearSession:
    """Clears the connection's session values and prepared statements."""


@dataclass(frozen=True, slots=True)
class FetchStatus:
    """Fetches the role, terms and log position of the instance."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Demote:
    """Makes the instance a replica if it is the primary of a lower term.

    Attributes:
        term: Term below which a primary is demoted.
    """

    term: int


Call = (
    Forward
    | ForwardExecute
    | OpenTransaction
    | RollBack
    | ApplyValue
    | PrepareShape
    | ClearSession
    | FetchStatus
    | Demote
)
