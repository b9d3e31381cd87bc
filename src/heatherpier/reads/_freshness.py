"""Freshness that a read demands of the data."""

from dataclasses import dataclass

from heatherpier.groups import Group, InstanceStatus
from heatherpier.positions import LogPosition
from heatherpier.requests import Request


@dataclass(frozen=True, slots=True)
class Latest:
    """Everything acknowledged before the read began; there is no minimum position."""


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
    """Returns the freshness that ``req`` demands.

    A stated age replaces the minimum position.
    """
    if req.max_age_ms is not None:
        return NotOlder(req.max_age_ms)
    if req.min_position is not None:
        return AtLeast(req.min_position)
    return Latest()


def freshness_in(group: Group, freshness: Freshness) -> Freshness:
    """Returns the freshness that a read demands of the instances of a group now.

    If no known instance is in the term of the minimum position or a later one, although
    one of them leads, the group may have another log now, in which the position does
    not exist. The primary then serves the read as one without a minimum position, which
    a majority has to confirm: no majority of the former log confirms a lower term.
    """
    match freshness:
        case AtLeast(min_position=min_position):
            statuses = group.statuses.values()
            newest = max((item.adopted_term for item in statuses), default=0)
            led = any(item.leads_before(min_position) for item in statuses)
            return Latest() if led and newest < min_position.term else freshness
        case _:
            return freshness


def is_fresh(status: InstanceStatus, freshness: Freshness) -> bool:
    """Returns whether an instance with ``status`` is fresh enough to read from.

    The adopted term and the term of the last applied entry are compared separately.
    The first shows that the instance is in the minimum position's term or a later one,
    the second that it has applied the entry at the minimum position.
    """
    match freshness:
        case Latest():
            return status.leads()
        case AtLeast(min_position=min_position):
            in_term = status.adopted_term >= min_position.term
            return in_term and status.position >= min_position
        case NotOlder(max_age_ms=max_age_ms):
            return status.leads() or status.age_ms <= max_age_ms
