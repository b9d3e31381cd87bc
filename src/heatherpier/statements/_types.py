"""Statements that a caller can send."""

from dataclasses import dataclass
from enum import Enum


class Access(Enum):
    """Whether a prepared statement reads or writes."""

    READ = "read"
    WRITE = "write"


@dataclass(frozen=True, slots=True, kw_only=True)
class Begin:
    """Opens a transaction.

    Attributes:
        read_only: Whether the transaction may only read.
    """

    read_only: bool


@dataclass(frozen=True, slots=True)
class Commit:
    """Commits the open transaction."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Rolls back the open transaction."""


@dataclass(frozen=True, slots=True)
class Read:
    """Reads one item."""


@dataclass(frozen=True, slots=True)
class Write:
    """Writes one item."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SetValue:
    """Sets a session value."""

    name: str
    value: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Prepare:
    """Prepares a statement under a name that is private to the session.

    Attributes:
        name: The session's name of the prepared statement.
        access: Whether it reads or writes.
        shape: Text of the statement, without arguments.
    """

    name: str
    access: Access
    shape: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Execute:
    """Runs a prepared statement.

    Attributes:
        name: The session's name of the prepared statement.
        arguments: Everything after the name, unchanged.
    """

    name: str
    arguments: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Deallocate:
    """Deletes a prepared statement of the session."""

    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """A text that is not a valid statement.

    Attributes:
        reason: Why it is not valid.
    """

    reason: str


Statement = (
    Begin
    | Commit
    | Rollback
    | Read
    | Write
    | SetValue
    | Prepare
    | Execute
    | Deallocate
    | Unknown
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Query:
    """One statement of a caller.

    Attributes:
        id: The caller's id of the statement, also used towards instances and in logs.
        text: The statement as the caller wrote it.
        statement: The parsed statement.
    """

    id: str
    text: str
    statement: Statement
