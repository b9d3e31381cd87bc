"""Waiting entries of one class, in fair order between organisations."""

import heapq
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

# An entry counts as late if less than this multiple of its cost is left until its
# objective: of uses with an exponentially distributed time, 14% last longer.
COST_MARGIN = 2.0


@dataclass(slots=True, eq=False, kw_only=True)
class QueueEntry:
    """A statement that waits.

    Attributes:
        organisation: Organisation whose statement it is, or empty.
        class_name: Class of the statement.
        priority: Priority; lower numbers are served first.
        objective_at: Monotonic time in seconds by which it should be answered.
        objective_s: Latency objective of its class, in seconds.
        deadline: Monotonic time in seconds by which it has to be served.
        cost_s: Expected time in seconds for which it uses what it waits for.
        overtaken_since: Monotonic time in seconds since which entries behind it in
            fair order were preferred, or None.
        sequence: Rank in the order of arrival, set by the queue.
        start_by: Monotonic time in seconds by which it has to start to meet its
            objective.
    """

    organisation: str
    class_name: str
    priority: int
    objective_at: float
    objective_s: float
    deadline: float
    cost_s: float
    overtaken_since: float | None = None
    sequence: int = 0
    start_by: float = field(init=False)

    def __post_init__(self) -> None:
        self.start_by = self.objective_at - self.cost_s * COST_MARGIN


E = TypeVar("E", bound=QueueEntry)


@dataclass(slots=True, eq=False)
class Backlog(Generic[E]):
    """Waiting entries of one organisation in one class.

    Attributes:
        start: Start tag of its next entry, in seconds of served cost.
        on_time: Entries that can meet their objective, in order of arrival.
        late: Entries that cannot, in order of arrival.
        on_time_s: Cost of the entries that can.
    """

    start: float
    on_time: deque[E] = field(default_factory=deque)
    late: deque[E] = field(default_factory=deque)
    on_time_s: float = 0.0

    def update(self, now: float) -> None:
        """Moves entries that can't meet their objective any more behind the others."""
        while self.on_time and self.on_time[0].start_by < now:
            entry = self.on_time.popleft()
            self.on_time_s -= entry.cost_s
            self.late.append(entry)


@dataclass(frozen=True, slots=True)
class Candidate(Generic[E]):
    """The entry of a class that is next in fair order.

    Attributes:
        entry: The entry.
        backlog: Entries of its organisation.
        is_late: Whether it cannot meet its objective.
    """

    entry: E
    backlog: Backlog[E]
    is_late: bool


class ClassQueue(Generic[E]):
    """Start-time fair queue of the entries of one class.

    The organisation with the lowest start tag is next, and its tag rises by the cost of
    what it is served. An organisation that begins to wait starts at the tag that was
    served last, so it gains nothing from the time in which it did not ask.

    Entries that can't meet their objective are served after those that can.

    Attributes:
        starved_at: Monotonic time in seconds from which the class is served before
            others of its priority.
    """

    def __init__(self) -> None:
        self.starved_at = float("inf")
        self._backlogs: dict[str, Backlog[E]] = {}
        self._virtual_s = 0.0
        # Start tags of organisations that have stopped waiting.
        self._tags: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._backlogs)

    def __iter__(self) -> Iterator[E]:
        for backlog in self._backlogs.values():
            yield from backlog.on_time
            yield from backlog.late

    def push(self, entry: E, now: float) -> None:
        """Adds an entry behind those of its organisation."""
        if not self._backlogs:
            self.starved_at = now + entry.objective_s
        backlog = self._backlogs.get(entry.organisation)
        if backlog is None:
            start = max(self._virtual_s, self._tags.pop(entry.organisation, 0.0))
            backlog = self._backlogs[entry.organisation] = Backlog(start)
        backlog.on_time.append(entry)
        backlog.on_time_s += entry.cost_s

    def next(self, now: float) -> Candidate[E]:
        """Returns the next entry; the queue must not be empty."""
        on_time: Backlog[E] | None = None
        late: Backlog[E] | None = None
        for backlog in self._backlogs.values():
            if backlog.on_time and backlog.on_time[0].start_by < now:
                backlog.update(now)
            # A tie goes to the organisation that began to wait first.
            if backlog.on_time and (on_time is None or backlog.start < on_time.start):
                on_time = backlog
            if backlog.late and (late is None or backlog.start < late.start):
                late = backlog
        if on_time is not None:
            return Candidate(on_time.on_time[0], on_time, is_late=False)
        assert late is not None
        return Candidate(late.late[0], late, is_late=True)

    def ahead_of(self, organisation: str, first: Candidate[E]) -> list[E] | None:
        """Returns the entries before the next one of an organisation, in any order.

        Args:
            organisation: The organisation.
            first: The present result of `next`.

        Returns:
            The next entries of the organisations before it, or None if it has none
            that is as late as the first.
        """
        own = self._backlogs.get(organisation)
        if own is None or not (own.late if first.is_late else own.on_time):
            return None
        return [
            entries[0]
            for backlog in self._backlogs.values()
            if (entries := backlog.late if first.is_late else backlog.on_time)
            and backlog is not own
            and backlog.start <= own.start
        ]

    def next_of(self, organisation: str, *, is_late: bool) -> Candidate[E]:
        """Returns the next entry of an organisation that has one."""
        backlog = self._backlogs[organisation]
        entries = backlog.late if is_late else backlog.on_time
        return Candidate(entries[0], backlog, is_late)

    def take(self, candidate: Candidate[E], now: float) -> E:
        """Removes an entry that is served, and charges its organisation."""
        entry = candidate.entry
        self._virtual_s = max(self._virtual_s, candidate.backlog.start)
        candidate.backlog.start += entry.cost_s
        self.starved_at = now + entry.objective_s
        self.discard(entry)
        return entry

    def discard(self, entry: E) -> bool:
        """Removes an entry; returns whether it was in the queue."""
        backlog = self._backlogs.get(entry.organisation)
        if backlog is None:
            return False
        if entry in backlog.on_time:
            backlog.on_time.remove(entry)
            backlog.on_time_s -= entry.cost_s
        elif entry in backlog.late:
            backlog.late.remove(entry)
        else:
            return False
        if not backlog.on_time and not backlog.late:
            self._tags[entry.organisation] = backlog.start
            del self._backlogs[entry.organisation]
        if not self._backlogs:
            # All organisations start equal when entries wait again.
            self._tags.clear()
            self._virtual_s = 0.0
        return True

    def cost_before(self, organisation: str) -> float:
        """Returns the cost that is served before a new entry of an organisation.

        The new entry is taken to be on time, so late ones are not before it.
        """
        own = self._backlogs.get(organisation)
        if own is None:
            start = max(self._virtual_s, self._tags.get(organisation, 0.0))
        else:
            start = own.start + own.on_time_s
        return sum(
            backlog.on_time_s
            if backlog is own
            else min(backlog.on_time_s, max(start - backlog.start, 0.0))
            for backlog in self._backlogs.values()
        )

    def in_order(self, now: float) -> tuple[list[E], list[E]]:
        """Returns all entries in fair order: those on time, and those that are late."""
        for backlog in self._backlogs.values():
            backlog.update(now)
        tags = {name: backlog.start for name, backlog in self._backlogs.items()}
        on_time = _fair_order(
            {name: backlog.on_time for name, backlog in self._backlogs.items()}, tags
        )
        late = _fair_order(
            {name: backlog.late for name, backlog in self._backlogs.items()}, tags
        )
        return on_time, late


def _fair_order(entries: dict[str, deque[E]], tags: dict[str, float]) -> list[E]:
    """Returns entries in fair order and raises the tags by their costs."""
    waiting = [
        (tags[name], rank, name, iter(queue))
        for rank, (name, queue) in enumerate(entries.items())
        if queue
    ]
    heapq.heapify(waiting)
    ordered: list[E] = []
    while waiting:
        _, rank, name, rest = heapq.heappop(waiting)
        entry = next(rest, None)
        if entry is None:
            continue
        ordered.append(entry)
        tags[name] += entry.cost_s
        heapq.heappush(waiting, (tags[name], rank, name, rest))
    return ordered
