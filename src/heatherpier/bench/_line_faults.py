"""Faults of a group's instances and of the store, drawn by seed."""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from heatherpier.bench._line_group import LineGroup, LineInstance
from heatherpier.bench._row_store import MemoryRowStore
from heatherpier.timers import Timers

# Begins a fault, keeps it for a time in seconds, and ends it.
Fault = Callable[[float], Coroutine[Any, Any, None]]
SHORTEST_S = 0.2
LAG_S = 3.0
USUAL_LAG_S = 0.01
# Times in seconds after which a write without an answer takes effect.
LATE_EFFECTS_S = (0.0, 0.5, 2.0)


class LineFaults:
    """Breaks instances and the store for a while.

    Args:
        group: The instances.
        store: The store.
        names: Names of all proxies.
        rng: Draws what is hit.
        timers: Timer service.
        register: Has an instance say in the store how it is.
        reset: Resets the connections of an instance.
        isolate: Cuts a proxy off from store and peers; by default from the store.
        rejoin: Undoes that.
    """

    def __init__(
        self,
        group: LineGroup,
        *,
        store: MemoryRowStore,
        names: Sequence[str],
        rng: random.Random,
        timers: Timers,
        register: Callable[[LineInstance], None],
        reset: Callable[[LineInstance], None] = lambda instance: None,
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
        self._isolate = isolate or store.faults.silent.add
        self._rejoin = rejoin or store.faults.silent.discard

    async def draw(
        self, kinds: list[Fault], *, for_s: float, longest_s: float, gap_s: float
    ) -> None:
        """Draws faults that may overlap, and returns when all have ended.

        Args:
            kinds: What to draw from.
            for_s: For how long faults begin, in seconds.
            longest_s: The longest fault, in seconds.
            gap_s: Mean time from one fault's beginning to the next, in seconds.
        """
        until = self._timers.now() + for_s
        async with asyncio.TaskGroup() as tasks:
            while self._timers.now() < until:
                kind = self._rng.choice(kinds)
                tasks.create_task(kind(self._rng.uniform(SHORTEST_S, longest_s)))
                await self._timers.sleep(self._rng.expovariate(1 / gap_s))

    # Who is hit

    def instance(self) -> LineInstance:
        """Draws an instance."""
        return self._rng.choice(list(self._group.instances.values()))

    def primary(self) -> LineInstance | None:
        """Returns the newest primary; none leads while one is being promoted."""
        leading = any(item.leads for item in self._group.instances.values())
        return self._group.primary() if leading else None

    def half(self) -> set[str]:
        """Draws half of the proxies' names."""
        return set(self._rng.sample(self._names, len(self._names) // 2))

    # Instances

    async def crash(self, for_s: float) -> None:
        """Ends an instance, which comes back with its log, or the newer one's."""
        instance = self.instance()
        instance.running = False
        self._reset(instance)
        await self._timers.sleep(for_s)
        instance.running = True
        newest = self.primary()
        if newest is not None and newest is not instance:
            instance.leads = False
            instance.term = newest.term
            instance.log = list(newest.log)

    async def silence(self, for_s: float) -> None:
        """Has an instance answer nobody."""
        instance = self.instance()
        instance.silent = True
        await self._timers.sleep(for_s)
        instance.silent = False

    async def cut(self, for_s: float) -> None:
        """Cuts an instance off from half of the proxies."""
        instance, names = self.instance(), self.half()
        instance.cut_from |= names
        await self._timers.sleep(for_s)
        instance.cut_from -= names

    async def strand(self, for_s: float) -> None:
        """Leaves the primary to one proxy that hears little of the others."""
        name, primary = self._rng.choice(self._names), self.primary()
        if primary is None:
            return
        others = set(self._names) - {name}
        primary.cut_from |= others
        self._isolate(name)
        await self._timers.sleep(for_s)
        primary.cut_from -= others
        self._rejoin(name)

    async def lag(self, for_s: float) -> None:
        """Has an instance apply commits late."""
        instance = self.instance()
        instance.lag_s = LAG_S
        await self._timers.sleep(for_s)
        instance.lag_s = USUAL_LAG_S

    async def reset(self, for_s: float) -> None:
        """Resets the connections of an instance."""
        self._reset(self.instance())

    async def leave(self, for_s: float) -> None:
        """Has an instance drain, and stay after all."""
        await self.set_leaving(self.instance(), for_s)

    async def hand_over(self, for_s: float) -> None:
        """Has the primary drain while half of the proxies hear nothing of the store."""
        primary, names = self.primary(), self.half()
        if primary is None:
            return
        self._store.faults.silent |= names
        await self.set_leaving(primary, for_s)
        self._store.faults.silent -= names

    async def set_leaving(self, instance: LineInstance, for_s: float) -> None:
        """Has one instance drain, and stay after all."""
        staying = instance.record
        if staying.instance.leaving:
            return
        leaving = dataclasses.replace(staying.instance, leaving=True)
        instance.record = dataclasses.replace(staying, instance=leaving)
        self._register(instance)
        await self._timers.sleep(for_s)
        instance.record = staying
        self._register(instance)

    # The store

    async def part_from_store(self, for_s: float) -> None:
        """Has the store answer half of the proxies nothing."""
        names = self.half()
        self._store.faults.silent |= names
        await self._timers.sleep(for_s)
        self._store.faults.silent -= names

    async def silence_store(self, for_s: float) -> None:
        """Has the store answer nobody."""
        self._store.faults.silent |= set(self._names)
        await self._timers.sleep(for_s)
        self._store.faults.silent.clear()

    async def refuse_store(self, for_s: float) -> None:
        """Has the store turn half of the proxies away."""
        names = self.half()
        self._store.faults.refused |= names
        await self._timers.sleep(for_s)
        self._store.faults.refused -= names

    async def lose_answers(self, for_s: float) -> None:
        """Has a coming write take effect late and without an answer."""
        self._store.faults.lose_answers += 1
        self._store.faults.late_s = self._rng.choice(LATE_EFFECTS_S)

    async def forget_history(self, for_s: float) -> None:
        """Drops the store's history."""
        self._store.forget_history()
