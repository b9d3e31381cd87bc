"""Instances that leave for longer than `drainMs`, while the others are busy or lag."""

import asyncio
import contextlib
import dataclasses
import random
import sys

from heatherpier.bench._fault_injector import FAULTY_LAG_S, NORMAL_LAG_S
from heatherpier.bench._simulated_group import SimulatedInstance
from heatherpier.platform.tests._deployment import DRAIN_S, Deployment

# Time for which an instance serves on after `DRAIN_S`.
EXTRA_S = (0.5, 3.0)
# Time between the announcements of instances that leave together, and until the next.
GAP_S = (0.0, 1.5)
# Number of statements that a busy instance rejects, and time for which it is busy.
BUSY_STATEMENTS = 10_000
BUSY_S = (0.3, 1.5)
FREE_S = (0.05, 0.3)


class LeavingFaults:
    """Makes instances leave, one or two at a time, and the others hardly usable.

    Args:
        deployment: Deployment that is hit.
        rng: Draws the instances and times.
    """

    def __init__(self, deployment: Deployment, *, rng: random.Random) -> None:
        self._deployment = deployment
        self._timers = deployment.timers
        self._rng = rng
        self._leaving: set[str] = set()

    async def inject(self, duration_s: float) -> None:
        """Lets instances leave in turn for a time; returns when all are back."""
        until = self._timers.now() + duration_s
        occupying = asyncio.create_task(self._occupy_others())
        while self._timers.now() < until:
            await self._leave_together()
        occupying.cancel()
        for item in self._deployment.group.instances.values():
            self._free(item)

    async def _leave_together(self) -> None:
        instances = list(self._deployment.group.instances.values())
        async with asyncio.TaskGroup() as tasks:
            for item in self._rng.sample(instances, self._rng.randint(1, 2)):
                tasks.create_task(self._leave(item))
                await self._timers.sleep(self._rng.uniform(*GAP_S))

    async def _leave(self, instance: SimulatedInstance) -> None:
        """Announces that an instance leaves; another one takes its place later."""
        original = instance.record
        leaving = dataclasses.replace(original.instance, leaving=True)
        instance.record = dataclasses.replace(original, instance=leaving)
        self._leaving.add(instance.name)
        self._free(instance)
        self._deployment.register(instance)
        announced_at = self._timers.now()
        await self._timers.sleep(DRAIN_S + self._rng.uniform(*EXTRA_S))
        self._deployment.note_leave(instance, announced_at)
        self._leaving.discard(instance.name)
        instance.record = original
        self._deployment.register(instance)

    async def _occupy_others(self) -> None:
        while True:
            others = [
                item
                for item in self._deployment.group.instances.values()
                if item.name not in self._leaving
            ]
            for item in others:
                item.busy = BUSY_STATEMENTS
                item.lag_s = self._rng.choice((NORMAL_LAG_S, FAULTY_LAG_S))
            await self._timers.sleep(self._rng.uniform(*BUSY_S))
            for item in others:
                self._free(item)
            await self._timers.sleep(self._rng.uniform(*FREE_S))

    def _free(self, instance: SimulatedInstance) -> None:
        instance.busy = 0
        instance.lag_s = NORMAL_LAG_S


@contextlib.asynccontextmanager
async def busy_processes(count: int):
    """Runs processes that use as much processor time as they get."""
    running = [
        await asyncio.create_subprocess_exec(sys.executable, "-c", "while True: pass")
        for _ in range(count)
    ]
    try:
        yield
    finally:
        for process in running:
            process.kill()
        for process in running:
            await process.wait()
