"""Order of waiters: priority, slack of their class, shares of their organisation."""

import heapq
import itertools
from collections import defaultdict
from collections.abc import Collection, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from heatherpier.limits._class_queue import Candidate, ClassQueue, QueueEntry
from heatherpier.limits._meters import Rate
from heatherpier.limits._service_rate import ServiceRate

# Bound of the queue. At the mean use of a session statement (33 ms) and four
# connections, it is served within 2.1 s, which is less than the shortest deadline.
MAX_ENTRIES = 256
# An entry is preferred for its organisation only if fewer organisations than this are
# before it in fair order.
PREFERRED_AMONG = 8
# Time for which an entry may be overtaken by preferred ones: a fifth of the shortest
# objective (503 ms).
MAX_OVERTAKEN_S = 0.1
# The estimate assumes that arrivals that go first use at most this fraction of the rate:
# a burst seems to exceed it, but ends. At 15/16, more is refused that could be served;
# at 1/2, waiters without a chance are held and the full queue rejects short work.
MAX_HIGHER_LOAD = 3 / 4
# Refused callers are told to return within this time at the latest, unless the queue
# itself is longer: the shortest deadline is 3 s, after which an answer has no use.
MAX_RETURN_S = 2.0

E = TypeVar("E", bound=QueueEntry)


@dataclass(frozen=True, slots=True)
class Hopeless(Generic[E]):
    """An entry that can't be served before its deadline.

    Attributes:
        entry: The entry.
        wait_s: Time in seconds after which it would be served.
    """

    entry: E
    wait_s: float


class FairQueue(Generic[E]):
    """Bounded queue of entries, without a clock of its own.

    The order is by priority. Within a priority, the class whose next entry has the
    least time left until its objective is first; entries that are late already come
    after those that can meet their objective. A class that was served nothing for as
    long as its objective is first once. Within a class, organisations get equal shares
    of the cost that is served.

    All times are monotonic, in seconds.

    Args:
        rate: Expected rate of service until one is measured, in seconds of cost per
            second.
        max_entries: Maximum number of entries.

    Attributes:
        overtakes: Number of entries that were served before their turn so far.
    """

    def __init__(self, *, rate: float = 1.0, max_entries: int = MAX_ENTRIES) -> None:
        self.overtakes = 0
        self._max_entries = max_entries
        self._classes: dict[int, dict[str, ClassQueue[E]]] = {}
        self._rate = ServiceRate(rate)
        self._arrivals: dict[int, Rate] = {}
        self._count = 0
        # Monotonic time in seconds at which the work of all refused callers could be
        # done, if only theirs were.
        self._returned_at = 0.0
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[E]:
        for queue in self._queues():
            yield from queue

    def _queues(self) -> Iterator[ClassQueue[E]]:
        for classes in self._classes.values():
            yield from classes.values()

    def expect_rate(self, rate: float) -> None:
        """Sets the rate that is assumed as far as none is measured."""
        self._rate.expected = rate

    def push(self, entry: E, now: float) -> E | None:
        """Adds an entry.

        Returns:
            The entry that is rejected because the queue is full, which may be the new
            one, or None: the newest one of the organisation with the most waiting cost.
        """
        if not self._count:
            self._rate.begin(now)
        entry.sequence = next(self._sequence)
        classes = self._classes.setdefault(entry.priority, {})
        classes.setdefault(entry.class_name, ClassQueue()).push(entry, now)
        self._arrivals.setdefault(entry.priority, Rate()).record(now, entry.cost_s)
        self._count += 1
        if self._count <= self._max_entries:
            return None
        rejected = self._newest_of_largest()
        self.discard(rejected, now)
        return rejected

    def _newest_of_largest(self) -> E:
        costs: dict[str, float] = defaultdict(float)
        for entry in self:
            costs[entry.organisation] += entry.cost_s
        largest = max(costs, key=lambda name: costs[name])
        return max(
            (entry for entry in self if entry.organisation == largest),
            key=lambda entry: entry.sequence,
        )

    def pop(
        self,
        now: float,
        prefer: str | None = None,
        *,
        without: Collection[str] = (),
    ) -> E | None:
        """Removes and returns the next entry, or None if there is none.

        Args:
            now: The present time.
            prefer: Organisation whose entry is taken if it is among the next few and
                nobody is overtaken for longer than `MAX_OVERTAKEN_S`, or None.
            without: Classes of which none is taken.
        """
        for priority in sorted(self._classes):
            queues = [
                queue
                for name, queue in self._classes[priority].items()
                if queue and name not in without
            ]
            if not queues:
                continue
            queue, candidate = _first(queues, now)
            if prefer is not None:
                candidate = self._preferred(queue, candidate, prefer, now)
            entry = queue.take(candidate, now)
            self._rate.note_served(entry.cost_s, now)
            self._note_removed(now)
            return entry
        return None

    def _preferred(
        self, queue: ClassQueue[E], first: Candidate[E], organisation: str, now: float
    ) -> Candidate[E]:
        if first.entry.organisation == organisation:
            return first
        ahead = queue.ahead_of(organisation, first)
        if ahead is None or len(ahead) >= PREFERRED_AMONG:
            return first
        if any(_is_urgent(entry, now) for entry in ahead):
            return first
        for entry in ahead:
            if entry.overtaken_since is None:
                entry.overtaken_since = now
        self.overtakes += 1
        return queue.next_of(organisation, is_late=first.is_late)

    def _note_removed(self, now: float) -> None:
        self._count -= 1
        if not self._count:
            self._rate.end(now)

    def discard(self, entry: E, now: float) -> bool:
        """Removes an entry that is not served; returns whether it was in the queue."""
        queue = self._classes.get(entry.priority, {}).get(entry.class_name)
        if queue is None or not queue.discard(entry):
            return False
        self._note_removed(now)
        return True

    def turn_s(self, entry: E, now: float) -> float:
        """Returns after how long a new entry that is on time would be served.

        Args:
            entry: An entry that is not in the queue.
            now: The present time.

        Returns:
            Time in seconds, at the measured rate.
        """
        cost_s = entry.cost_s
        for priority, classes in self._classes.items():
            for name, queue in classes.items():
                if priority < entry.priority:
                    cost_s += sum(other.cost_s for other in queue)
                elif priority == entry.priority and name == entry.class_name:
                    cost_s += queue.cost_before(entry.organisation)
                elif priority == entry.priority:
                    cost_s += sum(
                        other.cost_s
                        for other in queue
                        if now <= other.start_by <= entry.start_by
                    )
        return cost_s / self._rate_beside(now, below=entry.priority)

    def book_return_s(self, entry: E, now: float) -> float:
        """Returns after how long the caller of a refused entry should return.

        Refused callers are served one after the other at the measured rate, so each is
        told to return when the work of those refused before it could be done.

        Args:
            entry: The refused entry, which is not in the queue.
            now: The present time.

        Returns:
            Time in seconds, not before the turn of a new entry.
        """
        returned_at = max(self._returned_at, now)
        self._returned_at = returned_at + entry.cost_s / self._rate.value(now)
        booked_s = min(self._returned_at - now, MAX_RETURN_S)
        return max(self.turn_s(entry, now), booked_s)

    def expected_wait_s(self, entry: E, now: float) -> float:
        """Returns how long a new entry would wait, in seconds, at the measured rate.

        An entry that could not meet its objective would wait until those that can,
        and those that arrive meanwhile, were served.

        Args:
            entry: An entry that is not in the queue.
            now: The present time.
        """
        turn_s = self.turn_s(entry, now)
        if now + turn_s <= entry.start_by:
            return turn_s
        cost_s = entry.cost_s + sum(
            other.cost_s for other in self if other.priority <= entry.priority
        )
        return cost_s / self._rate_beside(now, below=entry.priority + 1)

    def _rate_beside(self, now: float, *, below: int) -> float:
        """Returns the rate that is left beside arrivals of priorities ``below``."""
        rate = self._rate.value(now)
        load = sum(
            arrivals.per_s(now)
            for priority, arrivals in self._arrivals.items()
            if priority < below
        )
        return rate * (1 - min(load / rate, MAX_HIGHER_LOAD))

    def shed(self, now: float) -> list[Hopeless[E]]:
        """Removes and returns the entries that can't be served before their deadline."""
        if not self._count:
            return []
        lowest = max(self._classes)
        cost_s = sum(entry.cost_s for entry in self)
        longest_s = cost_s / self._rate_beside(now, below=lowest + 1)
        if now + longest_s <= min(entry.deadline for entry in self):
            return []
        hopeless: list[Hopeless[E]] = []
        ahead_s = 0.0
        for priority in sorted(self._classes):
            served_s, found = self._hopeless_of(priority, ahead_s, now)
            ahead_s += served_s
            hopeless += found
        for item in hopeless:
            self.discard(item.entry, now)
        return hopeless

    def _hopeless_of(
        self, priority: int, ahead_s: float, now: float
    ) -> tuple[float, list[Hopeless[E]]]:
        """Returns the cost that is served of a priority, and its hopeless entries."""
        on_time, late = _in_order(list(self._classes[priority].values()), now)
        began_s = ahead_s
        rate = self._rate_beside(now, below=priority)
        for entry in on_time:
            if now + (ahead_s + entry.cost_s) / rate > entry.start_by:
                late.append(entry)
            else:
                ahead_s += entry.cost_s
        hopeless: list[Hopeless[E]] = []
        rate = self._rate_beside(now, below=priority + 1)
        for entry in late:
            wait_s = (ahead_s + entry.cost_s) / rate
            if now + wait_s > entry.deadline:
                hopeless.append(Hopeless(entry, wait_s))
            else:
                ahead_s += entry.cost_s
        return ahead_s - began_s, hopeless


def _is_urgent(entry: QueueEntry, now: float) -> bool:
    """Returns whether an entry may not be overtaken any more."""
    overtaken_since = entry.overtaken_since
    if overtaken_since is not None and now - overtaken_since >= MAX_OVERTAKEN_S:
        return True
    return 0 <= entry.start_by - now < MAX_OVERTAKEN_S


def _first(
    queues: list[ClassQueue[E]], now: float
) -> tuple[ClassQueue[E], Candidate[E]]:
    """Returns the class of one priority that is served next, and its next entry."""
    starved = min(queues, key=lambda queue: queue.starved_at)
    if starved.starved_at <= now:
        return starved, starved.next(now)
    nexts = [(queue, queue.next(now)) for queue in queues]
    return min(nexts, key=lambda item: (item[1].is_late, item[1].entry.start_by))


def _in_order(queues: list[ClassQueue[E]], now: float) -> tuple[list[E], list[E]]:
    """Returns the entries of one priority in the order in which they are served.

    Returns:
        Those on time, and those that are late.
    """
    orders = [queue.in_order(now) for queue in queues]
    return _merge([order[0] for order in orders]), _merge(
        [order[1] for order in orders]
    )


def _merge(orders: list[list[E]]) -> list[E]:
    """Merges the orders of classes, the least slack of their next entries first."""
    heads = [(order[0].start_by, rank, 0) for rank, order in enumerate(orders) if order]
    heapq.heapify(heads)
    merged: list[E] = []
    while heads:
        _, rank, index = heapq.heappop(heads)
        merged.append(orders[rank][index])
        if index + 1 < len(orders[rank]):
            start_by = orders[rank][index + 1].start_by
            heapq.heappush(heads, (start_by, rank, index + 1))
    return merged
