"""Finds the primary for a write, while the group can still get one."""

from heatherpier.groups import Group, InstanceStatus, NoPrimaryError
from heatherpier.requests import ReadOnlyError
from heatherpier.timers import Timers

POLL_S = 0.1
# Time without answers from a majority after which a write is refused. A primary
# can't be promoted without a majority, so it would wait in vain until its deadline.
NO_PRIMARY_TIMEOUT_S = 1.0
RETRY_AFTER_MS = 1000


async def find_primary(
    group: Group, *, timers: Timers, deadline: float
) -> InstanceStatus:
    """Returns the primary, and waits for one while a majority answers.

    Args:
        group: Group of the write.
        timers: Timer service.
        deadline: Monotonic time in seconds.

    Raises:
        ReadOnlyError: The group has no primary by the deadline, or no majority
            has answered for `NO_PRIMARY_TIMEOUT_S`.
    """
    no_majority_since: float | None = None
    while True:
        now = timers.now()
        try:
            return await group.wait_for_primary(deadline=min(now + POLL_S, deadline))
        except NoPrimaryError as exc:
            if now >= deadline:
                raise ReadOnlyError(str(exc), retry_after_ms=RETRY_AFTER_MS) from exc
        if len(group.statuses) >= group.spec.majority:
            no_majority_since = None
            continue
        no_majority_since = now if no_majority_since is None else no_majority_since
        if now - no_majority_since >= NO_PRIMARY_TIMEOUT_S:
            raise ReadOnlyError(
                f"{group.spec.name}: no majority of its instances answers",
                retry_after_ms=RETRY_AFTER_MS,
            )
