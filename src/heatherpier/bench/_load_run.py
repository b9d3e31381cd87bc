"""Runs a load on a deployment without faults and summarises it."""

import asyncio
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from hdrh.histogram import HdrHistogram

from heatherpier.bench._deployment import DEMO_PASSWORD, Deployment
from heatherpier.bench._driver import MysqlEndpoint
from heatherpier.bench._fleet import Fleet, start_fleet
from heatherpier.bench._load import Load, LoadResult, LoadSpec
from heatherpier.bench._mixes import MIXES
from heatherpier.bench._monitor import ReadMonitor
from heatherpier.bench._processes import Processes
from heatherpier.upstreams.mysql import MysqlConnector


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassFigures:
    """Figures of one class of operations; delays count from arrival to the end.

    Attributes:
        arrived: Count of operations.
        served: Count of operations that succeeded.
        p50_ms: Median delay in milliseconds.
        p90_ms: 90th percentile in milliseconds.
        p99_ms: 99th percentile in milliseconds.
        worst_ms: Longest delay in milliseconds.
    """

    arrived: int
    served: int
    p50_ms: int
    p90_ms: int
    p99_ms: int
    worst_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSummary:
    """Summary of a whole load.

    Attributes:
        deployment: Name of the deployment.
        proxies: Count of proxies.
        rate: Operations a second in each group.
        duration_s: Time over which operations arrived, in seconds.
        seed: Seed of all choices.
        statements: Count of statements sent.
        replica_share: Share of reads that replicas served, from 0 to 1, counted by
            the instances.
        classes: Figures by class.
        read_errors: Count of failed attempts of reads, by error number.
    """

    deployment: str
    proxies: int
    rate: float
    duration_s: float
    seed: int
    statements: int
    replica_share: float
    classes: dict[str, ClassFigures]
    read_errors: dict[int, int]


def caller_endpoints(fleet: Fleet) -> list[MysqlEndpoint]:
    """Returns the endpoints at which callers reach the proxies of ``fleet``."""
    return [
        MysqlEndpoint(
            name=proxy.name,
            port=proxy.port,
            user=fleet.deployment.user,
            password=DEMO_PASSWORD,
            one_way_s=fleet.deployment.caller_ms / 1000,
        )
        for proxy in fleet.proxies
    ]


async def run_load(
    deployment: Deployment, *, proxies: int, rate: float, duration_s: float, seed: int
) -> LoadSummary:
    """Starts a deployment, sends it a load and returns the summary.

    Args:
        deployment: Which deployment to start.
        proxies: Count of proxies.
        rate: Operations a second in each group.
        duration_s: Time over which operations arrive, in seconds.
        seed: Seed of all choices.
    """
    spec = LoadSpec(
        mix=MIXES[deployment.name],
        groups={name: deployment.database(name) for name in deployment.group_names()},
        rate=rate,
        duration_s=duration_s,
        seed=seed,
    )
    with tempfile.TemporaryDirectory(prefix="heatherpier-load-") as name:
        directory = Path(name)
        async with Processes(directory) as processes:
            fleet = await start_fleet(
                deployment, processes=processes, directory=directory, proxies=proxies
            )
            result, replica_share = await _send_load(fleet, spec)
    history = result.history
    return LoadSummary(
        deployment=deployment.name,
        proxies=proxies,
        rate=rate,
        duration_s=duration_s,
        seed=seed,
        statements=history.sent,
        replica_share=round(replica_share, 4),
        classes=_class_figures(result),
        read_errors=dict(Counter(item.code for item in history.failed_reads)),
    )


async def _send_load(fleet: Fleet, spec: LoadSpec) -> tuple[LoadResult, float]:
    load = Load(spec, proxies=list(caller_endpoints(fleet)))
    await load.prepare()
    connector = MysqlConnector(user="bench", password="", program_name="bench")
    instances = [item for group in fleet.addresses.values() for item in group]
    monitor = ReadMonitor(connector, instances)
    monitor_task = asyncio.create_task(monitor.run())
    result = await load.run()
    await monitor.settle()
    monitor_task.cancel()
    await asyncio.gather(monitor_task, return_exceptions=True)
    return result, monitor.total().replica_share()


def _class_figures(result: LoadResult) -> dict[str, ClassFigures]:
    served = result.history.served()
    return {
        kind.value: _figures(delays, result.arrivals[kind], served[kind])
        for kind, delays in result.delays.items()
    }


def _figures(delays: HdrHistogram, arrived: int, served: int) -> ClassFigures:
    p50, p90, p99, worst = (
        delays.get_value_at_percentile(percentile) for percentile in (50, 90, 99, 100)
    )
    return ClassFigures(
        arrived=arrived,
        served=served,
        p50_ms=p50,
        p90_ms=p90,
        p99_ms=p99,
        worst_ms=worst,
    )
