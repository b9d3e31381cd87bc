"""A model of changes that end with the old primary, with an exhaustive search.

One coordinator changes the primary of a service, and another may take the change over. Each
ends its change by a promotion or by keeping the old primary, and then writes who leads. The
old primary and the successor may answer a coordinator or not. The search visits every order
of requests, effects of promotions, writes and takeovers.

The fence is left out: `_model` covers it, and nobody uses the old primary before the row that
names it again. From then on it is used, so a promotion must neither have taken effect nor be
able to.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

FIRST, SECOND = 0, 1


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the protocol; a test drops one, and the search must find the fault.

    Attributes:
        takeover_keeps_nothing: Whether a coordinator that has taken a change over never
            keeps the old primary.
        keeps_before_requests_only: Whether a coordinator that has requested a promotion
            no longer keeps the old primary.
        rows_have_conditions: Whether a row is written only over the coordinator's own.
    """

    takeover_keeps_nothing: bool = True
    keeps_before_requests_only: bool = True
    rows_have_conditions: bool = True


class Row(Enum):
    """What the leadership row says."""

    CHANGING_BY_FIRST = "changing by the first coordinator"
    CHANGING_BY_SECOND = "changing by the second coordinator"
    LED_BY_OLD = "led by the old primary"
    LED_BY_SUCCESSOR = "led by the successor"


OWN_ROWS = (Row.CHANGING_BY_FIRST, Row.CHANGING_BY_SECOND)


@dataclass(frozen=True, slots=True)
class State:
    """State of one change.

    Attributes:
        row: The leadership row.
        requested: Whether each coordinator has requested a promotion.
        in_flight: Count of promotions that were requested and may still take effect.
        promoted: Whether a promotion has taken effect.
        waited: Whether the second coordinator has waited until the first one requests
            no promotion any more, and its last request has ended.
        ended: Whether each coordinator has ended its change.
    """

    row: Row = Row.CHANGING_BY_FIRST
    requested: tuple[bool, bool] = (False, False)
    in_flight: int = 0
    promoted: bool = False
    waited: bool = False
    ended: tuple[bool, bool] = (False, False)


def is_broken(state: State) -> bool:
    """Returns whether the old primary is used although it is or may be replaced."""
    return state.row is Row.LED_BY_OLD and (state.promoted or state.in_flight > 0)


def successors(state: State, rules: Rules) -> Iterator[State]:
    """Yields the states that one event may lead to."""
    if state.in_flight:
        effective = replace(state, in_flight=state.in_flight - 1, promoted=True)
        yield effective
        # A promotion that the platform rejects has no effect.
        yield replace(state, in_flight=state.in_flight - 1)
    if state.row is Row.CHANGING_BY_FIRST:
        yield replace(state, row=Row.CHANGING_BY_SECOND)
    elif not state.in_flight:
        yield replace(state, waited=True)
    for who in (FIRST, SECOND):
        if not state.ended[who]:
            yield from _steps_of(state, who, rules)


def _steps_of(state: State, who: int, rules: Rules) -> Iterator[State]:
    if who == SECOND and not state.waited:
        return
    owns = state.row is OWN_ROWS[who]
    # The first coordinator's view may not show yet that the change was taken over.
    if owns or (who == FIRST and not state.waited and state.row in OWN_ROWS):
        requested = _set(state.requested, who)
        yield replace(state, requested=requested, in_flight=state.in_flight + 1)
    if not owns and rules.rows_have_conditions:
        return
    ended = _set(state.ended, who)
    if state.promoted:
        # The successor's status shows the coordinator that it leads.
        yield replace(state, row=Row.LED_BY_SUCCESSOR, ended=ended)
    if _may_keep(state, who, rules):
        yield replace(state, row=Row.LED_BY_OLD, ended=ended)


def _may_keep(state: State, who: int, rules: Rules) -> bool:
    """Returns whether a coordinator may keep the old primary, as `Fence` decides.

    That the successor leads already may be unknown to it, if the successor does not
    answer it.
    """
    if who == SECOND and rules.takeover_keeps_nothing:
        return False
    return not (state.requested[who] and rules.keeps_before_requests_only)


def _set(flags: tuple[bool, bool], who: int) -> tuple[bool, bool]:
    return (True, flags[SECOND]) if who == FIRST else (flags[FIRST], True)


def find_two_primaries(rules: Rules) -> State | None:
    """Returns a state in which a replaced primary is used, or None."""
    initial = State()
    seen, queue = {initial}, deque([initial])
    while queue:
        state = queue.popleft()
        if is_broken(state):
            return state
        if state.in_flight > 2:
            # More requests at once add nothing: each may take effect or not.
            continue
        for after in successors(state, rules):
            if after not in seen:
                seen.add(after)
                queue.append(after)
    return None
