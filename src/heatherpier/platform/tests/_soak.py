"""Faults from outside for real proxies, under load."""

import asyncio
import contextlib
import random
import signal
from pathlib import Path

from heatherpier.bench._line_faults import Fault, LineFaults
from heatherpier.bench._line_history import History
from heatherpier.platform.tests._callers import Callers
from heatherpier.platform.tests._deployment import MAIN, Deployment, ProxyProcess

READY_S = 20.0
# Mean time from one fault's beginning to the next.
GAP_S = 1.0
MAX_FAULT_S = 5.0
# The longest wait for leases of proxies that don't answer, a promotion, and rests.
RECOVERY_S = 25.0


class ProcessFaults:
    """Stops, pauses and strands proxies for a while.

    Args:
        deployment: The deployment.
        rng: Draws who is hit.
    """

    def __init__(self, deployment: Deployment, *, rng: random.Random) -> None:
        self._deployment = deployment
        self._timers = deployment.timers
        self._rng = rng
        self._busy: set[str] = set()

    def kinds(self) -> list[Fault]:
        """Returns all faults of this class."""
        return [self._kill, self._terminate, self._pause]

    @contextlib.contextmanager
    def _one_proxy(self):
        """Lends a proxy that no other signal is being sent to, or None."""
        free = [
            item for item in self._deployment.proxies if item.name not in self._busy
        ]
        proxy = self._rng.choice(free) if free else None
        if proxy is not None:
            self._busy.add(proxy.name)
        try:
            yield proxy
        finally:
            if proxy is not None:
                self._busy.discard(proxy.name)

    async def _kill(self, for_s: float) -> None:
        await self._end(signal.SIGKILL, for_s)

    async def _terminate(self, for_s: float) -> None:
        await self._end(signal.SIGTERM, for_s)

    async def _end(self, number: int, for_s: float) -> None:
        with self._one_proxy() as proxy:
            if proxy is None:
                return
            listening = await self._listens(proxy)
            proxy.signal(number)
            code = await proxy.ended()
            # A process that has not come so far has nobody to serve to the end.
            if number == signal.SIGTERM and listening:
                proxy.exits.append(code)
            await self._timers.sleep(for_s / 2)
            await proxy.start()

    async def _listens(self, proxy: ProxyProcess) -> bool:
        try:
            _, writer = await asyncio.open_connection(
                proxy.host, self._deployment.front
            )
        except OSError:
            # Nobody listens, which is the answer.
            return False
        writer.transport.abort()
        return True

    async def _pause(self, for_s: float) -> None:
        with self._one_proxy() as proxy:
            if proxy is None:
                return
            proxy.signal(signal.SIGSTOP)
            await self._timers.sleep(for_s)
            proxy.signal(signal.SIGCONT)


async def break_things(
    deployment: Deployment, *, seed: int, for_s: float, hand_overs_only: bool
) -> None:
    """Draws faults that overlap, and ends them all."""
    rng = random.Random(seed)
    faults = LineFaults(
        deployment.group,
        store=deployment.store,
        names=[proxy.name for proxy in deployment.proxies],
        rng=rng,
        timers=deployment.timers,
        register=deployment.register,
        reset=deployment.reset,
    )
    kinds: list[Fault] = [faults.hand_over]
    if not hand_overs_only:
        kinds += [
            faults.crash,
            faults.silence,
            faults.cut,
            faults.strand,
            faults.lag,
            faults.reset,
            faults.leave,
            faults.part_from_store,
            faults.silence_store,
            faults.refuse_store,
            faults.lose_answers,
            faults.forget_history,
            *ProcessFaults(deployment, rng=rng).kinds(),
        ]
    await faults.draw(kinds, for_s=for_s, longest_s=MAX_FAULT_S, gap_s=GAP_S)
    deployment.store.faults.lose_answers = 0


async def play(
    folder: Path,
    *,
    seed: int,
    for_s: float,
    proxies: int = 4,
    program: str = MAIN,
    hand_overs_only: bool = False,
) -> tuple[Deployment, History, bool]:
    """Plays one seed.

    Args:
        folder: Where settings and logs of the proxies go.
        seed: Seed of all faults.
        for_s: For how long faults are drawn, in seconds.
        proxies: Count of proxies.
        program: Python source that runs a proxy by its settings file.
        hand_overs_only: Whether all faults are primaries that leave unheard.

    Returns:
        The deployment, what callers saw, and whether all proxies served again
        afterwards.
    """
    folder.mkdir(parents=True, exist_ok=True)
    async with Deployment(folder, proxies=proxies, program=program) as deployment:
        callers = Callers(deployment)
        assert await callers.wait_until_served(READY_S)
        stop = asyncio.Event()
        pressing = [
            asyncio.create_task(callers.press(proxy, stop))
            for proxy in deployment.proxies
        ]
        await break_things(
            deployment, seed=seed, for_s=for_s, hand_overs_only=hand_overs_only
        )
        served = await callers.wait_until_served(RECOVERY_S)
        stop.set()
        await asyncio.gather(*pressing)
        return deployment, callers.history, served
