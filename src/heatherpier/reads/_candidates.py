"""In which order the instances of a group are asked."""

from heatherpier.groups import Group, InstanceStatus
from heatherpier.reads._freshness import AtLeast, Freshness, Latest, NotOlder, is_fresh
from heatherpier.reads._outcomes import CONTACT_MS


def order_instances(
    group: Group, freshness: Freshness, *, data_centre: str
) -> list[str]:
    """Returns the names of the instances that may get a read, best first.

    Replicas of the own data centre come first, then other replicas, then the
    primary, then those that did not answer lately. Without a floor the primary
    comes first. Instances that are leaving get nothing.
    """

    def rank(name: str) -> tuple[int, bool, str]:
        near = group.pools[name].instance.data_centre == data_centre
        tier = _tier(group.statuses.get(name), freshness)
        return (tier, not near, name)

    staying = [item.name for item in group.spec.instances if not item.leaving]
    return sorted(staying, key=rank)


def _tier(status: InstanceStatus | None, freshness: Freshness) -> int:
    if status is None:
        return 3
    if isinstance(freshness, Latest):
        return 0 if status.leads() else 4
    if status.leads():
        return 1
    return 2 if _is_hopeless(status, freshness) else 0


def _is_hopeless(status: InstanceStatus, freshness: Freshness) -> bool:
    if is_fresh(status, freshness):
        return False
    match freshness:
        case AtLeast():
            return status.contact_ms >= CONTACT_MS or status.age_ms >= CONTACT_MS
        case NotOlder():
            return status.contact_ms >= CONTACT_MS
        case _:
            return False
