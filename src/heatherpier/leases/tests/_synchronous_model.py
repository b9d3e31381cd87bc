"""A model of acknowledged commits and the choice of a successor, with an exhaustive search.

A service has a primary and two replicas, and one more replica may join it. A commit is
acknowledged once one replica has received it. Instances crash and come back with their logs,
their entries expire, also while they run, and all proxies may be lost together. A change
promotes a replica once the primary is down. The search visits every order of these events.

A replica takes part in acknowledgements only after it was recorded: it has to receive the
whole log first, which takes longer than the row.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import combinations

PRIMARY = 0
REPLICAS = (1, 2, 3)
JOINING = 3
MAX_COMMITS = 2


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the choice; a test drops one, and the search must find a lost commit.

    Attributes:
        counts_expired: Whether instances without an entry count as missing.
        records_instances: Whether the instances are kept in a row of the store.
        waits_for_missing: Whether nothing is promoted while an instance is missing.
        promotes_furthest: Whether the furthest log is promoted.
        records_joining: Whether an instance that joins is added to the row.
    """

    counts_expired: bool = True
    records_instances: bool = True
    waits_for_missing: bool = True
    promotes_furthest: bool = True
    records_joining: bool = True


@dataclass(frozen=True, slots=True)
class State:
    """State of the service.

    Attributes:
        logs: Length of the log of each instance; the primary's is the first.
        acknowledged: Number of acknowledged commits.
        alive: Instances that run.
        registered: Instances that have an entry.
        row: Instances that the row names.
        memory: Instances that the running proxies have seen.
        promoted: Instance that was promoted, or None.
    """

    logs: tuple[int, int, int, int] = (0, 0, 0, 0)
    acknowledged: int = 0
    alive: frozenset[int] = frozenset({0, 1, 2})
    registered: frozenset[int] = frozenset({0, 1, 2})
    row: frozenset[int] = frozenset({0, 1, 2})
    memory: frozenset[int] = frozenset({0, 1, 2})
    promoted: int | None = None


def is_broken(state: State) -> bool:
    """Returns whether an acknowledged commit is not in the promoted log."""
    return (
        state.promoted is not None and state.logs[state.promoted] < state.acknowledged
    )


def successors(state: State, rules: Rules) -> Iterator[State]:
    """Yields the states that one event may lead to."""
    if PRIMARY in state.alive:
        yield from _commits(state, rules)
        yield from _catch_ups(state)
    for item in (PRIMARY, *REPLICAS):
        yield from _events_of(state, item)
    # All proxies are lost, and started ones have seen the entries that are there.
    yield replace(state, memory=state.registered)
    yield replace(state, memory=state.memory | state.registered)
    joined = frozenset({JOINING}) if not rules.records_joining else frozenset()
    yield replace(state, row=(state.row | state.memory) - joined)
    yield from _promotions(state, rules)


def _commits(state: State, rules: Rules) -> Iterator[State]:
    if state.acknowledged == MAX_COMMITS:
        return
    recorded = state.row if rules.records_joining else state.row | state.alive
    able = [item for item in REPLICAS if item in state.alive & recorded]
    for count in range(1, len(able) + 1):
        for receivers in combinations(able, count):
            number = state.logs[PRIMARY] + 1
            # A replica receives commits in order, those that it lacks before the new one.
            logs = _set_logs(state, (PRIMARY, *receivers), number)
            yield replace(state, logs=logs, acknowledged=number)


def _catch_ups(state: State) -> Iterator[State]:
    for item in REPLICAS:
        if item in state.alive and state.logs[item] < state.logs[PRIMARY]:
            logs = _set_logs(state, (item,), state.logs[PRIMARY])
            yield replace(state, logs=logs)


def _set_logs(
    state: State, items: tuple[int, ...], length: int
) -> tuple[int, int, int, int]:
    first, second, third, fourth = (
        length if item in items else known for item, known in enumerate(state.logs)
    )
    return first, second, third, fourth


def _events_of(state: State, item: int) -> Iterator[State]:
    """Yields crashes, returns, joins, and changes of the entry of an instance."""
    if item in state.alive:
        yield replace(state, alive=state.alive - {item})
        yield replace(state, registered=state.registered | {item})
    else:
        yield replace(state, alive=state.alive | {item})
    yield replace(state, registered=state.registered - {item})


def _promotions(state: State, rules: Rules) -> Iterator[State]:
    if PRIMARY in state.alive:
        return
    candidates = state.alive & state.registered - {PRIMARY}
    expected = state.registered
    if rules.counts_expired:
        expected |= state.memory
        if rules.records_instances:
            expected |= state.row
    missing = expected - candidates - {PRIMARY}
    if not candidates or (missing and rules.waits_for_missing):
        return
    furthest = max(state.logs[item] for item in candidates)
    for item in candidates:
        if state.logs[item] == furthest or not rules.promotes_furthest:
            yield replace(state, promoted=item)


def find_lost_commit(rules: Rules) -> State | None:
    """Returns a state in which an acknowledged commit was lost, or None."""
    initial = State()
    seen, queue = {initial}, deque([initial])
    while queue:
        state = queue.popleft()
        if is_broken(state):
            return state
        if state.promoted is not None:
            continue
        for after in successors(state, rules):
            if after not in seen:
                seen.add(after)
                queue.append(after)
    return None
