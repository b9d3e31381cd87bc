"""In which order the instances of a group are asked."""

from heatherpier.groups import Group, InstanceStatus
from heatherpier.limits import Admission
from heatherpier.reads._freshness import AtLeast, Freshness, Latest, NotOlder, is_fresh
from heatherpier.reads._outcomes import CONTACT_MS
from heatherpier.requests import Request

# A read may as well wait this long as go to another data centre.
FAR_COST_S = 0.024


def order_instances(
    group: Group,
    req: Request,
    freshness: Freshness,
    *,
    admission: Admission,
    data_centre: str,
) -> list[str]:
    """Returns the names of the instances that may get a read, best first.

    Replicas come first, those of the own data centre before others unless they
    are busier; then the primary, then those that did not answer lately. Without
    a minimum position the primary comes first. Instances that are leaving get nothing.
    """

    def rank(name: str) -> tuple[int, float, str]:
        near = group.pools[name].instance.data_centre == data_centre
        tier = _tier(group.statuses.get(name), freshness)
        wait_s = admission.expected_wait_s(name, priority=req.priority, user=req.user)
        return (tier, wait_s + (0 if near else FAR_COST_S), name)

    staying = [item.name for item in group.spec.instances if not item.leaving]
    return sorted(staying, key=rank)


def _tier(status: InstanceStatus | None, freshness: Freshness) -> int:
    if status is None:
        return 3
    if isinstance(freshness, Latest):
        return 0 if status.leads() else 4
    if status.leads():
        return 1
    return 2 if _is_too_stale(status, freshness) else 0


def _is_too_stale(status: InstanceStatus, freshness: Freshness) -> bool:
    if is_fresh(status, freshness):
        return False
    match freshness:
        case AtLeast():
            return status.contact_ms >= CONTACT_MS or status.age_ms >= CONTACT_MS
        case NotOlder():
            return status.contact_ms >= CONTACT_MS
        case _:
            return False
