"""Compares the processor time of forwarded statements with that of local ones."""

import asyncio
import time
from dataclasses import dataclass

from heatherpier.bench._simulated_deployment import SimulatedDeployment, ask
from heatherpier.serving import CallerSession
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
    """

    statements: int
    local_ms: float
    forwarded_ms: float

    def as_dict(self) -> dict[str, float]:
        """Returns the figures by name, with the difference of both kinds."""
        return {
            "statements": self.statements,
            "local_ms": round(self.local_ms, 3),
            "forwarded_ms": round(self.forwarded_ms, 3),
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
        costs = [
            await _cost_ms(deployment.open(DATABASE, proxy=name), timers, idle=idle)
            for name in (home.name, sender)
        ]
    return ForwardingCost(
        statements=STATEMENTS, local_ms=costs[0], forwarded_ms=costs[1]
    )


async def _cost_ms(session: CallerSession, timers: LoopTimers, *, idle: float) -> float:
    """Returns the processor time of a statement in milliseconds.

    Args:
        session: The session.
        timers: Timer service.
        idle: Processor time of background work per virtual second, in seconds.
    """
    started_at = timers.now()
    began = time.process_time()
    for _ in range(STATEMENTS):
        await ask(session, "READ claim")
    cpu_s = time.process_time() - began - idle * (timers.now() - started_at)
    return cpu_s / STATEMENTS * MS_PER_S
