"""Compares the processor time of forwarded statements with that of local ones."""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from heatherpier.bench._simulated_deployment import SimulatedDeployment, ask
from heatherpier.forwarding import HomeProbe
from heatherpier.timers import LoopTimers, VirtualTimeLoop

WALL_OFFSET_S = 1_700_000_000
# With fewer connections than proxies, statements are forwarded.
PROXIES = 12
CONNECTIONS = 12
SETTLE_S = 3.0
# Time over which the cost of all background work is measured, in virtual seconds.
IDLE_S = 20.0
STATEMENTS = 2000
DATABASE = "claims-exact"
MS_PER_S = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardingCost:
    """Mean processor time of a statement, with both ends and the simulated network.

    Attributes:
        statements: Count of statements of each kind.
        local_ms: Processor time of one that runs at the home of its instance, in
            milliseconds.
        forwarded_ms: Processor time of one that another proxy forwards, in
            milliseconds.
        network_ms: Processor time of a request without content and its answer on the
            simulated network, in milliseconds. A forwarded statement includes it.
    """

    statements: int
    local_ms: float
    forwarded_ms: float
    network_ms: float

    def as_dict(self) -> dict[str, float]:
        """Returns the figures by name, with the difference of both kinds."""
        return {
            "statements": self.statements,
            "local_ms": round(self.local_ms, 3),
            "forwarded_ms": round(self.forwarded_ms, 3),
            "network_ms": round(self.network_ms, 3),
            "difference_ms": round(self.forwarded_ms - self.local_ms, 3),
        }


def measure_forwarding_cost(*, seed: int) -> ForwardingCost:
    """Returns the cost of local and of forwarded statements, under virtual time.

    Args:
        seed: Seed of the deployment.
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(_measure(seed))


async def _measure(seed: int) -> ForwardingCost:
    timers = LoopTimers(wall_offset_s=WALL_OFFSET_S)
    async with SimulatedDeployment(
        timers=timers, seed=seed, proxies=PROXIES, connections=CONNECTIONS
    ) as deployment:
        await timers.sleep(SETTLE_S)
        primary = deployment.groups["claims"].primary().record
        directory = next(iter(deployment.engines.values())).forwarding.directory
        home = directory.homes(primary)[0].peer
        sender = next(
            name
            for name, engine in deployment.engines.items()
            if not engine.forwarding.directory.is_home(primary)
            and engine.view.members[name].peer.data_centre == home.data_centre
        )
        began = time.process_time()
        await timers.sleep(IDLE_S)
        idle = (time.process_time() - began) / IDLE_S
        local, remote = (
            deployment.open(DATABASE, proxy=name) for name in (home.name, sender)
        )
        network = deployment.fleet.network(
            dataclasses.replace(home, name="bench", host="bench")
        )
        return ForwardingCost(
            statements=STATEMENTS,
            local_ms=await _cost_ms(
                lambda: ask(local, "READ claim"), timers, idle=idle
            ),
            forwarded_ms=await _cost_ms(
                lambda: ask(remote, "READ claim"), timers, idle=idle
            ),
            network_ms=await _cost_ms(
                lambda: network.request(home, HomeProbe(), timeout_s=1.0),
                timers,
                idle=idle,
            ),
        )


async def _cost_ms(
    run: Callable[[], Awaitable[object]], timers: LoopTimers, *, idle: float
) -> float:
    """Returns the mean processor time of an operation in milliseconds.

    Args:
        run: Runs the operation once.
        timers: Timer service.
        idle: Processor time of background work per virtual second, in seconds.
    """
    started_at = timers.now()
    began = time.process_time()
    for _ in range(STATEMENTS):
        await run()
    cpu_s = time.process_time() - began - idle * (timers.now() - started_at)
    return cpu_s / STATEMENTS * MS_PER_S
