"""Losses of instances, of their entries and of all proxies, in series that overlap."""

import asyncio
import random
import signal

from heatherpier.bench._simulated_group import SimulatedInstance
from heatherpier.platform.tests._deployment import Deployment

MAX_PAUSE_S = 2.0
# Longer than a missing entry is kept by proxies, which is 2.5 s.
LAPSE_S = (3.0, 6.0)
DOWN_S = (0.5, 4.0)
ODD_ENTRIES = (
    b"[" * 100_000,
    b'{"service":"claims","x":' + b"[" * 100_000,
    b'{"service":"claims","born":1' + b"0" * 30 + b"}",
    b'{"service":"claims","address":"10.0.0.1:70000","zone":"north-a"}',
    b"\xff\xfe",
    b"null",
    b"[]",
    b'{"service":"claims","address":"127.0..9:8784","zone":"south-a",'
    b'"state":"ready","dbRole":"primary"}',
    b'{"service":"claims x","address":"10.0.0.1:8784","zone":"south-a",'
    b'"state":"ready","dbRole":"primary"}',
)


class LossFaults:
    """Loses instances for good, down to one, and what is known of them.

    Args:
        deployment: Deployment that is hit.
        rng: Draws the faults.
    """

    def __init__(self, deployment: Deployment, *, rng: random.Random) -> None:
        self._deployment = deployment
        self._timers = deployment.timers
        self._rng = rng
        self._count = 0

    async def inject(self, duration_s: float) -> None:
        """Injects faults; when it returns, only losses for good are left."""
        until = self._timers.now() + duration_s
        async with asyncio.TaskGroup() as tasks:
            while self._timers.now() < until:
                step = self._rng.choice(
                    [
                        self._lose_all_proxies,
                        self._lose_entry,
                        self._lose_last_entry,
                        self._lose_instance,
                        self._crash_together,
                    ]
                )
                self._write_odd_entry()
                if step == self._lose_all_proxies:
                    # Processes are ended by one fault at a time.
                    await step()
                else:
                    tasks.create_task(step())
                await self._timers.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))

    def _left(self) -> list[SimulatedInstance]:
        """Returns the instances that are not lost for good."""
        group = self._deployment.group
        lost = self._deployment.lost
        return [item for item in group.instances.values() if item.name not in lost]

    def _primary(self) -> SimulatedInstance | None:
        leading = [item for item in self._left() if item.leads]
        return max(leading, key=lambda item: item.term, default=None)

    def _write_odd_entry(self) -> None:
        self._count += 1
        body = self._rng.choice(ODD_ENTRIES)
        self._deployment.store.write("servers", f"odd-{self._count}", body)

    def _may_lose_primary(self) -> bool:
        """Returns whether another instance surely has what the primary committed."""
        return len(self._left()) > 1 and all(item.running for item in self._left())

    async def _lose_instance(self) -> None:
        """Loses an instance for good, but never the last one."""
        if self._may_lose_primary():
            self._deployment.lose(self._rng.choice(self._left()))

    async def _lose_entry(self) -> None:
        """Cuts an instance off from the store alone."""
        await self._lapse(self._rng.choice(self._left()))

    async def _lose_last_entry(self) -> None:
        """Leaves only the primary, and then cuts it off from the store alone."""
        primary = self._primary()
        if primary is None or not self._may_lose_primary():
            return
        for item in self._left():
            if item is not primary:
                self._deployment.lose(item)
        await self._timers.sleep(self._rng.uniform(*LAPSE_S))
        await self._lapse(primary)

    async def _lapse(self, instance: SimulatedInstance) -> None:
        self._deployment.unregister(instance)
        await self._timers.sleep(self._rng.uniform(*LAPSE_S))
        if instance in self._left():
            self._deployment.register(instance)

    async def _crash_together(self) -> None:
        """Stops all instances but one, and starts them again with their logs."""
        hit = self._rng.sample(self._left(), len(self._left()) - 1)
        for item in hit:
            item.running = False
            self._deployment.reset(item)
        await self._timers.sleep(self._rng.uniform(*DOWN_S))
        for item in hit:
            item.running = item in self._left()

    async def _lose_all_proxies(self) -> None:
        """Kills all proxies; meanwhile an instance may be lost for good."""
        proxies = self._deployment.proxies
        for proxy in proxies:
            proxy.signal(signal.SIGKILL)
        for proxy in proxies:
            await proxy.wait_until_ended()
        primary = self._primary()
        if primary is not None and self._may_lose_primary():
            self._deployment.lose(primary)
        await self._timers.sleep(self._rng.uniform(*DOWN_S))
        for proxy in proxies:
            await proxy.start()
