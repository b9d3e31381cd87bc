"""Measures the processor time and memory of proxies that serve no caller."""

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
BYTES_PER_MIB = 1 << 20


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlCost:
    """Cost of watching groups and keeping membership, without callers.

    Attributes:
        proxies: Count of proxies.
        instances: Count of instances that each proxy watches.
        cpu_percent: Highest processor use of a proxy, in percent of one core.
        memory_mb: Highest resident memory of a proxy, in MiB.
    """

    proxies: int
    instances: int
    cpu_percent: float
    memory_mb: float


async def measure_control_cost(
    deployment: Deployment, *, proxies: int, duration_s: float
) -> ControlCost:
    """Starts a deployment with its platform and measures its proxies while idle.

    Args:
        deployment: Deployment to start.
        proxies: Count of proxies.
        duration_s: Duration of the measurement in seconds.
    """
    with tempfile.TemporaryDirectory(prefix="heatherpier-control-") as path:
        directory = Path(path)
        async with Processes(directory) as processes:
            fleet = await start_fleet(
                deployment,
                processes=processes,
                directory=directory,
                proxies=proxies,
                with_platform=True,
            )
            proxy_processes = [
                psutil.Process(proxy.popen.pid) for proxy in fleet.proxies
            ]
            await asyncio.sleep(SETTLE_S)
            before = [_cpu_s(process) for process in proxy_processes]
            await asyncio.sleep(duration_s)
            after = [_cpu_s(process) for process in proxy_processes]
            memory = max(process.memory_info().rss for process in proxy_processes)
    max_cpu_s = max(b - a for a, b in zip(before, after, strict=True))
    return ControlCost(
        proxies=proxies,
        instances=deployment.groups * len(deployment.data_centres),
        cpu_percent=round(max_cpu_s / duration_s * 100, 2),
        memory_mb=round(memory / BYTES_PER_MIB, 1),
    )


def as_dict(cost: ControlCost) -> dict[str, float]:
    """Returns the figures by field name."""
    return dataclasses.asdict(cost)


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)
