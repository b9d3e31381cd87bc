"""Log positions."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class LogPosition:
    """Position of an entry in a group's log.

    Positions compare by term first, then by index.

    Attributes:
        term: Term of the primary that wrote the entry.
        index: Number of entries up to and including this one.
    """

    term: int
    index: int


ORIGIN = LogPosition(0, 0)
