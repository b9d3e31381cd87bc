"""Injects random faults into a simulated group and the store."""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from heatherpier.bench._row_store import MemoryRowStore
from heatherpier.bench._simulated_group import SimulatedGroup, SimulatedInstance
from heatherpier.timers import Timers

# Starts a fault, waits for the given duration in seconds, and ends the fault.
Fault = Callable[[float], Coroutine[Any, Any, None]]
MIN_FAULT_S = 0.2
FAULTY_LAG_S = 3.0
NORMAL_LAG_S = 0.01
# Delays after which a write whose answer is lost takes effect.
LATE_WRITE_DELAYS_S = (0.0, 0.5, 2.0)
# Ages of the backup from which the store is restored.
MIN_BACKUP_AGE_S = 0.5
MAX_BACKUP_AGE_S = 10.0
# Longest time for which the store is away during a restore.
MAX_RESTORE_S = 2.0
# Changes by other users of the store shortly before a change of primary, and their table.
FOREIGN_WRITES = 30
FOREIGN_TABLE = "foreign"
# Time after a restore in which the operator and the instances write their rows again.
REWRITE_S = 1.0


class FaultInjector:
    """Injects faults of limited duration into instances and the store.

    Each method for a kind of fault is a `Fault`.

    Args:
        group: The group whose instances are hit.
        store: The store that is hit.
        names: Names of all proxies.
        rng: Draws the faults, their targets, durations and start times.
        timers: Timer service.
        register: Writes the current entry of an instance to the store.
        reset: Resets the connections of an instance; does nothing by default.
        isolate: Cuts a proxy off from the store and its peers; by default from the
            store only.
        rejoin: Undoes `isolate`.
    """

    def __init__(
        self,
        group: SimulatedGroup,
        *,
        store: MemoryRowStore,
        names: Sequence[str],
        rng: random.Random,
        timers: Timers,
        register: Callable[[SimulatedInstance], None],
        reset: Callable[[SimulatedInstance], None] = lambda instance: None,
        isolate: Callable[[str], None] | None = None,
        rejoin: Callable[[str], None] | None = None,
    ) -> None:
        self._group = group
        self._store = store
        self._names = names
        self._rng = rng
        self._timers = timers
        self._register = register
        self._reset = reset
        self._isolate = isolate or store.faults.unresponsive_to.add
        self._rejoin = rejoin or store.faults.unresponsive_to.discard

    async def inject(
        self,
        kinds: list[Fault],
        *,
        duration_s: float,
        max_fault_s: float,
        interval_s: float,
    ) -> None:
        """Injects random faults that may overlap; returns when all have ended.

        Args:
            kinds: Kinds of faults to draw from.
            duration_s: Time in seconds during which new faults start.
            max_fault_s: Maximum duration of a fault, in seconds.
            interval_s: Mean time in seconds from the start of one fault to the start
                of the next.
        """
        until = self._timers.now() + duration_s
        async with asyncio.TaskGroup() as tasks:
            while self._timers.now() < until:
                kind = self._rng.choice(kinds)
                tasks.create_task(kind(self._rng.uniform(MIN_FAULT_S, max_fault_s)))
                await self._timers.sleep(self._rng.expovariate(1 / interval_s))

    def _draw_instance(self) -> SimulatedInstance:
        """Returns a random instance."""
        return self._rng.choice(list(self._group.instances.values()))

    def _primary(self) -> SimulatedInstance | None:
        """Returns the primary of the highest term, or None during a promotion."""
        has_primary = any(item.leads for item in self._group.instances.values())
        return self._group.primary() if has_primary else None

    def _draw_half(self) -> set[str]:
        """Returns the names of a random half of the proxies."""
        return set(self._rng.sample(self._names, len(self._names) // 2))

    async def crash(self, duration_s: float) -> None:
        """Stops an instance and starts it again.

        The instance comes back with the log of the current primary, or with its own
        if there is no other primary.
        """
        instance = self._draw_instance()
        instance.running = False
        self._reset(instance)
        await self._timers.sleep(duration_s)
        instance.running = True
        current = self._primary()
        if current is not None and current is not instance:
            instance.leads = False
            instance.term = current.term
            instance.log = list(current.log)

    async def hang(self, duration_s: float) -> None:
        """Stops an instance from answering any proxy."""
        instance = self._draw_instance()
        instance.unresponsive = True
        await self._timers.sleep(duration_s)
        instance.unresponsive = False

    async def partition(self, duration_s: float) -> None:
        """Cuts an instance off from half of the proxies."""
        instance, names = self._draw_instance(), self._draw_half()
        instance.cut_from |= names
        await self._timers.sleep(duration_s)
        instance.cut_from -= names

    async def isolate_primary(self, duration_s: float) -> None:
        """Leaves the primary reachable only by one proxy, which is itself isolated."""
        name, primary = self._rng.choice(self._names), self._primary()
        if primary is None:
            return
        others = set(self._names) - {name}
        primary.cut_from |= others
        self._isolate(name)
        await self._timers.sleep(duration_s)
        primary.cut_from -= others
        self._rejoin(name)

    async def lag(self, duration_s: float) -> None:
        """Makes an instance apply commits late."""
        instance = self._draw_instance()
        instance.lag_s = FAULTY_LAG_S
        await self._timers.sleep(duration_s)
        instance.lag_s = NORMAL_LAG_S

    async def lose_statement_answer(self, duration_s: float) -> None:
        """Makes an instance run its next statement and lose the answer."""
        self._draw_instance().lose_answers += 1

    async def reset(self, duration_s: float) -> None:
        """Resets the connections of an instance."""
        self._reset(self._draw_instance())

    async def drain(self, duration_s: float) -> None:
        """Makes an instance drain, then cancels the drain."""
        await self._drain(self._draw_instance(), duration_s)

    async def drain_primary(self, duration_s: float) -> None:
        """Makes the primary drain, then cancels the drain."""
        primary = self._primary()
        if primary is None:
            await self._timers.sleep(duration_s)
        else:
            await self._drain(primary, duration_s)

    async def drain_primary_during_outage(self, duration_s: float) -> None:
        """Drains the primary while half of the proxies get no answers from the store."""
        primary, names = self._primary(), self._draw_half()
        if primary is None:
            return
        self._store.faults.unresponsive_to |= names
        await self._drain(primary, duration_s)
        self._store.faults.unresponsive_to -= names

    async def _drain(self, instance: SimulatedInstance, duration_s: float) -> None:
        original = instance.record
        if original.instance.leaving:
            return
        leaving = dataclasses.replace(original.instance, leaving=True)
        instance.record = dataclasses.replace(original, instance=leaving)
        self._register(instance)
        await self._timers.sleep(duration_s)
        instance.record = original
        self._register(instance)

    async def partition_store(self, duration_s: float) -> None:
        """Stops the store from answering half of the proxies."""
        names = self._draw_half()
        self._store.faults.unresponsive_to |= names
        await self._timers.sleep(duration_s)
        self._store.faults.unresponsive_to -= names

    async def hang_store(self, duration_s: float) -> None:
        """Stops the store from answering any proxy."""
        self._store.faults.unresponsive_to |= set(self._names)
        await self._timers.sleep(duration_s)
        self._store.faults.unresponsive_to.clear()

    async def reject_store_calls(self, duration_s: float) -> None:
        """Makes the store reject the calls of half of the proxies."""
        names = self._draw_half()
        self._store.faults.refused |= names
        await self._timers.sleep(duration_s)
        self._store.faults.refused -= names

    async def lose_write_answer(self, duration_s: float) -> None:
        """Makes the next write take effect late, and loses its answer."""
        self._store.faults.lose_answers += 1
        self._store.faults.late_s = self._rng.choice(LATE_WRITE_DELAYS_S)

    async def drop_store_history(self, duration_s: float) -> None:
        """Drops the store's history, so that watches have to read whole tables."""
        self._store.drop_history()

    async def restore_store(self, duration_s: float) -> None:
        """Makes the store unavailable and restores it from an older backup."""
        await self._restore(
            away_s=min(duration_s, MAX_RESTORE_S),
            back_s=self._rng.uniform(MIN_BACKUP_AGE_S, MAX_BACKUP_AGE_S),
        )

    async def restore_before_change(self, duration_s: float) -> None:
        """Restores the store from a backup that lacks a change of primary.

        The primary drains, and the store is lost while it is replaced or soon after.
        Replicas apply commits late, so a read on the old primary shows its age.
        """
        primary = self._primary()
        if primary is None:
            return
        began = self._timers.now()
        for number in range(FOREIGN_WRITES):
            # Other users of the store write too, so the restore takes back more
            # numbers than the change and its confirmation use.
            self._store.commit(FOREIGN_TABLE, str(number), b"")
        for instance in self._group.instances.values():
            instance.lag_s = FAULTY_LAG_S
        drain = asyncio.create_task(self._drain(primary, duration_s + MAX_RESTORE_S))
        await self._timers.sleep(self._rng.uniform(0.0, MAX_RESTORE_S))
        back_s = self._timers.now() - began + self._rng.uniform(0.0, MIN_BACKUP_AGE_S)
        await self._restore(away_s=MIN_FAULT_S, back_s=back_s)
        await drain
        for instance in self._group.instances.values():
            instance.lag_s = NORMAL_LAG_S

    async def _restore(self, *, away_s: float, back_s: float) -> None:
        faults = self._store.faults
        down = set(self._names) - faults.unresponsive_to
        faults.unresponsive_to |= down
        await self._timers.sleep(away_s)
        self._store.restore(back_s=back_s + away_s)
        faults.unresponsive_to -= down
        await self._timers.sleep(REWRITE_S)
        self._store.rewrite_external()
