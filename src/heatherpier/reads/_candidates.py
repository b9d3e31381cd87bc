"""Order in which a read is attempted on the instances of a group."""

from heatherpier.groups import Group, InstanceStatus
from heatherpier.limits import Admission
from heatherpier.reads._freshness import (
    AtLeast,
    Freshness,
    Latest,
    NotOlder,
    freshness_in,
    is_fresh,
)
from heatherpier.reads._outcomes import RECENT_CONTACT_MS
from heatherpier.requests import Request

# Cost of leaving the own data centre: a local replica is preferred until the wait for
# its slot is this much longer.
REMOTE_COST_S = 0.024


def order_instances(
    group: Group,
    req: Request,
    freshness: Freshness,
    *,
    admission: Admission,
    data_centre: str,
) -> list[str]:
    """Returns the names of the instances that may get a read, best first.

    Replicas come first, those of the own data centre before others unless they are
    busier; then the primary, then replicas that are too stale, then instances without
    a known status. `Latest` puts the primary first and replicas last. Instances that
    are leaving are left out.
    """
    freshness = freshness_in(group, freshness)

    def rank(name: str) -> tuple[int, float, str]:
        near = group.pools[name].instance.data_centre == data_centre
        tier = _tier(group.statuses.get(name), freshness)
        wait_s = admission.expected_wait_s(name, priority=req.priority, user=req.user)
        return (tier, wait_s + (0 if near else REMOTE_COST_S), name)

    available = [item.name for item in group.spec.instances if not item.leaving]
    return sorted(available, key=rank)


def _tier(status: InstanceStatus | None, freshness: Freshness) -> int:
    """Returns the preference class of an instance; lower ones come first."""
    if status is None:
        return 3
    if isinstance(freshness, Latest):
        return 0 if status.leads() else 4
    if status.leads():
        return 1
    return 2 if _is_too_stale(status, freshness) else 0


def _is_too_stale(status: InstanceStatus, freshness: Freshness) -> bool:
    """Returns whether a replica is too stale and unlikely to catch up soon."""
    if is_fresh(status, freshness):
        return False
    match freshness:
        case AtLeast():
            return (
                status.contact_ms >= RECENT_CONTACT_MS
                or status.age_ms >= RECENT_CONTACT_MS
            )
        case NotOlder():
            return status.contact_ms >= RECENT_CONTACT_MS
        case _:
            return False
