"""Runs real proxies under load with random faults."""

import asyncio
import contextlib
import random
import signal
from pathlib import Path

from heatherpier.bench._call_history import CallHistory
from heatherpier.bench._fault_injector import Fault, FaultInjector
from heatherpier.platform.tests._callers import Callers
from heatherpier.platform.tests._deployment import (
    PROXY_PROGRAM,
    Deployment,
    ProxyProcess,
)
from heatherpier.platform.tests._leaving_faults import LeavingFaults, busy_processes
from heatherpier.platform.tests._loss_faults import LossFaults
from heatherpier.platform.tests._moving_routes import MovingSessions
from heatherpier.platform.tests._peer_relays import PeerRelay

READY_TIMEOUT_S = 20.0
# Mean time from the start of one fault to the start of the next.
FAULT_INTERVAL_S = 1.0
MAX_FAULT_S = 5.0
# Restores of the store are drawn this many times as often as another kind of fault.
RESTORE_WEIGHT = 3
# The same for answers that an instance loses after it has run a statement.
LOST_ANSWER_WEIGHT = 15
# Longest delay of messages between two proxies.
MAX_PEER_DELAY_S = 0.3
# Maximum time until the leases of proxies that don't answer have expired, a replica is
# promoted, and back-offs have ended.
RECOVERY_S = 25.0
LISTENING_POLL_S = 0.05
LOSS_DETECTION_S = 0.6
# Time for which callers go on after the faults.
LOAD_AFTER_S = 2.0
# Time between a proxy's start and the replacement of the next one.
REPLACEMENT_PAUSE_S = 1.0


class ProcessFaults:
    """Injects faults of limited duration by signals to proxies.

    Args:
        deployment: Deployment whose proxies are hit.
        rng: Draws the proxies that are hit.
    """

    def __init__(self, deployment: Deployment, *, rng: random.Random) -> None:
        self._deployment = deployment
        self._timers = deployment.timers
        self._rng = rng
        self._reserved: set[str] = set()

    def kinds(self) -> list[Fault]:
        """Returns all kinds of faults of this class."""
        return [self._kill, self._terminate, self._pause]

    @contextlib.contextmanager
    def _reserve_proxy(self):
        """Yields a random proxy that no other fault of this class hits, or None."""
        free = [
            item for item in self._deployment.proxies if item.name not in self._reserved
        ]
        proxy = self._rng.choice(free) if free else None
        if proxy is not None:
            self._reserved.add(proxy.name)
        try:
            yield proxy
        finally:
            if proxy is not None:
                self._reserved.discard(proxy.name)

    async def _kill(self, duration_s: float) -> None:
        await self._end(signal.SIGKILL, duration_s)

    async def _terminate(self, duration_s: float) -> None:
        await self._end(signal.SIGTERM, duration_s)

    async def _end(self, number: int, duration_s: float) -> None:
        with self._reserve_proxy() as proxy:
            if proxy is None:
                return
            was_listening = await is_listening(self._deployment, proxy)
            proxy.signal(number)
            code = await proxy.wait_until_ended()
            # A process that does not listen yet has no callers to wait for, and need
            # not exit cleanly.
            if number == signal.SIGTERM and was_listening:
                proxy.sigterm_exit_codes.append(code)
            await self._timers.sleep(duration_s / 2)
            await proxy.start()

    async def _pause(self, duration_s: float) -> None:
        with self._reserve_proxy() as proxy:
            if proxy is None:
                return
            proxy.signal(signal.SIGSTOP)
            await self._timers.sleep(duration_s)
            proxy.signal(signal.SIGCONT)


class PeerFaults:
    """Injects faults of limited duration into connections between proxies.

    Args:
        deployment: Deployment whose connections are hit.
        faults: Faults of instances and the store.
        rng: Draws the connections that are hit.
    """

    def __init__(
        self, deployment: Deployment, *, faults: FaultInjector, rng: random.Random
    ) -> None:
        self._deployment = deployment
        self._relays = deployment.relays
        self._timers = deployment.timers
        self._faults = faults
        self._rng = rng

    def kinds(self) -> list[Fault]:
        """Returns all kinds of faults of this class."""
        return [
            self._cut_one_way,
            self._delay,
            self._reset,
            self._silence,
            self.drain_behind_isolated_proxy,
            self.lose_primary_but_for_refusing_proxy,
        ]

    def _draw_relay(self) -> PeerRelay:
        return self._rng.choice(self._relays.all())

    async def _cut_one_way(self, duration_s: float) -> None:
        relay, answers = self._draw_relay(), self._rng.random() < 0.5
        side = "answers_cut" if answers else "cut"
        setattr(relay, side, True)
        await self._timers.sleep(duration_s)
        setattr(relay, side, False)

    async def _delay(self, duration_s: float) -> None:
        relay = self._draw_relay()
        relay.delay_s = self._rng.uniform(0.0, MAX_PEER_DELAY_S)
        await self._timers.sleep(duration_s)
        relay.delay_s = 0.0

    async def _reset(self, duration_s: float) -> None:
        self._draw_relay().reset()

    async def _silence(self, duration_s: float) -> None:
        self._draw_relay().silence()

    async def drain_behind_isolated_proxy(self, duration_s: float) -> None:
        """Drains the primary while one proxy reaches nothing but the instances.

        Leases on the old primary have to end there without a message.
        """
        name = self._rng.choice(self._deployment.proxies).name
        store_faults = self._deployment.store.faults
        store_faults.unresponsive_to.add(name)
        with self._relays.isolated(name):
            await self._faults.drain_primary(duration_s)
        store_faults.unresponsive_to.discard(name)

    async def lose_primary_but_for_refusing_proxy(self, duration_s: float) -> None:
        """Leaves the primary reachable only by one proxy, which refuses connections.

        That proxy does not reach the store either.
        """
        proxies = self._deployment.proxies
        name = self._rng.choice(proxies).name
        others = {proxy.name for proxy in proxies} - {name}
        store_faults = self._deployment.store.faults
        leading = [
            item for item in self._deployment.group.instances.values() if item.leads
        ]
        for item in leading:
            item.cut_from |= others
        # The others need a moment to find that the primary is lost.
        await self._timers.sleep(LOSS_DETECTION_S)
        store_faults.unresponsive_to.add(name)
        async with self._relays.refusing(name):
            await self._timers.sleep(duration_s)
        store_faults.unresponsive_to.discard(name)
        for item in leading:
            item.cut_from -= others


async def inject_faults(
    deployment: Deployment,
    *,
    seed: int,
    duration_s: float,
    drains_only: bool,
    isolations_only: bool,
    losses_only: bool,
    leaves_only: bool,
    restores: bool,
    lost_answers: bool,
) -> None:
    """Injects random faults that may overlap, and ends them all."""
    rng = random.Random(seed)
    if leaves_only:
        await LeavingFaults(deployment, rng=rng).inject(duration_s)
        return
    if losses_only:
        await LossFaults(deployment, rng=rng).inject(duration_s)
        return
    faults = FaultInjector(
        deployment.group,
        store=deployment.store,
        names=[proxy.name for proxy in deployment.proxies],
        rng=rng,
        timers=deployment.timers,
        register=deployment.register,
        reset=deployment.reset,
    )
    peers = PeerFaults(deployment, faults=faults, rng=rng)
    kinds: list[Fault] = [faults.drain_primary_during_outage]
    if isolations_only:
        kinds = [
            peers.drain_behind_isolated_proxy,
            peers.lose_primary_but_for_refusing_proxy,
        ]
    elif not drains_only:
        kinds += [
            faults.crash,
            faults.hang,
            faults.partition,
            faults.isolate_primary,
            faults.lag,
            faults.reset,
            faults.drain,
            faults.partition_store,
            faults.hang_store,
            faults.reject_store_calls,
            faults.lose_write_answer,
            faults.drop_store_history,
            *ProcessFaults(deployment, rng=rng).kinds(),
            *peers.kinds(),
        ]
    if restores:
        kinds += [faults.restore_store, faults.restore_before_change] * RESTORE_WEIGHT
    if lost_answers:
        kinds += [faults.lose_statement_answer] * LOST_ANSWER_WEIGHT
    await faults.inject(
        kinds,
        duration_s=duration_s,
        max_fault_s=MAX_FAULT_S,
        interval_s=FAULT_INTERVAL_S,
    )
    deployment.store.faults.lose_answers = 0


async def is_listening(deployment: Deployment, proxy: ProxyProcess) -> bool:
    """Returns whether a proxy accepts callers."""
    try:
        _, writer = await asyncio.open_connection(proxy.host, deployment.callers_port)
    except OSError:
        return False
    writer.transport.abort()
    return True


async def replace_each(deployment: Deployment) -> None:
    """Stops and starts all proxies, one after the other."""
    for proxy in deployment.proxies:
        # A fault may have just started it; before it listens it need not exit cleanly.
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await is_listening(deployment, proxy):
                await deployment.timers.sleep(LISTENING_POLL_S)
        proxy.signal(signal.SIGTERM)
        proxy.sigterm_exit_codes.append(await proxy.wait_until_ended())
        await proxy.start()
        await deployment.timers.sleep(REPLACEMENT_PAUSE_S)


async def run_seed(
    folder: Path,
    *,
    seed: int,
    duration_s: float,
    proxies: int = 4,
    program: str = PROXY_PROGRAM,
    drains_only: bool = False,
    isolations_only: bool = False,
    losses_only: bool = False,
    leaves_only: bool = False,
    busy: int = 0,
    restores: bool = False,
    lost_answers: bool = False,
    replaces: bool = False,
    moves: bool = False,
) -> tuple[Deployment, CallHistory, bool]:
    """Runs a deployment under load and injects the random faults of one seed.

    Args:
        folder: Folder for the settings and logs of the proxies.
        seed: Seed of the random faults.
        duration_s: Time in seconds during which new faults start.
        proxies: Number of proxies.
        program: Python source that runs a proxy with the settings file given as the
            first argument.
        drains_only: Whether the only kind of fault is a primary that drains while half
            of the proxies get no answers from the store.
        isolations_only: Whether the only kind of fault is a primary that drains while
            one proxy reaches neither the store nor other proxies.
        losses_only: Whether the faults are instances that are lost for good or from the
            store alone, also while all proxies are down, and entries that can't be read.
        leaves_only: Whether the faults are instances that leave for longer than
            `DRAIN_S`, while the others are busy or lag.
        busy: Number of processes beside the proxies that use all processor time they
            get.
        restores: Whether the store also comes back from older backups.
        lost_answers: Whether instances also lose answers of statements that they ran.
        replaces: Whether each proxy is then replaced, one after the other.
        moves: Whether a route moves between two services while its sessions stay open
            and replicas lag, beside the other faults.

    Returns:
        The deployment, the answers that callers got, and whether all proxies served
        writes again afterwards.
    """
    folder.mkdir(parents=True, exist_ok=True)
    async with (
        busy_processes(busy),
        Deployment(folder, proxies=proxies, program=program, moves=moves) as deployment,
    ):
        callers = Callers(deployment)
        assert await callers.wait_until_served(READY_TIMEOUT_S)
        stop = asyncio.Event()
        load = [
            asyncio.create_task(callers.generate_load(proxy, stop))
            for proxy in deployment.proxies
        ]
        if moves:
            sessions = MovingSessions(deployment, rng=random.Random(seed))
            load.append(asyncio.create_task(sessions.run(stop)))
        await inject_faults(
            deployment,
            seed=seed,
            duration_s=duration_s,
            drains_only=drains_only,
            isolations_only=isolations_only,
            losses_only=losses_only,
            leaves_only=leaves_only,
            restores=restores,
            lost_answers=lost_answers,
        )
        if replaces:
            await replace_each(deployment)
        served = await callers.wait_until_served(RECOVERY_S)
        # What the faults have left shows in statements after them, too.
        await deployment.timers.sleep(LOAD_AFTER_S)
        stop.set()
        await asyncio.gather(*load)
        return deployment, callers.history, served
