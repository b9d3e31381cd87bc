"""Measures what a proxy costs while no caller asks for anything."""

import asyncio
import dataclasses
import tempfile
from dataclasses import dataclass
from pathlib import Path

import psutil

from heatherpier.bench._deployment import Deployment
from heatherpier.bench._fleet import start_fleet
from heatherpier.bench._processes import Processes

SETTLE_S = 10.0
MB = 1 << 20


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlCost:
    """Cost of control on one node, the worst of all proxies.

    Attributes:
        proxies: Count of proxies.
        instances: Count of instances that each of them watches.
        cpu_percent: Share of a core.
        memory_mb: Resident memory in MB.
    """

    proxies: int
    instances: int
    cpu_percent: float
    memory_mb: float


async def measure_control(
    deployment: Deployment, *, proxies: int, duration_s: float
) -> ControlCost:
    """Starts a deployment with its platform, leaves it idle and measures it.

    Args:
        deployment: What to start.
        proxies: Count of proxies.
        duration_s: How long to measure, in seconds.
    """
    with tempfile.TemporaryDirectory(prefix="heatherpier-control-") as name:
        directory = Path(name)
        async with Processes(directory) as processes:
            fleet = await start_fleet(
                deployment,
                processes=processes,
                directory=directory,
                proxies=proxies,
                with_platform=True,
            )
            watched = [psutil.Process(proxy.popen.pid) for proxy in fleet.proxies]
            await asyncio.sleep(SETTLE_S)
            before = [_cpu_s(process) for process in watched]
            await asyncio.sleep(duration_s)
            spent = [_cpu_s(process) for process in watched]
            memory = max(process.memory_info().rss for process in watched)
    worst_s = max(b - a for a, b in zip(before, spent, strict=True))
    return ControlCost(
        proxies=proxies,
        instances=deployment.groups * len(deployment.data_centres),
        cpu_percent=round(worst_s / duration_s * 100, 2),
        memory_mb=round(memory / MB, 1),
    )


def describe(cost: ControlCost) -> dict[str, float]:
    """Returns the figures by name."""
    return dataclasses.asdict(cost)


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)
