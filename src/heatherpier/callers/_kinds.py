"""Kinds of the statements that neither set a hint nor control a transaction."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Read:
    """A statement that provably changes nothing and takes no lock."""


@dataclass(frozen=True, slots=True)
class Write:
    """Any supported statement that is not provably a plain read."""


@dataclass(frozen=True, slots=True)
class Unsupported:
    """A statement that the proxy rejects.

    Attributes:
        reason: Why it is rejected, in words for the caller.
    """

    reason: str


Kind = Read | Write | Unsupported
