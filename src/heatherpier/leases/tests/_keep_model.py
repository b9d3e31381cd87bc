"""A model of changes that may end with the old primary, with an exhaustive search.

One coordinator changes the primary of a service, and another may take the change over. Each
ends its change by a promotion of the successor or by keeping the old primary, and then
writes who leads. Both instances may answer a coordinator or not, and the old primary may not
notice that it was replaced. The platform applies the requested promotions in their order,
each some time after its request; a request that names the present primary changes nothing.
The search visits every order of requests, effects, lost answers, writes and takeovers.

The fence is left out: `_model` covers it, and nobody uses either instance before the row that
names it. From then on it is used, so it has to be the primary, and no promotion of the other
one may take effect any more.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

FIRST, SECOND = 0, 1
# More requests at once add nothing: each may take effect or not.
MAX_QUEUE = 3


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the protocol; a test drops one, and the search must find the fault.

    Attributes:
        takeover_requests_old_primary: Whether a coordinator that has taken a change over
            keeps the old primary only after it has requested its promotion.
        keeps_unasked_before_requests_only: Whether a coordinator that has requested a
            promotion requests that of the old primary before it keeps it.
        requests_old_primary_after_effects: Whether the old primary is requested only
            once all promotions that were requested before have taken effect.
        keeps_if_accepted: Whether the old primary is kept only if the platform has
            accepted the request that names it.
        keeps_after_effect: Whether the old primary is kept only once that request would
            have taken effect.
        leading_successor_waits: Whether a successor that led before it was requested is
            used only once all promotions that were requested before have taken effect.
        rows_have_conditions: Whether a row is written only over the coordinator's own.
    """

    takeover_requests_old_primary: bool = True
    keeps_unasked_before_requests_only: bool = True
    requests_old_primary_after_effects: bool = True
    keeps_if_accepted: bool = True
    keeps_after_effect: bool = True
    leading_successor_waits: bool = True
    rows_have_conditions: bool = True


class Row(Enum):
    """What the leadership row says."""

    CHANGING_BY_FIRST = "changing by the first coordinator"
    CHANGING_BY_SECOND = "changing by the second coordinator"
    LED_BY_OLD = "led by the old primary"
    LED_BY_SUCCESSOR = "led by the successor"


class Target(Enum):
    """An instance that may be promoted."""

    OLD = "old primary"
    SUCCESSOR = "successor"


class Progress(Enum):
    """The last request of a coordinator and what it knows of its outcome."""

    NOTHING_REQUESTED = "nothing requested"
    SUCCESSOR_LED = "successor requested, which led already"
    SUCCESSOR_REQUESTED = "successor requested"
    OLD_ACCEPTED = "old primary requested, accepted"
    OLD_UNKNOWN = "old primary requested, no answer"


OWN_ROWS = (Row.CHANGING_BY_FIRST, Row.CHANGING_BY_SECOND)


@dataclass(frozen=True, slots=True)
class State:
    """State of one change.

    Attributes:
        row: The leadership row.
        primary: The present primary by the platform.
        queue: Promotions that may still take effect, in their order.
        progress: Last request of each coordinator.
        waited: Whether the second coordinator has waited until the first one requests
            no promotion any more. Earlier requests may still take effect.
        ended: Whether each coordinator has ended its change.
    """

    row: Row = Row.CHANGING_BY_FIRST
    primary: Target = Target.OLD
    queue: tuple[Target, ...] = ()
    progress: tuple[Progress, Progress] = (
        Progress.NOTHING_REQUESTED,
        Progress.NOTHING_REQUESTED,
    )
    waited: bool = False
    ended: tuple[bool, bool] = (False, False)


def is_broken(state: State) -> bool:
    """Returns whether an instance is used that is not the primary or may be replaced."""
    match state.row:
        case Row.LED_BY_OLD:
            used, other = Target.OLD, Target.SUCCESSOR
        case Row.LED_BY_SUCCESSOR:
            used, other = Target.SUCCESSOR, Target.OLD
        case _:
            return False
    return state.primary is not used or other in state.queue


def successors(state: State, rules: Rules) -> Iterator[State]:
    """Yields the states that one event may lead to."""
    if state.queue:
        yield replace(state, queue=state.queue[1:], primary=state.queue[0])
        yield _lose_first(state)
    if state.row is Row.CHANGING_BY_FIRST:
        yield replace(state, row=Row.CHANGING_BY_SECOND)
    elif not state.waited:
        yield replace(state, waited=True)
    for who in (FIRST, SECOND):
        if not state.ended[who]:
            yield from _steps_of(state, who, rules)


def _lose_first(state: State) -> State:
    """Returns the state after the instance that is promoted next has crashed.

    It is not promoted. An old primary that crashed after another instance was promoted
    comes back as a replica, so its status does not say any more that it leads.
    """
    progress = state.progress
    if state.queue[0] is Target.OLD:
        first, second = (
            Progress.OLD_UNKNOWN if item is Progress.OLD_ACCEPTED else item
            for item in progress
        )
        progress = (first, second)
    return replace(state, queue=state.queue[1:], progress=progress)


def _steps_of(state: State, who: int, rules: Rules) -> Iterator[State]:
    if who == SECOND and not state.waited:
        return
    owns = state.row is OWN_ROWS[who]
    # The first coordinator's view may not show yet that the change was taken over.
    if owns or (who == FIRST and not state.waited and state.row in OWN_ROWS):
        yield from _requests_of(state, who, rules)
    if not owns and rules.rows_have_conditions:
        return
    ended = _set(state.ended, who, True)
    if _may_use_successor(state, who, rules):
        yield replace(state, row=Row.LED_BY_SUCCESSOR, ended=ended)
    if _may_keep(state, who, rules):
        yield replace(state, row=Row.LED_BY_OLD, ended=ended)


def _requests_of(state: State, who: int, rules: Rules) -> Iterator[State]:
    if len(state.queue) >= MAX_QUEUE:
        return
    leads = state.primary is Target.SUCCESSOR
    progress = Progress.SUCCESSOR_LED if leads else Progress.SUCCESSOR_REQUESTED
    yield _request(state, who, Target.SUCCESSOR, progress)
    if not state.queue or not rules.requests_old_primary_after_effects:
        yield _request(state, who, Target.OLD, Progress.OLD_ACCEPTED)
        yield _request(state, who, Target.OLD, Progress.OLD_UNKNOWN)
        # The request itself is lost, or the platform rejects it.
        yield replace(state, progress=_set(state.progress, who, Progress.OLD_UNKNOWN))


def _request(state: State, who: int, target: Target, progress: Progress) -> State:
    changed = replace(state, progress=_set(state.progress, who, progress))
    if state.primary is target:
        return changed
    return replace(changed, queue=(*state.queue, target))


def _may_use_successor(state: State, who: int, rules: Rules) -> bool:
    """Returns whether a coordinator may end its change with the successor.

    The successor's status shows it that the successor leads.
    """
    if state.primary is not Target.SUCCESSOR:
        return False
    if state.progress[who] is Progress.SUCCESSOR_LED and rules.leading_successor_waits:
        return not state.queue
    return state.progress[who] in (
        Progress.SUCCESSOR_LED,
        Progress.SUCCESSOR_REQUESTED,
    )


def _may_keep(state: State, who: int, rules: Rules) -> bool:
    """Returns whether a coordinator may keep the old primary.

    The old primary says that it leads, although the successor may have been promoted.
    """
    progress = state.progress[who]
    if progress is Progress.NOTHING_REQUESTED:
        return who == FIRST or not rules.takeover_requests_old_primary
    if not rules.keeps_unasked_before_requests_only:
        return True
    if state.queue and rules.keeps_after_effect:
        return False
    if progress is Progress.OLD_UNKNOWN:
        return not rules.keeps_if_accepted
    return progress is Progress.OLD_ACCEPTED


def _set(pair, who, value):
    return (value, pair[SECOND]) if who == FIRST else (pair[FIRST], value)


def find_two_primaries(rules: Rules) -> State | None:
    """Returns a state in which an instance is used that may be replaced, or None."""
    initial = State()
    seen, queue = {initial}, deque([initial])
    while queue:
        state = queue.popleft()
        if is_broken(state):
            return state
        for after in successors(state, rules):
            if after not in seen:
                seen.add(after)
                queue.append(after)
    return None
