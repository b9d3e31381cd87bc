"""Finds the primary for a write, for as long as there is a chance of one."""

from heatherpier.groups import Group, InstanceStatus, NoPrimaryError
from heatherpier.requests import ReadOnlyError
from heatherpier.timers import Timers

POLL_S = 0.1
# A group of which no majority answers for this long gets no primary soon.
NO_PRIMARY_TIMEOUT_S = 1.0
RETRY_AFTER_MS = 1000


async def find_primary(
    group: Group, *, timers: Timers, deadline: float
) -> InstanceStatus:
    """Returns the primary, waiting for one while a majority answers.

    Args:
        group: The group.
        timers: Timer service.
        deadline: Monotonic time in seconds.

    Raises:
        ReadOnlyError: The group has no primary and gets none in time.
    """
    lost_since: float | None = None
    while True:
        now = timers.now()
        try:
            return await group.wait_for_primary(deadline=min(now + POLL_S, deadline))
        except NoPrimaryError as exc:
            if now >= deadline:
                raise ReadOnlyError(str(exc), retry_after_ms=RETRY_AFTER_MS) from exc
        if len(group.statuses) >= group.spec.majority:
            lost_since = None
            continue
        lost_since = now if lost_since is None else lost_since
        if now - lost_since >= NO_PRIMARY_TIMEOUT_S:
            raise ReadOnlyError(
                f"{group.spec.name}: no majority of its instances answers",
                retry_after_ms=RETRY_AFTER_MS,
            )
