"""Admission to one instance."""

import asyncio

from heatherpier.limits._concurrency import ConcurrencyLimit
from heatherpier.limits._meters import Rate
from heatherpier.limits._metrics import CONCURRENCY, REFUSED, WAITING
from heatherpier.limits._queue import FairQueue, StatementKind, Waiter
from heatherpier.requests import OverloadedError, Priority
from heatherpier.timers import Timers

MS_PER_S = 1000
MAX_WAITERS = 256
MIN_RETRY_MS = 50
MAX_PAUSE_S = 1.0
SHED_PERIOD_S = 0.05
# A wait is reckoned to last up to this multiple of its mean.
WAIT_MARGIN = 1.5
# Higher classes are reckoned with at most this share of the instance.
MAX_PRESSURE = 15 / 16


class Gate:
    """Lets statements through to one instance, in order and in bounds.

    Args:
        name: Name of the instance.
        slots: Statements that the instance runs at once.
        proxies: Count of proxies that share the instance.
        reserve: Slots that are kept for writes while it is the primary.
        timers: Timer service.
    """

    def __init__(
        self, name: str, *, slots: int, proxies: int, reserve: int, timers: Timers
    ) -> None:
        self._name = name
        self._timers = timers
        self._concurrency = ConcurrencyLimit(maximum=slots)
        self._read_share = max(slots - reserve, 0) / proxies
        self._queue = FairQueue()
        self._running = 0
        self._writes = 0
        self._primary_reads = 0
        self._arrivals = {priority: Rate() for priority in Priority}
        self._shed_at = 0.0
        self._pauses: set[asyncio.Task[None]] = set()

    def expected_wait_s(
        self, priority: Priority, user: str, kind: StatementKind
    ) -> float:
        """Returns how long a new statement would wait for its turn, in seconds."""
        if self._may_run(kind) and not len(self._queue):
            return 0.0
        return self._estimate_wait_s(
            self._queue.ahead(priority, user) + 1, priority, kind
        )

    def _estimate_wait_s(
        self, turns: int, priority: Priority, kind: StatementKind
    ) -> float:
        delay_s = self._concurrency.delay.value
        now = self._timers.now()
        higher = sum(
            rate.per_s(now)
            for other, rate in self._arrivals.items()
            if other < priority
        )
        capacity_per_s = self._concurrency.limit / max(delay_s, 1e-6)
        pressure = min(higher / capacity_per_s, MAX_PRESSURE)
        wait_s = turns / capacity_per_s / (1 - pressure)
        if kind is not StatementKind.PRIMARY_READ or self._read_share <= 0:
            return wait_s
        return max(wait_s, turns * delay_s / self._read_share)

    async def enter(self, waiter: Waiter) -> None:
        """Waits for the turn of a statement.

        Raises:
            OverloadedError: It would come too late, or others stand before it.
        """
        now = self._timers.now()
        wait_s = self.expected_wait_s(waiter.priority, waiter.user, waiter.kind)
        self._arrivals[waiter.priority].record(now)
        # Where there is room, only a try can tell whether the instance is fast again.
        least_s = wait_s * WAIT_MARGIN + self._concurrency.delay.value
        late = now + least_s > waiter.deadline
        if wait_s and late:
            raise self._refusal(waiter, wait_s)
        if len(self._queue) >= MAX_WAITERS:
            self._make_room(waiter, wait_s=wait_s)
        self._queue.push(waiter)
        self._dispatch()
        await self._granted(waiter, wait_s=wait_s)

    async def _granted(self, waiter: Waiter, *, wait_s: float) -> None:
        try:
            async with self._timers.timeout_at(waiter.deadline):
                await waiter.granted
        except TimeoutError as exc:
            self._withdraw(waiter)
            raise self._refusal(waiter, wait_s) from exc
        except BaseException:
            self._withdraw(waiter)
            raise

    def _withdraw(self, waiter: Waiter) -> None:
        """Takes out a waiter that gave up, also when its turn came just then."""
        self._queue.remove(waiter)
        granted = waiter.granted
        if not granted.done() or granted.cancelled() or granted.exception():
            return
        self._count(waiter.kind, -1)
        self._end_pause(waiter.kind)
        self._dispatch()

    def leave(self, waiter: Waiter, *, delay_s: float, answered: bool) -> None:
        """Takes in that a statement that was let through has ended.

        Args:
            waiter: The statement.
            delay_s: How long it took, in seconds.
            answered: Whether an answer came. A time limit tells nothing of the
                delay of answers.
        """
        now = self._timers.now()
        if answered:
            self._concurrency.record(delay_s, priority=waiter.priority, now=now)
        self._count(waiter.kind, -1)
        if waiter.kind is StatementKind.PRIMARY_READ:
            self._pace(delay_s)
        if now - self._shed_at >= SHED_PERIOD_S:
            self._shed_at = now
            self._shed()
        self._dispatch()

    # Who may run

    def _may_run(self, kind: StatementKind) -> bool:
        room = self._running < self._concurrency.limit
        match kind:
            case StatementKind.READ:
                return room
            case StatementKind.PRIMARY_READ:
                # Writes that wait for locks hold places for long; one read goes by.
                slots = max(int(self._read_share), 1)
                return self._primary_reads < (slots if room else 1)
            case StatementKind.WRITE:
                # Reads never keep the last write of a proxy waiting.
                return room or self._writes == 0

    def _dispatch(self) -> None:
        while waiter := self._queue.pop(lambda item: self._may_run(item.kind)):
            if waiter.granted.done():
                continue
            self._count(waiter.kind, 1)
            if waiter.kind is StatementKind.PRIMARY_READ:
                self._primary_reads += 1
            waiter.granted.set_result(None)
        WAITING.labels(self._name).set(len(self._queue))
        CONCURRENCY.labels(self._name).set(self._concurrency.limit)

    def _count(self, kind: StatementKind, change: int) -> None:
        self._running += change
        if kind is StatementKind.WRITE:
            self._writes += change

    # The primary's reserve for writes

    def _pace(self, delay_s: float) -> None:
        """Keeps a read's place on the primary empty for a while.

        With more proxies than slots for reads, each proxy has a part of a slot:
        it rests after each read so that it fills just that part of the time.
        """
        share = self._read_share
        if share >= 1:
            self._end_pause(StatementKind.PRIMARY_READ)
            return
        pause_s = MAX_PAUSE_S
        if share > 0:
            pause_s = min(delay_s * (1 / share - 1), MAX_PAUSE_S)
        task = asyncio.create_task(self._pace_for(pause_s))
        self._pauses.add(task)
        task.add_done_callback(self._pauses.discard)

    async def _pace_for(self, pause_s: float) -> None:
        await self._timers.sleep(pause_s)
        self._end_pause(StatementKind.PRIMARY_READ)
        self._dispatch()

    def _end_pause(self, kind: StatementKind) -> None:
        if kind is StatementKind.PRIMARY_READ:
            self._primary_reads -= 1

    # Refusals

    def _make_room(self, waiter: Waiter, *, wait_s: float) -> None:
        eviction_candidate = self._queue.eviction_candidate(
            waiter.priority, waiter.user
        )
        if eviction_candidate is None:
            raise self._refusal(waiter, wait_s)
        self._refuse(eviction_candidate, wait_s)

    def _shed(self) -> None:
        """Refuses those whose turn would come too late now, lowest class first."""
        now = self._timers.now()
        for place, waiter in enumerate(list(self._queue), start=1):
            wait_s = self._estimate_wait_s(place, waiter.priority, waiter.kind)
            if now + wait_s > waiter.deadline:
                self._refuse(waiter, wait_s)

    def _refuse(self, waiter: Waiter, wait_s: float) -> None:
        self._queue.remove(waiter)
        if not waiter.granted.done():
            waiter.granted.set_exception(self._refusal(waiter, wait_s))

    def _refusal(self, waiter: Waiter, wait_s: float) -> OverloadedError:
        REFUSED.labels(self._name, waiter.priority.name.lower()).inc()
        retry_after_ms = max(int(wait_s * MS_PER_S), MIN_RETRY_MS)
        return OverloadedError(
            f"{self._name} has no room in time", retry_after_ms=retry_after_ms
        )

    def close(self) -> None:
        """Ends all rests."""
        for task in self._pauses:
            task.cancel()
