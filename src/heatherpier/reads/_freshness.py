"""How fresh the data of a read must be."""

from dataclasses import dataclass

from heatherpier.groups import InstanceStatus, LogPosition
from heatherpier.requests import Request


@dataclass(frozen=True, slots=True)
class Latest:
    """All that was acknowledged before the read began; no minimum position is known."""


@dataclass(frozen=True, slots=True)
class AtLeast:
    """All entries up to the session's minimum position."""

    min_position: LogPosition


@dataclass(frozen=True, slots=True)
class NotOlder:
    """Data of at most the stated age in milliseconds."""

    max_age_ms: int


Freshness = Latest | AtLeast | NotOlder


def freshness_of(req: Request) -> Freshness:
    """Returns what ``req`` demands. A stated age stands in place of the minimum position."""
    if req.max_age_ms is not None:
        return NotOlder(req.max_age_ms)
    if req.min_position is not None:
        return AtLeast(req.min_position)
    return Latest()


def is_fresh(status: InstanceStatus, freshness: Freshness) -> bool:
    """Tells whether an instance with ``status`` may be read from.

    The adopted term and the term of the last applied entry are two things: the
    first shows that the instance takes part in the minimum position's term or a later one,
    the second that it has applied the minimum position's entry.
    """
    match freshness:
        case Latest():
            return status.leads()
        case AtLeast(min_position=min_position):
            in_term = status.adopted_term >= min_position.term
            return in_term and status.position >= min_position
        case NotOlder(max_age_ms=max_age_ms):
            return status.leads() or status.age_ms <= max_age_ms
