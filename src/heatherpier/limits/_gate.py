"""Admission control for one instance."""

import asyncio

from heatherpier.limits._concurrency import ConcurrencyLimit
from heatherpier.limits._meters import Rate
from heatherpier.limits._metrics import CONCURRENCY, REFUSED, WAITING
from heatherpier.limits._queue import RoundRobinQueue, StatementKind, Waiter
from heatherpier.requests import OverloadedError, Priority
from heatherpier.timers import Timers

MS_PER_S = 1000
MAX_WAITERS = 256
MIN_RETRY_MS = 50
MAX_PAUSE_S = 1.0
SHED_PERIOD_S = 0.05
# A wait is assumed to last up to this multiple of its estimated mean.
WAIT_MARGIN = 1.5
# The estimate assumes that higher classes use at most this fraction of the instance's
# capacity, and so stays finite.
MAX_HIGHER_CLASS_LOAD = 15 / 16


class Gate:
    """Admits statements to one instance by priority and within its limits.

    Args:
        name: Name of the instance.
        slots: Maximum number of statements that the instance runs at once.
        proxies: Number of proxies that share the instance.
        reserve: Number of slots reserved for writes while the instance is the primary.
        timers: Timer service.
    """

    def __init__(
        self, name: str, *, slots: int, proxies: int, reserve: int, timers: Timers
    ) -> None:
        self._name = name
        self._timers = timers
        self._concurrency = ConcurrencyLimit(maximum=slots)
        # Slots that this proxy may use for reads on the primary; may be less than 1.
        self._read_slots = max(slots - reserve, 0) / proxies
        self._queue = RoundRobinQueue()
        self._running = 0
        self._writes = 0
        self._primary_reads = 0
        self._arrivals = {priority: Rate() for priority in Priority}
        self._last_shed_at = 0.0
        self._pauses: set[asyncio.Task[None]] = set()

    def expected_wait_s(
        self, priority: Priority, user: str, kind: StatementKind
    ) -> float:
        """Returns how long a new statement would wait for its slot, in seconds."""
        if self._may_run(kind) and not len(self._queue):
            return 0.0
        return self._estimate_wait_s(
            self._queue.count_ahead(priority, user) + 1, priority, kind
        )

    def _estimate_wait_s(
        self, turns: int, priority: Priority, kind: StatementKind
    ) -> float:
        delay_s = self._concurrency.delay.value
        now = self._timers.now()
        higher_per_s = sum(
            rate.per_s(now)
            for other, rate in self._arrivals.items()
            if other < priority
        )
        capacity_per_s = self._concurrency.limit / max(delay_s, 1e-6)
        higher_class_load = min(higher_per_s / capacity_per_s, MAX_HIGHER_CLASS_LOAD)
        wait_s = turns / capacity_per_s / (1 - higher_class_load)
        if kind is not StatementKind.PRIMARY_READ or self._read_slots <= 0:
            return wait_s
        return max(wait_s, turns * delay_s / self._read_slots)

    async def acquire(self, waiter: Waiter) -> None:
        """Waits until the statement gets a slot.

        Raises:
            OverloadedError: The slot would come too late, or the queue is full and
                no other waiter is evicted.
        """
        now = self._timers.now()
        wait_s = self.expected_wait_s(waiter.priority, waiter.user, waiter.kind)
        self._arrivals[waiter.priority].record(now)
        # A statement that need not wait is admitted even if the mean delay exceeds its
        # deadline: only a new attempt can show that the instance is fast again.
        expected_s = wait_s * WAIT_MARGIN + self._concurrency.delay.value
        is_late = now + expected_s > waiter.deadline
        if wait_s and is_late:
            raise self._overloaded_error(waiter, wait_s)
        if len(self._queue) >= MAX_WAITERS:
            self._evict_for(waiter, wait_s=wait_s)
        self._queue.push(waiter)
        self._dispatch()
        await self._wait_until_granted(waiter, wait_s=wait_s)

    async def _wait_until_granted(self, waiter: Waiter, *, wait_s: float) -> None:
        try:
            async with self._timers.timeout_at(waiter.deadline):
                await waiter.granted
        except TimeoutError as exc:
            self._withdraw(waiter)
            raise self._overloaded_error(waiter, wait_s) from exc
        except BaseException:
            self._withdraw(waiter)
            raise

    def _withdraw(self, waiter: Waiter) -> None:
        """Removes a waiter that stopped waiting, and frees its slot if it has one."""
        self._queue.remove(waiter)
        granted = waiter.granted
        if not granted.done() or granted.cancelled() or granted.exception():
            return
        self._update_counts(waiter.kind, -1)
        self._end_pause(waiter.kind)
        self._dispatch()

    def release(self, waiter: Waiter, *, delay_s: float, answered: bool) -> None:
        """Records that an admitted statement has ended, and frees its slot.

        Args:
            waiter: The statement.
            delay_s: How long the statement took, in seconds.
            answered: Whether an answer came. Only then is the delay recorded: without
                an answer, it shows a time limit and not the delay of the instance.
        """
        now = self._timers.now()
        if answered:
            self._concurrency.record(delay_s, priority=waiter.priority, now=now)
        self._update_counts(waiter.kind, -1)
        if waiter.kind is StatementKind.PRIMARY_READ:
            self._pace(delay_s)
        if now - self._last_shed_at >= SHED_PERIOD_S:
            self._last_shed_at = now
            self._shed()
        self._dispatch()

    def _may_run(self, kind: StatementKind) -> bool:
        """Returns whether a statement of this kind may run now."""
        has_free_slot = self._running < self._concurrency.limit
        match kind:
            case StatementKind.READ:
                return has_free_slot
            case StatementKind.PRIMARY_READ:
                # Writes that wait for locks hold their slots for long, so one read
                # may always run beside them.
                slots = max(int(self._read_slots), 1)
                return self._primary_reads < (slots if has_free_slot else 1)
            case StatementKind.WRITE:
                # One write may always run, so that reads in all slots do not block
                # the writes of this proxy.
                return has_free_slot or self._writes == 0

    def _dispatch(self) -> None:
        while waiter := self._queue.pop(lambda item: self._may_run(item.kind)):
            if waiter.granted.done():
                continue
            self._update_counts(waiter.kind, 1)
            if waiter.kind is StatementKind.PRIMARY_READ:
                self._primary_reads += 1
            waiter.granted.set_result(None)
        WAITING.labels(self._name).set(len(self._queue))
        CONCURRENCY.labels(self._name).set(self._concurrency.limit)

    def _update_counts(self, kind: StatementKind, change: int) -> None:
        self._running += change
        if kind is StatementKind.WRITE:
            self._writes += change

    def _pace(self, delay_s: float) -> None:
        """Keeps the slot of a read on the primary empty for a while after the read.

        With more proxies than slots for reads, each proxy may use only a fraction of a
        slot. The pause lets its reads occupy a slot for just that fraction of the time.
        """
        slots = self._read_slots
        if slots >= 1:
            self._end_pause(StatementKind.PRIMARY_READ)
            return
        pause_s = MAX_PAUSE_S
        if slots > 0:
            pause_s = min(delay_s * (1 / slots - 1), MAX_PAUSE_S)
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

    def _evict_for(self, waiter: Waiter, *, wait_s: float) -> None:
        eviction_candidate = self._queue.eviction_candidate(
            waiter.priority, waiter.user
        )
        if eviction_candidate is None:
            raise self._overloaded_error(waiter, wait_s)
        self._refuse(eviction_candidate, wait_s)

    def _shed(self) -> None:
        """Refuses the waiters whose slot would now come too late."""
        now = self._timers.now()
        for turn, waiter in enumerate(list(self._queue), start=1):
            wait_s = self._estimate_wait_s(turn, waiter.priority, waiter.kind)
            if now + wait_s > waiter.deadline:
                self._refuse(waiter, wait_s)

    def _refuse(self, waiter: Waiter, wait_s: float) -> None:
        self._queue.remove(waiter)
        if not waiter.granted.done():
            waiter.granted.set_exception(self._overloaded_error(waiter, wait_s))

    def _overloaded_error(self, waiter: Waiter, wait_s: float) -> OverloadedError:
        REFUSED.labels(self._name, waiter.priority.name.lower()).inc()
        retry_after_ms = max(int(wait_s * MS_PER_S), MIN_RETRY_MS)
        return OverloadedError(
            f"{self._name} has no free slot in time", retry_after_ms=retry_after_ms
        )

    def close(self) -> None:
        """Cancels all pauses between reads on the primary."""
        for task in self._pauses:
            task.cancel()
