"""A model of the confirmation of a primary after a restore of the store.

A coordinator has written a change at tick 0, and the restore discards its row. Two other
voters may not know of the change, and confirm the old primary. The coordinator promotes
another instance if it gets through its fence. Times are ticks: a lease is valid for 2, a
grant for 1, views back grants while they are younger than 4, and a coordinator acts on
views younger than 1. The search visits every order of reads, releases, the restore, the
promotion and the confirmation.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

LEASE = 2
GRANT = 1
MAX_STALENESS = 4
COORDINATOR_MAX_STALENESS = 1
GRANTS_END = MAX_STALENESS + GRANT
LAST_TICK = GRANTS_END + 2
VOTERS = 3
QUORUM = VOTERS // 2 + 1


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the confirmation; a test drops one, and the search must find the fault.

    Attributes:
        voters_know_no_change: Whether a voter agrees only if it saw no change.
        releases_end_with_epoch: Whether a voter that has seen the new epoch confirms no
            release for a row of the earlier one.
        majority_agrees: Whether more than half of the voters have to agree.
        view_is_recent: Whether the view before the restore must be younger than the
            time that an unknown change needs.
        coordinators_stop: Whether a coordinator stops when its view is too old.
    """

    voters_know_no_change: bool = True
    releases_end_with_epoch: bool = True
    majority_agrees: bool = True
    view_is_recent: bool = True
    coordinators_stop: bool = True


@dataclass(frozen=True, slots=True)
class Voter:
    """A voter that does not coordinate the change.

    Attributes:
        as_of: Tick at which its view of the earlier epoch was complete.
        knows_change: Whether that view has the change.
        released: Whether its release has reached the coordinator.
        in_new_epoch: Whether it has seen the new epoch.
    """

    as_of: int
    knows_change: bool = False
    released: bool = False
    in_new_epoch: bool = False


@dataclass(frozen=True, slots=True)
class State:
    """State of the coordinator, the other voters and the store."""

    tick: int
    voters: tuple[Voter, Voter]
    restored: bool = False
    coordinator_as_of: int = 0
    coordinator_active: bool = True
    promoted: bool = False
    confirmed: bool = False


def is_fenced(state: State) -> bool:
    """Returns whether the coordinator may promote, as `Fence` decides."""
    released = sum(voter.released for voter in state.voters)
    if released == len(state.voters):
        return True
    has_quorum = 1 + released >= VOTERS - VOTERS // 2
    return (state.tick >= LEASE and has_quorum) or state.tick >= GRANTS_END


def may_promote(state: State, rules: Rules) -> bool:
    """Returns whether the coordinator requests the promotion, as `PrimaryChanger`."""
    age = state.tick - state.coordinator_as_of
    recent = age < COORDINATOR_MAX_STALENESS or not rules.coordinators_stop
    return state.coordinator_active and recent and is_fenced(state)


def may_confirm(state: State, voter: Voter, rules: Rules) -> bool:
    """Returns whether a voter confirms the old primary, as `Confirmations` decides."""
    agreeing = sum(
        item.in_new_epoch and not (item.knows_change and rules.voters_know_no_change)
        for item in state.voters
    )
    age = state.tick - voter.as_of
    recent = age < GRANTS_END - COORDINATOR_MAX_STALENESS or not rules.view_is_recent
    needed = QUORUM if rules.majority_agrees else 1
    knows = voter.knows_change and rules.voters_know_no_change
    return voter.in_new_epoch and not knows and recent and agreeing >= needed


def successors(state: State, rules: Rules) -> Iterator[State]:
    """Yields the states that one event may lead to."""
    if state.tick < LAST_TICK:
        yield replace(state, tick=state.tick + 1)
    if state.restored:
        yield replace(state, coordinator_active=False)
    else:
        yield replace(state, restored=True)
        yield replace(state, coordinator_as_of=state.tick)
    if may_promote(state, rules):
        yield replace(state, promoted=True)
    for index, voter in enumerate(state.voters):
        if may_confirm(state, voter, rules):
            yield replace(state, confirmed=True)
        for after in _successors_of(state, voter, rules):
            voters = list(state.voters)
            voters[index] = after
            yield replace(state, voters=(voters[0], voters[1]))


def _successors_of(state: State, voter: Voter, rules: Rules) -> Iterator[Voter]:
    if state.restored:
        yield replace(voter, in_new_epoch=True)
    elif not voter.in_new_epoch:
        yield replace(voter, as_of=state.tick, knows_change=True)
    if state.coordinator_active and not (
        voter.in_new_epoch and rules.releases_end_with_epoch
    ):
        yield replace(voter, knows_change=True, released=True)


def find_two_primaries(rules: Rules) -> State | None:
    """Returns a state with a confirmed and a promoted primary, or None."""
    initial = [
        State(0, (Voter(as_of=first), Voter(as_of=second)))
        for first in (-2, -1)
        for second in (-2, -1)
    ]
    seen, queue = set(initial), deque(initial)
    while queue:
        state = queue.popleft()
        if state.promoted and state.confirmed:
            return state
        for after in successors(state, rules):
            if after not in seen:
                seen.add(after)
                queue.append(after)
    return None
