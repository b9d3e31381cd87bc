"""Model of the promotion protocol, small enough to search all interleavings.

An entry is identified by term and index, so a log is the tuple of its entries'
terms. The model has no clocks and no connections: a crash, a pause, a partition and
a lost message are all a step that is not taken or is taken later. A message may be
delivered at any later time, and its answer may be lost.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import cache
from typing import NamedTuple

from heatherpier.groups import InstanceStatus, Role
from heatherpier.groups._promoter import choose_furthest
from heatherpier.positions import LogPosition

INSTANCES = range(3)
MAJORITY = 2
NO_INSTANCE = -1
Log = tuple[int, ...]
Position = tuple[int, int]


class ViolationError(Exception):
    """An invariant does not hold. The message names it."""


class Node(NamedTuple):
    """State of one instance.

    Attributes:
        adopted: Highest term that it has adopted.
        proposer: Proposer for which it adopted the term.
        leads: Whether it is the primary of the adopted term.
        follows: Instance that it follows, or `NO_INSTANCE`.
        log: Terms of its entries.
    """

    adopted: int = 1
    proposer: str = ""
    leads: bool = False
    follows: int = NO_INSTANCE
    log: Log = (1,)

    def position(self) -> Position:
        return self.log[-1], len(self.log)


class Attempt(NamedTuple):
    """State of one attempt to change the primary.

    Attributes:
        proposer: Name of its proposer.
        term: Term that it proposes.
        grants: Instances that adopted the term for the proposer, each with the
            position that it reported then.
        chosen: Instance to promote, or `NO_INSTANCE` before the choice.
    """

    proposer: str
    term: int
    grants: tuple[tuple[int, Position], ...] = ()
    chosen: int = NO_INSTANCE


class Led(NamedTuple):
    """A term that has a primary.

    Attributes:
        term: The term.
        primary: Its primary.
        log: Log of the primary, as far as it was written in this term.
    """

    term: int
    primary: int
    log: Log


class State(NamedTuple):
    """State of the group.

    Attributes:
        nodes: The instances.
        attempts: The attempts to change the primary.
        led: All terms that have a primary.
        acknowledged: Longest log whose entries are all acknowledged.
    """

    nodes: tuple[Node, ...]
    attempts: tuple[Attempt, ...]
    led: tuple[Led, ...]
    acknowledged: Log = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Rules:
    """Decisions of the protocol, which tests replace by wrong ones.

    Attributes:
        choose: Returns the instances that may be promoted, given the grants.
        acknowledges: Returns whether an instance's answer acknowledges its whole log.
        grants_needed: Number of grants that fence a majority.
    """

    choose: Callable[[tuple[tuple[int, Position], ...]], list[int]]
    acknowledges: Callable[[State, int], bool]
    grants_needed: int = MAJORITY


@cache
def choose_as_promoter(grants):
    statuses = [status_of(name, position) for name, position in grants]
    return [int(choose_furthest(statuses, leaving=()).instance)]


def status_of(name, position):
    return InstanceStatus(
        instance=str(name),
        role=Role.REPLICA,
        adopted_term=0,
        proposer="",
        primary="",
        position=LogPosition(*position),
        age_ms=0,
        contact_ms=0,
    )


def held_by_a_replica_in_term(state: State, name: int) -> bool:
    node = state.nodes[name]
    return not node.leads and node.log[-1] == node.adopted


PROTOCOL = Rules(choose=choose_as_promoter, acknowledges=held_by_a_replica_in_term)


def initial(attempts: tuple[Attempt, ...]) -> State:
    leader = Node(leads=True, follows=0)
    replica = Node(follows=0)
    return State((leader, replica, replica), attempts, (Led(1, 0, (1,)),))


def search(state: State, rules: Rules, *, max_log_length: int, max_states: int) -> int:
    """Visits every reachable state.

    Returns:
        The number of states.

    Raises:
        ViolationError: A state violates an invariant.
        RuntimeError: More than ``max_states`` states are reachable.
    """
    seen = {state}
    queue = deque([state])
    while queue:
        for following in steps(queue.popleft(), rules, max_log_length):
            if following in seen:
                continue
            seen.add(following)
            queue.append(following)
        if len(seen) > max_states:
            raise RuntimeError(f"more than {max_states} states")
    return len(seen)


def steps(state: State, rules: Rules, max_log_length: int) -> Iterator[State]:
    for name in INSTANCES:
        yield from node_steps(state, rules, name, max_log_length)
    for number, attempt in enumerate(state.attempts):
        yield from attempt_steps(state, rules, number, attempt)


def node_steps(state, rules, name, max_log_length):
    node = state.nodes[name]
    if node.leads and len(node.log) < max_log_length:
        yield append(state, name, node)
    if not node.leads:
        yield from replicate(state, name, node)
    if rules.acknowledges(state, name):
        yield acknowledge(state, node.log)
    for led in state.led:
        if led.term >= node.adopted and led.primary != name:
            yield follow(state, name, node, led)


def append(state, name, node):
    log = (*node.log, node.adopted)
    led = tuple(
        item._replace(log=log) if item.term == node.adopted else item
        for item in state.led
    )
    return set_node(state, name, node._replace(log=log))._replace(led=led)


def replicate(state, name, node):
    # The primary's answer may be as old as its term, so its log of that term is
    # used, whatever state the primary is in now.
    for led in state.led:
        if (led.term, led.primary) != (node.adopted, node.follows):
            continue
        length = len(node.log)
        if led.log[:length] == node.log and length < len(led.log):
            yield set_node(state, name, node._replace(log=led.log[: length + 1]))
        elif led.log[:length] != node.log:
            yield set_node(state, name, node._replace(log=node.log[:-1]))


def acknowledge(state, log):
    known = state.acknowledged
    shorter, longer = sorted((known, log), key=len)
    if longer[: len(shorter)] != shorter:
        raise ViolationError(f"acknowledged {known} and {log}")
    for led in state.led:
        check_kept(longer, led)
    return state._replace(acknowledged=longer)


def check_kept(acknowledged, led):
    later = acknowledged and led.term > acknowledged[-1]
    if later and led.log[: len(acknowledged)] != acknowledged:
        raise ViolationError(f"term {led.term} lost {acknowledged}, has {led.log}")


def follow(state, name, node, led):
    if led.term > node.adopted:
        node = node._replace(adopted=led.term, proposer="", leads=False)
    if not node.leads:
        node = node._replace(follows=led.primary)
    return set_node(state, name, node)


def attempt_steps(state, rules, number, attempt):
    if attempt.chosen != NO_INSTANCE:
        yield from promote(state, attempt)
        return
    for name in INSTANCES:
        yield from adopt(state, number, attempt, name)
    if len(attempt.grants) >= rules.grants_needed:
        for chosen in rules.choose(attempt.grants):
            yield set_attempt(state, number, attempt._replace(chosen=chosen))


def adopt(state, number, attempt, name):
    node = state.nodes[name]
    if attempt.term > node.adopted:
        node = Node(attempt.term, attempt.proposer, False, NO_INSTANCE, node.log)
        state = set_node(state, name, node)
        yield state
    granted = (node.adopted, node.proposer) == (attempt.term, attempt.proposer)
    if granted and name not in [name for name, _ in attempt.grants]:
        grants = tuple(sorted((*attempt.grants, (name, node.position()))))
        yield set_attempt(state, number, attempt._replace(grants=grants))


def promote(state, attempt):
    node = state.nodes[attempt.chosen]
    if (node.adopted, node.proposer) != (attempt.term, attempt.proposer) or node.leads:
        return
    log = (*node.log, attempt.term)
    led = Led(attempt.term, attempt.chosen, log)
    if any(item.term == led.term for item in state.led):
        raise ViolationError(f"two primaries in term {led.term}")
    check_kept(state.acknowledged, led)
    node = node._replace(leads=True, follows=attempt.chosen, log=log)
    state = set_node(state, attempt.chosen, node)
    yield state._replace(led=(*state.led, led))


def set_node(state, name, node):
    nodes = list(state.nodes)
    nodes[name] = node
    return state._replace(nodes=tuple(nodes))


def set_attempt(state, number, attempt):
    attempts = list(state.attempts)
    attempts[number] = attempt
    return state._replace(attempts=tuple(attempts))
