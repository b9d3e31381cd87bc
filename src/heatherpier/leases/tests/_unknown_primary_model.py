"""A model of a service without a row whose primary no process knows, with a search.

The primary lives, but its entry comes and goes. Two coordinators ask the instances who
leads, one after the other or at once: the second takes over while the first is paused. A
third proxy uses the primary under its initial lease while its view shows the entry and no
row. Times are ticks; a lease is valid for `LEASE` ticks after the view was complete.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import IntEnum, auto

LEASE = 2
LAST_TICK = 6


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the protocol; a test drops one, and the search must find the fault.

    Attributes:
        row_ends_initial_leases: Whether a proxy whose view has a row of the service uses
            no primary on the ground of entries.
        waits_for_leases: Whether a promotion waits until leases on views without the
            row have expired.
        writes_under_condition: Whether a row is written only over the one that its
            writer wrote or saw last.
    """

    row_ends_initial_leases: bool = True
    waits_for_leases: bool = True
    writes_under_condition: bool = True


class Row(IntEnum):
    """State of the leadership row."""

    NONE = auto()
    CONFIRMING = auto()
    CHANGING = auto()
    OLD_LEADS = auto()
    NEW_LEADS = auto()


class Phase(IntEnum):
    """Progress of a coordinator."""

    IDLE = auto()
    ANNOUNCED = auto()
    FOUND_LEADER = auto()
    FOUND_NONE = auto()
    CHANGES = auto()
    ENDED = auto()


@dataclass(frozen=True, slots=True, order=True)
class Coordinator:
    """A voter that finds out who leads.

    Attributes:
        phase: Its progress.
        version: Version of the row that it wrote last.
        announced_at: Tick of its last write.
    """

    phase: Phase = Phase.IDLE
    version: int = 0
    announced_at: int = 0


@dataclass(frozen=True, slots=True)
class State:
    """State of the store, the coordinators and the proxy."""

    tick: int = 0
    row: Row = Row.NONE
    version: int = 0
    entry: bool = False
    promoted: bool = False
    first: Coordinator = Coordinator()
    second: Coordinator = Coordinator()
    # What the proxy's view shows, and the tick at which it was complete.
    view_row: Row = Row.NONE
    view_entry: bool = False
    as_of: int = 0


def uses_old_primary(state: State, rules: Rules) -> bool:
    """Returns whether the proxy may use the old primary."""
    if state.tick >= state.as_of + LEASE:
        return False
    if state.view_row is Row.OLD_LEADS:
        return True
    if rules.row_ends_initial_leases and state.view_row is not Row.NONE:
        return False
    return state.view_entry and state.view_row is not Row.NEW_LEADS


def successors(state: State, rules: Rules) -> Iterator[State]:
    """Yields the states that one event may lead to."""
    if state.tick < LAST_TICK:
        yield replace(state, tick=state.tick + 1)
    yield replace(state, entry=not state.entry)
    yield replace(state, view_row=state.row, view_entry=state.entry, as_of=state.tick)
    for name in ("first", "second"):
        yield from _steps(state, name, rules)


def _steps(state: State, name: str, rules: Rules) -> Iterator[State]:
    own: Coordinator = getattr(state, name)
    may_write = own.version == state.version or not rules.writes_under_condition

    def write(row: Row, phase: Phase) -> State:
        version = state.version + 1
        wrote = Coordinator(phase, version, state.tick)
        return replace(state, row=row, version=version, **{name: wrote})

    match own.phase:
        case Phase.IDLE if state.row in (Row.NONE, Row.CONFIRMING):
            # It begins, or takes over what the other one has announced.
            yield write(Row.CONFIRMING, Phase.ANNOUNCED)
        case Phase.ANNOUNCED:
            found = Phase.FOUND_LEADER if state.entry else Phase.FOUND_NONE
            yield replace(state, **{name: replace(own, phase=found)})
        case Phase.FOUND_LEADER if may_write:
            yield write(Row.OLD_LEADS, Phase.ENDED)
        case Phase.FOUND_NONE if may_write:
            yield write(Row.CHANGING, Phase.CHANGES)
        case Phase.CHANGES if may_write:
            waited = state.tick >= own.announced_at + LEASE
            if waited or not rules.waits_for_leases:
                yield replace(write(Row.NEW_LEADS, Phase.ENDED), promoted=True)


def find_two_primaries(rules: Rules) -> State | None:
    """Returns a state in which a replaced primary may still be used, or None."""
    initial = State(view_entry=True)
    seen, queue = {initial, State()}, deque([initial, State()])
    while queue:
        state = queue.popleft()
        if state.promoted and uses_old_primary(state, rules):
            return state
        for after in successors(state, rules):
            if after not in seen:
                seen.add(after)
                queue.append(after)
    return None
