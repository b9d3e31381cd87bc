"""How a statement that is neither a hint nor part of a transaction is served."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Read:
    """A statement that surely changes nothing and holds no lock."""


@dataclass(frozen=True, slots=True)
class Write:
    """Any statement that is not surely a plain read."""


@dataclass(frozen=True, slots=True)
class Unsupported:
    """A statement that can't be carried over to an instance."""

    reason: str


Kind = Read | Write | Unsupported
