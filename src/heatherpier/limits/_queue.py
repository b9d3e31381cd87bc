"""Who waits for an instance, and who is next."""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from heatherpier.requests import Priority

# Each such grant goes to a lower class first, to these in turn, so that none starves.
LOWER_CLASS_EVERY = 8
LOWER_CLASSES = (Priority.AGED_READ, Priority.BATCH)


class StatementKind(Enum):
    """What a statement does to the instance that it runs on."""

    READ = "read"
    PRIMARY_READ = "primary read"
    WRITE = "write"


@dataclass(slots=True, eq=False, kw_only=True)
class Waiter:
    """A statement that waits for its turn.

    Attributes:
        priority: Its class.
        user: User that it runs for.
        kind: What it does.
        deadline: Monotonic time in seconds when it must be answered.
        granted: Set when its turn has come; holds an error when it is refused.
    """

    priority: Priority
    user: str
    kind: StatementKind
    deadline: float
    granted: asyncio.Future[None]


class FairQueue:
    """Waiters by class, and within a class by turns between users."""

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
        """Adds a waiter."""
        users = self._classes[waiter.priority]
        users.setdefault(waiter.user, deque()).append(waiter)
        self._count += 1

    def remove(self, waiter: Waiter) -> None:
        """Takes a waiter out; does nothing if it is not there."""
        waiters = self._classes[waiter.priority].get(waiter.user)
        if waiters is None or waiter not in waiters:
            return
        waiters.remove(waiter)
        self._count -= 1
        if not waiters:
            del self._classes[waiter.priority][waiter.user]

    def pop(self, may_run: Callable[[Waiter], bool]) -> Waiter | None:
        """Takes out the next waiter that may run now."""
        for priority in self._order():
            for user, waiters in self._classes[priority].items():
                if not may_run(waiters[0]):
                    continue
                waiter = waiters[0]
                self._classes[priority].move_to_end(user)
                self.remove(waiter)
                self._grants += 1
                return waiter
        return None

    def _order(self) -> list[Priority]:
        cycle, place = divmod(self._grants, LOWER_CLASS_EVERY)
        if place != LOWER_CLASS_EVERY - 1:
            return list(Priority)
        first = LOWER_CLASSES[cycle % len(LOWER_CLASSES)]
        return [first, *(priority for priority in Priority if priority is not first)]

    def ahead(self, priority: Priority, user: str) -> int:
        """Returns how many waiters would be served before a new one."""
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
        """Returns whom a full queue should refuse in favour of a new waiter.

        That is the newest waiter of the heaviest user in the lowest class, if its
        class is lower, or its user has more waiters than the new one's.
        """
        for other in reversed(Priority):
            users = self._classes[other]
            if not users:
                continue
            heaviest = max(users.values(), key=len)
            own = len(users.get(user, ())) if other == priority else 0
            lower = other > priority
            greedier = other == priority and len(heaviest) > own + 1
            return heaviest[-1] if lower or greedier else None
        return None
