"""Fair priority queue of the statements that wait for an instance."""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from heatherpier.requests import Priority

# One grant in this many goes to a lower class first, so that no class starves.
LOWER_CLASS_PERIOD = 8
# The classes that take turns at these grants. If batch alone got them, aged reads could
# starve.
LOWER_CLASSES = (Priority.AGED_READ, Priority.BATCH)


class StatementKind(Enum):
    """Kind of a statement, by the slots of an instance that it may use."""

    READ = "read"
    PRIMARY_READ = "primary read"
    WRITE = "write"


@dataclass(slots=True, eq=False, kw_only=True)
class Waiter:
    """A statement that waits for a slot.

    Attributes:
        priority: Priority class of the statement.
        user: User that the statement runs for.
        kind: Kind of the statement.
        deadline: Monotonic time in seconds when the caller must have the answer.
        granted: Completes when the slot is granted, or with an error if the statement
            is refused.
    """

    priority: Priority
    user: str
    kind: StatementKind
    deadline: float
    granted: asyncio.Future[None]


class RoundRobinQueue:
    """Queue of waiters, ordered by class, and round robin by user within a class."""

    def __init__(self) -> None:
        self._classes: dict[Priority, OrderedDict[str, deque[Waiter]]] = {
            priority: OrderedDict() for priority in Priority
        }
        self._grants = 0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[Waiter]:
        for users in self._classes.values():
            for waiters in users.values():
                yield from waiters

    def push(self, waiter: Waiter) -> None:
        """Adds a waiter behind those of the same class and user."""
        users = self._classes[waiter.priority]
        users.setdefault(waiter.user, deque()).append(waiter)
        self._count += 1

    def remove(self, waiter: Waiter) -> None:
        """Removes a waiter; does nothing if it is not queued."""
        waiters = self._classes[waiter.priority].get(waiter.user)
        if waiters is None or waiter not in waiters:
            return
        waiters.remove(waiter)
        self._count -= 1
        if not waiters:
            del self._classes[waiter.priority][waiter.user]

    def pop(self, may_run: Callable[[Waiter], bool]) -> Waiter | None:
        """Removes and returns the next waiter that may run, or None."""
        for priority in self._class_order():
            for user, waiters in self._classes[priority].items():
                if not may_run(waiters[0]):
                    continue
                waiter = waiters[0]
                self._classes[priority].move_to_end(user)
                self.remove(waiter)
                self._grants += 1
                return waiter
        return None

    def _class_order(self) -> list[Priority]:
        cycle, offset = divmod(self._grants, LOWER_CLASS_PERIOD)
        if offset != LOWER_CLASS_PERIOD - 1:
            return list(Priority)
        first = LOWER_CLASSES[cycle % len(LOWER_CLASSES)]
        return [first, *(priority for priority in Priority if priority is not first)]

    def count_ahead(self, priority: Priority, user: str) -> int:
        """Returns how many waiters would be served before a new one of ``user``."""
        before = sum(
            len(waiters)
            for other in Priority
            if other < priority
            for waiters in self._classes[other].values()
        )
        users = self._classes[priority]
        own = len(users.get(user, ()))
        others = sum(
            min(len(waiters), own + 1)
            for name, waiters in users.items()
            if name != user
        )
        return before + own + others

    def eviction_candidate(self, priority: Priority, user: str) -> Waiter | None:
        """Returns the waiter to refuse in favour of a new one when the queue is full.

        The candidate is the newest waiter of the user with the most waiters in the
        lowest class that has any. It is returned if its class is lower than the new
        waiter's, or if the class is the same and its user has more waiters than the
        new waiter's user would have. Otherwise the result is None.
        """
        for other in reversed(Priority):
            users = self._classes[other]
            if not users:
                continue
            longest = max(users.values(), key=len)
            own = len(users.get(user, ())) if other == priority else 0
            is_lower_class = other > priority
            has_more_waiters = other == priority and len(longest) > own + 1
            return longest[-1] if is_lower_class or has_more_waiters else None
        return None
