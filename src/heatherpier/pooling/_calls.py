"""What is sent to an instance on one connection."""

from dataclasses import dataclass

from heatherpier.groups import LogPosition
from heatherpier.statements import Access


@dataclass(frozen=True, slots=True, kw_only=True)
class Forward:
    """A caller's statement, with its own id and text.

    Attributes:
        id: The caller's id.
        text: The caller's text.
        min_position: Least position that the instance's log must hold, or None.
    """

    id: str
    text: str
    min_position: LogPosition | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardExecute:
    """A caller's prepared statement under the connection's name of it.

    Attributes:
        id: The caller's id.
        name: Name of the prepared statement on the connection.
        arguments: The caller's arguments.
        min_position: Least position that the instance's log must hold, or None.
    """

    id: str
    name: str
    arguments: str
    min_position: LogPosition | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenTransaction:
    """Opens a transaction on the connection."""

    read_only: bool
    min_position: LogPosition | None = None


@dataclass(frozen=True, slots=True)
class RollBack:
    """Rolls the connection's transaction back."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ApplyValue:
    """Sets a session value on the connection."""

    name: str
    value: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PrepareShape:
    """Prepares a statement on the connection."""

    name: str
    access: Access
    shape: str


@dataclass(frozen=True, slots=True)
class ClearSession:
    """Clears the connection's session values and prepared statements."""


@dataclass(frozen=True, slots=True)
class FetchStatus:
    """Asks the instance for its role, terms and position."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Demote:
    """Makes the instance a replica if it leads a lower term.

    Attributes:
        term: The term.
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
