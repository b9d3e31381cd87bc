"""Waiters of a pool, in order of arrival or in fair order."""

import asyncio
import heapq
import itertools
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass

from heatherpier.limits import FairQueue, QueueEntry, RandomSource
from heatherpier.pooling._connection import InstanceConnection
from heatherpier.pooling._metrics import WaiterMetrics
from heatherpier.pooling._uses import ConnectionUse
from heatherpier.requests import OverloadedError
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("lending")
MS_PER_S = 1000
MIN_RETRY_MS = 50
# Refused callers are told to return within this fraction of the wait after it, so that
# they don't all return in one moment.
RETRY_SPREAD = 0.25

Grant = InstanceConnection | None


@dataclass(slots=True, eq=False, kw_only=True)
class Waiter(QueueEntry):
    """A waiter for a connection.

    Attributes:
        fut: Result of the wait: a connection, or None for the permission to open one.
        use: What it needs the connection for.
        since: Monotonic time in seconds at which it began to wait.
    """

    fut: asyncio.Future[Grant]
    use: ConnectionUse
    since: float


def make_waiter(
    use: ConnectionUse,
    *,
    organisation: str,
    priority: int,
    deadline: float,
    cost_s: float,
    now: float,
) -> Waiter:
    """Returns a waiter that begins to wait now; see `QueueEntry` for its fields."""
    return Waiter(
        fut=asyncio.get_running_loop().create_future(),
        use=use,
        since=now,
        organisation=organisation,
        class_name=use.class_name,
        priority=priority,
        objective_at=use.objective_at,
        objective_s=use.objective_s,
        deadline=deadline,
        cost_s=cost_s,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class FairOrder:
    """Settings of the fair order of waiters.

    Attributes:
        active: Returns whether waiters are ordered fairly now.
        rng: Spreads the times at which refused callers return.
        metrics: Metrics of waiters.
    """

    active: Callable[[], bool]
    rng: RandomSource
    metrics: WaiterMetrics


class Waiters:
    """The waiters of one pool.

    Without a fair order, the order is by priority, then by arrival.

    Args:
        instance: Name of the instance, for refusals.
        timers: Timer service.
        order: Settings of the fair order, or None if it is never active.
    """

    def __init__(
        self, instance: str, *, timers: Timers, order: FairOrder | None
    ) -> None:
        self._instance = instance
        self._timers = timers
        self._order = order
        self._by_arrival: list[tuple[int, int, Waiter]] = []
        self._sequence = itertools.count()
        self._fair: FairQueue[Waiter] = FairQueue()
        # All that wait now, the first that began to wait first.
        self._present: dict[Waiter, None] = {}

    @property
    def fair(self) -> bool:
        """Whether new waiters are ordered fairly."""
        return self._order is not None and self._order.active()

    @property
    def present(self) -> bool:
        """Whether a wait has not ended; the waiter may have been served just now."""
        return bool(self._present)

    def __len__(self) -> int:
        """Returns the number of waiters that were not served yet."""
        return sum(not waiter.fut.done() for waiter in self._present)

    def longest_wait_s(self) -> float:
        """Returns for how long the first of the waiters has waited, in seconds."""
        now = self._timers.now()
        return now - next((waiter.since for waiter in self._present), now)

    def has_any(self, *, without: Collection[str]) -> bool:
        """Returns whether a waiter of a class other than some waits."""
        return any(
            not waiter.fut.done() and waiter.class_name not in without
            for waiter in self._present
        )

    def push(self, waiter: Waiter, *, connections: int) -> None:
        """Adds a waiter.

        Args:
            waiter: The waiter; `leave` has to be called when its wait ends.
            connections: Number of connections that are open.

        Raises:
            OverloadedError: In fair order: it would be served after its deadline, or
                the queue is full and it is refused.
        """
        if self.fair:
            self._push_fair(waiter, connections)
        else:
            item = (waiter.priority, next(self._sequence), waiter)
            heapq.heappush(self._by_arrival, item)
        self._present[waiter] = None

    def _push_fair(self, waiter: Waiter, connections: int) -> None:
        now = self._timers.now()
        self._fair.expect_rate(max(connections, 1))
        wait_s = self._fair.expected_wait_s(waiter, now)
        # Without a connection the measured rate is that of a full instance, which
        # accepts connections again within seconds.
        if connections and now + wait_s >= waiter.deadline:
            raise self.refusal(waiter, "no chance", wait_s)
        rejected = self._fair.push(waiter, now)
        if rejected is None:
            return
        refusal = self.refusal(
            rejected, "queue full", self._fair.expected_wait_s(rejected, now)
        )
        if rejected is waiter:
            raise refusal
        _refuse(rejected, refusal)

    def leave(self, waiter: Waiter) -> None:
        """Removes a waiter whose wait has ended."""
        if waiter not in self._present:
            return
        del self._present[waiter]
        now = self._timers.now()
        self._fair.discard(waiter, now)
        if self._order is not None and self.fair:
            waits = self._order.metrics.waits.labels(waiter.class_name)
            waits.observe(now - waiter.since)

    def pop(
        self, organisation: str | None, *, without: Collection[str]
    ) -> Waiter | None:
        """Removes and returns the next waiter, or None if there is none.

        Args:
            organisation: Organisation of the connection that is free, or None.
            without: Classes that get none; only considered in fair order.
        """
        while self._by_arrival:
            _, _, waiter = heapq.heappop(self._by_arrival)
            if not waiter.fut.done():
                return waiter
        overtakes = self._fair.overtakes
        while True:
            now = self._timers.now()
            found = self._fair.pop(now, organisation, without=without)
            if found is None or not found.fut.done():
                break
        if self._order is not None:
            self._order.metrics.overtakes.inc(self._fair.overtakes - overtakes)
        return found

    def shed(self) -> None:
        """Refuses the waiters that can't be served before their deadline."""
        for item in self._fair.shed(self._timers.now()):
            _refuse(item.entry, self.refusal(item.entry, "pushed back", item.wait_s))

    def refusal(self, waiter: Waiter, cause: str, wait_s: float) -> OverloadedError:
        """Returns the refusal of a waiter in fair order, and logs it.

        Args:
            waiter: The waiter; it is not in the queue.
            cause: Why it is refused.
            wait_s: Time in seconds that it would have to wait.
        """
        assert self._order is not None
        # A caller that returns is served like a new one, before those that are late.
        return_s = self._fair.book_return_s(waiter, self._timers.now())
        return_s *= 1 + RETRY_SPREAD * self._order.rng.random()
        retry_after_ms = max(
            int(return_s * MS_PER_S),
            int(MIN_RETRY_MS * (1 + self._order.rng.random())),
        )
        self._order.metrics.refused.labels(cause).inc()
        log.info(
            "waiter refused",
            instance=self._instance,
            cause=cause,
            organisation=waiter.organisation,
            statement_class=waiter.class_name,
            waiters=len(self),
            expected_wait_ms=round(wait_s * MS_PER_S),
            left_ms=round((waiter.deadline - self._timers.now()) * MS_PER_S),
            retry_after_ms=retry_after_ms,
        )
        return OverloadedError(
            f"{self._instance}: {cause}, {len(self)} waiters",
            retry_after_ms=retry_after_ms,
        )

    def drain(self) -> Iterator[Waiter]:
        """Removes and yields all waiters that still wait."""
        while (waiter := self.pop(None, without=())) is not None:
            yield waiter


def _refuse(waiter: Waiter, refusal: OverloadedError) -> None:
    if not waiter.fut.done():
        waiter.fut.set_exception(refusal)
