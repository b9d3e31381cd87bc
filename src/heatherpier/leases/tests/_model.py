"""A small model of leases, support, release and next incarnations, searched whole.

One change of primary among three members: member 0 holds it, and its row is in the store
at tick 0; the others are cut off from the store. Times are ticks; a lease takes 2, a
promise 1, and a view supports others while younger than 4, so that all that matters is
over by tick 5. Any order of relays, promises, releases, ends and starts is tried.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

LEASE = 2
GRANT = 1
VIEW = 4
END = VIEW + GRANT
MEMBERS = 3
GRANT_QUORUM = MEMBERS // 2 + 1
RELEASE_QUORUM = MEMBERS - MEMBERS // 2
NEVER = -99
# All incarnations before the change began this long ago.
LONG_AGO = -50


@dataclass(frozen=True, slots=True)
class Rules:
    """What may be left out, to see that the search finds it.

    Attributes:
        next_incarnation_waits: Whether a next incarnation supports others only on a later view.
        next_incarnation_promised: Whether a next incarnation keeps what the one before promised.
        ended_is_released: Whether an ended member counts as one that released.
        waits_for_lease: Whether the end of the leases is waited for.
    """

    next_incarnation_waits: bool = True
    next_incarnation_promised: bool = True
    ended_is_released: bool = False
    waits_for_lease: bool = True


@dataclass(frozen=True, slots=True, order=True)
class Member:
    """A member that is cut off from the store.

    Attributes:
        alive: Whether its process runs.
        began: Tick of its incarnation's start.
        knows: Whether it has seen the change.
        as_of: Tick at which its view was complete.
        given_until: Tick up to which it has promised something.
        granted_until: Tick up to which the other one supports it.
        holder_until: Tick up to which the holder supports it, from before the change.
        released: Whether the holder has its answer to the release.
    """

    alive: bool = True
    began: int = LONG_AGO
    knows: bool = False
    as_of: int = -1
    given_until: int = NEVER
    granted_until: int = NEVER
    holder_until: int = NEVER
    released: bool = False


@dataclass(frozen=True, slots=True)
class State:
    """Where the change stands."""

    tick: int
    one: Member
    other: Member


def may_grant(state: State, member: Member, rules: Rules) -> bool:
    """Tells whether a member may promise not to release."""
    fresh = state.tick - member.as_of < VIEW
    own_incarnation = member.as_of >= member.began or not rules.next_incarnation_waits
    return member.alive and not member.knows and fresh and own_incarnation


def has_lease(state: State, member: Member, rules: Rules) -> bool:
    """Tells whether a member may use the old primary."""
    if not member.alive or member.knows:
        return False
    if member.as_of >= member.began and state.tick < member.as_of + LEASE:
        return True
    supporters = [member.granted_until, member.holder_until]
    count = sum(state.tick < until for until in supporters)
    return count + may_grant(state, member, rules) >= GRANT_QUORUM


def is_fenced(state: State, rules: Rules) -> bool:
    """Tells whether the holder goes on to promote."""
    members = (state.one, state.other)
    if all(item.released for item in members):
        return True
    if state.tick < LEASE and rules.waits_for_lease:
        return False
    released = 1 + sum(item.released for item in members)
    return released >= RELEASE_QUORUM or state.tick >= VIEW + GRANT


def steps(state: State, rules: Rules) -> Iterator[State]:
    """Yields all states that may come next."""
    if state.tick < END:
        yield replace(state, tick=state.tick + 1)
    yield from _steps_of(state, state.one, state.other, rules)
    swapped = State(state.tick, state.other, state.one)
    for after in _steps_of(swapped, state.other, state.one, rules):
        yield State(after.tick, after.other, after.one)


def _steps_of(
    state: State, member: Member, other: Member, rules: Rules
) -> Iterator[State]:
    tick = state.tick
    if not member.alive:
        given_until = tick + GRANT if rules.next_incarnation_promised else NEVER
        incarnation = Member(
            began=tick, as_of=NEVER, given_until=given_until, released=member.released
        )
        yield State(tick, incarnation, other)
        return
    ended = replace(member, alive=False)
    if rules.ended_is_released:
        ended = replace(ended, released=True)
    yield State(tick, ended, other)
    # The holder reaches it: it releases once its promises are over.
    knowing = replace(member, knows=True)
    if tick >= member.given_until:
        yield State(tick, replace(knowing, released=True), other)
    yield State(tick, knowing, other)
    if not other.alive:
        return
    if other.knows:
        yield State(tick, knowing, other)
        return
    relayed = replace(member, as_of=max(member.as_of, other.as_of))
    yield State(tick, relayed, other)
    if may_grant(state, other, rules):
        until = tick + GRANT
        yield State(
            tick,
            replace(relayed, granted_until=until),
            replace(other, given_until=until),
        )


def find_two_primaries(rules: Rules) -> State | None:
    """Returns a state in which a fenced primary may still be used, or None.

    Views without the change were complete before it, the latest one tick earlier, and
    the holder may have supported somebody up to it.
    """
    begins = [
        State(0, one, other) for one in _first_members() for other in _first_members()
    ]
    seen, queue = set(begins), deque(begins)
    while queue:
        state = queue.popleft()
        if is_fenced(state, rules) and any(
            has_lease(state, item, rules) for item in (state.one, state.other)
        ):
            return state
        for found in steps(state, rules):
            after = _ordered(found)
            if after not in seen:
                seen.add(after)
                queue.append(after)
    return None


def _ordered(state: State) -> State:
    """Returns one of two states that differ only in who is who."""
    if state.one <= state.other:
        return state
    return State(state.tick, state.other, state.one)


def _first_members() -> list[Member]:
    return [
        Member(as_of=as_of, holder_until=holder_until)
        for as_of in (-2, -1)
        for holder_until in (NEVER, GRANT)
    ]
