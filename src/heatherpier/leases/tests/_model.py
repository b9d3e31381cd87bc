"""A model of leases, grants, releases and restarts, with an exhaustive search.

It covers one change of primary among three members. One member coordinates the change,
whose row is in the store at tick 0. The other two are cut off from the store. Times
are ticks: a lease is valid for 2, a grant for 1, and a member gives grants while its
view is younger than 4. So the last grant on a view without the change has expired by
tick 5, where the search ends. The search visits every order of copies of views,
grants, releases, ends and starts of the two processes.

A member may have been removed just before the change, so that the coordinator does not ask
it, may have been removed and have registered again, or may have registered so shortly
before that the coordinator's view lacks it.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import IntEnum, auto

LEASE = 2
GRANT = 1
MAX_STALENESS = 4
LAST_TICK = MAX_STALENESS + GRANT
MEMBERS = 3
GRANT_QUORUM = MEMBERS // 2 + 1
RELEASE_QUORUM = MEMBERS - MEMBERS // 2
NEVER = -99
# Tick of the removal of a member that was removed before the change.
REMOVED_AT = -1
# Start of the processes that run at the beginning, long before the change.
INITIAL_START = -50


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the protocol; a test drops one, and the search must find the fault.

    Attributes:
        later_incarnation_needs_new_view: Whether a later incarnation of a process gives
            grants only on a view that was complete after its own start.
        later_incarnation_keeps_grants: Whether a later incarnation keeps a grant that
            the earlier one may have given just before it ended.
        ended_counts_as_released: Whether a member whose process ended counts as one
            that released the old primary.
        refused_counts_as_ended: Whether a member that does not answer counts as ended
            once a quorum has released. Its connections may be refused by a partition.
        waits_for_lease_expiry: Whether a change without all releases waits until the
            leases by the age of the view have expired.
        waits_for_removed_members: Whether a change waits until the lease of a removed
            member has expired.
        removals_leave_half: Whether a member is removed only if half of the voters
            remain, counted in the voter set on which grants may still rest.
        view_covers_change: Whether the coordinator goes on only once its view has all
            rows from before that of the change, so that it asks a member which had
            registered unseen.
        returned_members_have_to_release: Whether a member that has registered again
            is waited for until it has released.
    """

    later_incarnation_needs_new_view: bool = True
    later_incarnation_keeps_grants: bool = True
    ended_counts_as_released: bool = False
    refused_counts_as_ended: bool = False
    waits_for_lease_expiry: bool = True
    waits_for_removed_members: bool = True
    removals_leave_half: bool = True
    view_covers_change: bool = True
    returned_members_have_to_release: bool = True


class Registration(IntEnum):
    """Whether the coordinator knows a member when the change begins."""

    KEPT = auto()
    REMOVED = auto()
    RETURNED = auto()
    UNSEEN = auto()


@dataclass(frozen=True, slots=True, order=True)
class Member:
    """A member that is cut off from the store.

    Attributes:
        alive: Whether the process runs.
        started_at: Tick at which the process started.
        knows_change: Whether the member's view has the change.
        as_of: Tick at which the view was complete.
        given_until: Tick at which the grants expire that the member has given.
        granted_until: Tick at which the grant of the other member expires.
        coordinator_granted_until: Tick at which the grant of the coordinator expires,
            given before the change.
        released: Whether the member's release has reached the coordinator.
        registration: Whether the coordinator knows the member.
    """

    alive: bool = True
    started_at: int = INITIAL_START
    knows_change: bool = False
    as_of: int = -1
    given_until: int = NEVER
    granted_until: int = NEVER
    coordinator_granted_until: int = NEVER
    released: bool = False
    registration: Registration = Registration.KEPT


@dataclass(frozen=True, slots=True)
class State:
    """State of the two members that do not coordinate the change."""

    tick: int
    first: Member
    second: Member


def may_grant(state: State, member: Member, rules: Rules) -> bool:
    """Returns whether a member may give grants that keep a lease valid.

    `Grants` also lets a member that knows the change give grants. They are left out
    here, because the same answer brings the change, which ends the lease.
    """
    fresh = state.tick - member.as_of < MAX_STALENESS
    seen_since_start = (
        member.as_of >= member.started_at or not rules.later_incarnation_needs_new_view
    )
    return member.alive and not member.knows_change and fresh and seen_since_start


def has_lease(state: State, member: Member, rules: Rules) -> bool:
    """Returns whether a member may use the old primary, as `PrimaryLeases` decides."""
    if not member.alive or member.knows_change:
        return False
    if member.as_of >= member.started_at and state.tick < member.as_of + LEASE:
        return True
    expiries = [member.granted_until, member.coordinator_granted_until]
    count = sum(state.tick < until for until in expiries)
    return count + may_grant(state, member, rules) >= GRANT_QUORUM


def is_fenced(state: State, rules: Rules) -> bool:
    """Returns whether the coordinator goes on to promote, as `Fence` decides.

    The coordinator itself counts as a member that has released.
    """
    members = (state.first, state.second)
    released = 1 + sum(item.released for item in members)
    has_quorum = released >= RELEASE_QUORUM
    if all(is_settled(item, state.tick, rules) for item in members):
        return True
    if has_quorum and rules.refused_counts_as_ended:
        return True
    if state.tick < LEASE and rules.waits_for_lease_expiry:
        return False
    return has_quorum or state.tick >= MAX_STALENESS + GRANT


def is_settled(member: Member, tick: int, rules: Rules) -> bool:
    """Returns whether the coordinator waits for a member no more."""
    if member.released:
        return True
    match member.registration:
        case Registration.REMOVED:
            return not rules.waits_for_removed_members or tick >= REMOVED_AT + LEASE
        case Registration.RETURNED:
            return not rules.returned_members_have_to_release
        case Registration.UNSEEN:
            return not rules.view_covers_change
    return False


def successors(state: State, rules: Rules) -> Iterator[State]:
    """Yields the states that one event may lead to."""
    if state.tick < LAST_TICK:
        yield replace(state, tick=state.tick + 1)
    yield from _successors_of(state, state.first, state.second, rules)
    swapped = State(state.tick, state.second, state.first)
    for after in _successors_of(swapped, state.second, state.first, rules):
        yield State(after.tick, after.second, after.first)


def _successors_of(
    state: State, member: Member, other: Member, rules: Rules
) -> Iterator[State]:
    tick = state.tick
    if not member.alive:
        given_until = tick + GRANT if rules.later_incarnation_keeps_grants else NEVER
        incarnation = Member(
            started_at=tick,
            as_of=NEVER,
            given_until=given_until,
            released=member.released,
            registration=member.registration,
        )
        yield State(tick, incarnation, other)
        return
    ended = replace(member, alive=False)
    if rules.ended_counts_as_released:
        ended = replace(ended, released=True)
    yield State(tick, ended, other)
    # The coordinator's request reaches the member, which learns of the change. It
    # answers with its release once the grants that it has given have expired.
    informed = replace(member, knows_change=True)
    is_asked = member.registration is not Registration.REMOVED
    if is_asked and tick >= member.given_until:
        yield State(tick, replace(informed, released=True), other)
    yield State(tick, informed, other)
    # The other member answers with its copy of the table, and a grant if it may.
    if not other.alive:
        return
    if other.knows_change:
        yield State(tick, informed, other)
        return
    refreshed = replace(member, as_of=max(member.as_of, other.as_of))
    yield State(tick, refreshed, other)
    if may_grant(state, other, rules):
        until = tick + GRANT
        yield State(
            tick,
            replace(refreshed, granted_until=until),
            replace(other, given_until=until),
        )


def find_two_primaries(rules: Rules) -> State | None:
    """Returns a state in which a fenced primary may still be used, or None.

    In the initial states the members' views are without the change, so they were
    complete one tick before it at the latest. The coordinator may have given a grant
    up to the time of the change.
    """
    initial = [
        State(0, first, second)
        for first in _initial_members()
        for second in _initial_members()
        if not rules.removals_leave_half or _remaining(first, second) >= RELEASE_QUORUM
    ]
    seen, queue = set(initial), deque(initial)
    while queue:
        state = queue.popleft()
        if is_fenced(state, rules) and any(
            has_lease(state, item, rules) for item in (state.first, state.second)
        ):
            return state
        for found in successors(state, rules):
            after = _canonical(found)
            if after not in seen:
                seen.add(after)
                queue.append(after)
    return None


def _remaining(*members: Member) -> int:
    """Returns how many members were not removed, the coordinator included."""
    gone = sum(item.registration is Registration.REMOVED for item in members)
    return MEMBERS - gone


def _canonical(state: State) -> State:
    """Returns the same state for two that differ only in the order of the members."""
    if state.first <= state.second:
        return state
    return State(state.tick, state.second, state.first)


def _initial_members() -> list[Member]:
    return [
        Member(
            as_of=as_of,
            coordinator_granted_until=coordinator_granted_until,
            registration=registration,
        )
        for as_of in (-2, -1)
        for coordinator_granted_until in (NEVER, GRANT)
        for registration in Registration
        # A view from the time of the removal would show it.
        if as_of < REMOVED_AT or registration is not Registration.REMOVED
    ]
