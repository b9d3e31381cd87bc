"""What state a group's primary is in, judged from the last known statuses."""

from collections.abc import Collection
from dataclasses import dataclass

from heatherpier.groups._errors import NoPrimaryError
from heatherpier.groups._group import Group
from heatherpier.groups._types import InstanceStatus

# A replica that last heard from its primary longer ago has lost it, in ms.
ISOLATED_MS = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class PrimaryWorks:
    """The primary answers and its replicas hear from it."""

    primary: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PrimaryLost:
    """No instance is known to lead.

    Attributes:
        expected: Instance that the replicas follow, or empty if they follow none.
    """

    expected: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PrimaryIsolated:
    """The primary answers, but a majority of the others does not hear from it."""

    primary: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TermUnfinished:
    """Fewer than a majority adopted a term above the primary's."""

    primary: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PrimaryLeaving:
    """The primary must get no new work and another instance can take over."""

    primary: str
    target: str


Condition = (
    PrimaryWorks | PrimaryLost | PrimaryIsolated | TermUnfinished | PrimaryLeaving
)


def assess(group: Group) -> Condition:
    """Returns the condition of a group's primary.

    Args:
        group: The group as this proxy knows it.
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
    followers = _followers(group, primary)
    deaf = [item for item in followers if item.contact_ms > ISOLATED_MS]
    if len(deaf) >= group.spec.majority:
        return PrimaryIsolated(primary=name)
    target = _successor(group, followers)
    if name in group.spec.leaving and target:
        return PrimaryLeaving(primary=name, target=target)
    return PrimaryWorks(primary=name)


def expected_primary(statuses: Collection[InstanceStatus]) -> str:
    """Returns the instance that replicas of the highest term follow, or empty.

    Args:
        statuses: Statuses of one group's instances.
    """
    highest = max((item.adopted_term for item in statuses), default=0)
    names = {item.primary for item in statuses if item.adopted_term == highest}
    names.discard("")
    return min(names, default="")


def _followers(group: Group, primary: InstanceStatus) -> list[InstanceStatus]:
    return [
        item
        for item in group.statuses.values()
        if item.instance != primary.instance
        and item.adopted_term == primary.adopted_term
        and item.primary == primary.instance
    ]


def _successor(group: Group, followers: Collection[InstanceStatus]) -> str:
    able = [
        item
        for item in followers
        if item.instance not in group.spec.leaving and item.contact_ms <= ISOLATED_MS
    ]
    best = max(able, key=lambda item: item.position, default=None)
    return best.instance if best is not None else ""
