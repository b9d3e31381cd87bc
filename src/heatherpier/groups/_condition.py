"""Assesses the condition of a group's primary from the last known statuses."""

from collections.abc import Collection
from dataclasses import dataclass

from heatherpier.groups._errors import NoPrimaryError
from heatherpier.groups._group import Group
from heatherpier.groups._types import InstanceStatus

# A replica that has not heard from its primary for longer is cut off from it.
MAX_CONTACT_AGE_MS = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class PrimaryHealthy:
    """The primary answers and enough of its replicas hear from it.

    Attributes:
        primary: Name of the instance.
    """

    primary: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PrimaryLost:
    """No primary is known, or a majority has adopted a term above the primary's.

    Attributes:
        expected: Name of the instance that the replicas of the highest term follow,
            or empty if they follow none.
    """

    expected: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PrimaryIsolated:
    """The primary answers, but it is cut off from its replicas.

    As many replicas as make a majority of the group do not hear from it.

    Attributes:
        primary: Name of the instance.
    """

    primary: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TermUnfinished:
    """Some instances, fewer than a majority, adopted a term above the primary's.

    Attributes:
        primary: Name of the instance.
    """

    primary: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PrimaryLeaving:
    """The primary must get no new work and another instance can take over.

    Attributes:
        primary: Name of the instance.
        target: Name of the replica to promote.
    """

    primary: str
    target: str


Condition = (
    PrimaryHealthy | PrimaryLost | PrimaryIsolated | TermUnfinished | PrimaryLeaving
)


def assess(group: Group) -> Condition:
    """Returns the condition of a group's primary.

    Args:
        group: The group as seen by this proxy.
    """
    try:
        primary = group.primary()
    except NoPrimaryError:
        return PrimaryLost(expected=expected_primary(group.statuses.values()))
    name = primary.instance
    if any(
        item.adopted_term > primary.adopted_term for item in group.statuses.values()
    ):
        return TermUnfinished(primary=name)
    followers = _followers_of(group, primary)
    isolated = [item for item in followers if item.contact_ms > MAX_CONTACT_AGE_MS]
    if len(isolated) >= group.spec.majority:
        return PrimaryIsolated(primary=name)
    target = _choose_successor(group, followers)
    if name in group.spec.leaving and target:
        return PrimaryLeaving(primary=name, target=target)
    return PrimaryHealthy(primary=name)


def expected_primary(statuses: Collection[InstanceStatus]) -> str:
    """Returns the instance that the highest term's replicas follow, or empty.

    Args:
        statuses: Statuses of one group's instances.
    """
    highest = max((item.adopted_term for item in statuses), default=0)
    names = {item.primary for item in statuses if item.adopted_term == highest}
    names.discard("")
    return min(names, default="")


def _followers_of(group: Group, primary: InstanceStatus) -> list[InstanceStatus]:
    return [
        item
        for item in group.statuses.values()
        if item.instance != primary.instance
        and item.adopted_term == primary.adopted_term
        and item.primary == primary.instance
    ]


def _choose_successor(group: Group, followers: Collection[InstanceStatus]) -> str:
    candidates = [
        item
        for item in followers
        if item.instance not in group.spec.leaving
        and item.contact_ms <= MAX_CONTACT_AGE_MS
    ]
    furthest = max(candidates, key=lambda item: item.position, default=None)
    return furthest.instance if furthest is not None else ""
