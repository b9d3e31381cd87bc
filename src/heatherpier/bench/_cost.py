"""Measures the delay and processor time that a proxy adds, and its memory."""

import asyncio
import dataclasses
import statistics
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import psutil

from heatherpier.bench._deployment import SEN_VANG
from heatherpier.bench._driver import CallerConnection, MysqlEndpoint
from heatherpier.bench._fleet import Fleet, start_fleet
from heatherpier.bench._load_run import caller_endpoints
from heatherpier.bench._processes import Process, Processes

# Network delays and replication lag would hide the delay that the proxy adds.
NO_DELAYS = dataclasses.replace(SEN_VANG, groups=1, lag_ms=0, far_ms=0, caller_ms=0)
MEASURED_STATEMENTS = 1000
WARM_UP_STATEMENTS = 100
CONNECTIONS = 2000
CONNECT_BATCH_SIZE = 50
SETTLE_S = 2.0
BYTES_PER_MIB = 1024 * 1024
READ_SQL = "SELECT COUNT(*) FROM bookings"


@dataclass(frozen=True, slots=True, kw_only=True)
class PathCost:
    """Cost of one kind of statement, sent directly to the primary and by proxy.

    Attributes:
        kind: Kind of statement.
        straight_ms: Median delay of a statement sent directly to the primary, in
            milliseconds.
        proxy_ms: Median delay of a statement sent through a proxy, in milliseconds.
        delay_ratio: `proxy_ms` divided by `straight_ms`.
        instance_cpu_ms: Processor time of the primary for each statement sent
            directly, in milliseconds.
        proxy_cpu_ms: Processor time of the proxy for each statement, in
            milliseconds, including the proxy's watching of the instances.
        cpu_ratio: `proxy_cpu_ms` divided by `instance_cpu_ms`.
    """

    kind: str
    straight_ms: float
    proxy_ms: float
    delay_ratio: float
    instance_cpu_ms: float
    proxy_cpu_ms: float
    cpu_ratio: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ProxyCost:
    """Figures of one run.

    Attributes:
        paths: Costs of each kind of statement.
        idle_mib: Resident memory of an idle proxy in MiB.
        connections: Count of caller connections for `connected_mib`.
        connected_mib: Resident memory of the proxy with these connections, in MiB.
    """

    paths: list[PathCost]
    idle_mib: float
    connections: int
    connected_mib: float


async def measure_cost() -> ProxyCost:
    """Starts one group and one proxy and returns the measured costs."""
    with tempfile.TemporaryDirectory(prefix="heatherpier-cost-") as path:
        directory = Path(path)
        async with Processes(directory) as processes:
            fleet = await start_fleet(
                NO_DELAYS, processes=processes, directory=directory, proxies=1
            )
            await asyncio.sleep(SETTLE_S)
            idle = _memory_mib(fleet.proxies[0])
            paths = await _measure_paths(fleet)
            connected = await _measure_connections(fleet)
    return ProxyCost(
        paths=paths, idle_mib=idle, connections=CONNECTIONS, connected_mib=connected
    )


async def _measure_paths(fleet: Fleet) -> list[PathCost]:
    (group,) = fleet.instances
    primary, proxy = fleet.instances[group][0], fleet.proxies[0]
    (proxy_endpoint,) = caller_endpoints(fleet)
    instance_endpoint = MysqlEndpoint(
        name=primary.name, port=primary.port, user="bench", password=""
    )
    direct = await instance_endpoint.connect(fleet.deployment.database(group))
    proxied = await proxy_endpoint.connect(fleet.deployment.database(group))
    await proxied.execute("CREATE TABLE bookings (tag VARCHAR(64))")
    costs = [
        await _measure_path(
            kind,
            direct=_StatementSender(direct, make_sql, tag_prefix="straight"),
            proxied=_StatementSender(proxied, make_sql, tag_prefix="proxied"),
            primary=primary,
            proxy=proxy,
        )
        for kind, make_sql in {"write": _insert, "session read": _read}.items()
    ]
    direct.close()
    proxied.close()
    return costs


def _insert(tag: str) -> str:
    return f"INSERT INTO bookings VALUES ('{tag}')"


def _read(_tag: str) -> str:
    return READ_SQL


@dataclass(frozen=True, slots=True)
class _StatementSender:
    """Sends statements on one connection.

    Attributes:
        conn: Connection to the primary or to the proxy.
        make_sql: Returns the SQL text for a row's tag.
        tag_prefix: Makes the tags of this sender's rows unique.
    """

    conn: CallerConnection
    make_sql: Callable[[str], str]
    tag_prefix: str

    async def median_ms(self) -> float:
        """Sends the measured statements one at a time; returns their median delay."""
        loop = asyncio.get_running_loop()
        delays = []
        for number in range(MEASURED_STATEMENTS):
            before = loop.time()
            await self.conn.execute(self.make_sql(f"{self.tag_prefix}-{number}"))
            delays.append(loop.time() - before)
        return statistics.median(delays) * 1000

    async def warm_up(self) -> None:
        for number in range(WARM_UP_STATEMENTS):
            await self.conn.execute(self.make_sql(f"{self.tag_prefix}-warm-{number}"))


async def _measure_path(
    kind: str,
    *,
    direct: _StatementSender,
    proxied: _StatementSender,
    primary: Process,
    proxy: Process,
) -> PathCost:
    await direct.warm_up()
    await proxied.warm_up()
    before = _cpu_s(primary)
    straight_ms = await direct.median_ms()
    instance_cpu_ms = (_cpu_s(primary) - before) * 1000 / MEASURED_STATEMENTS
    before = _cpu_s(proxy)
    proxy_ms = await proxied.median_ms()
    proxy_cpu_ms = (_cpu_s(proxy) - before) * 1000 / MEASURED_STATEMENTS
    return PathCost(
        kind=kind,
        straight_ms=round(straight_ms, 2),
        proxy_ms=round(proxy_ms, 2),
        delay_ratio=round(proxy_ms / straight_ms, 2),
        instance_cpu_ms=round(instance_cpu_ms, 2),
        proxy_cpu_ms=round(proxy_cpu_ms, 2),
        cpu_ratio=round(proxy_cpu_ms / instance_cpu_ms, 2),
    )


async def _measure_connections(fleet: Fleet) -> float:
    (proxy_endpoint,) = caller_endpoints(fleet)
    (database,) = (fleet.deployment.database(group) for group in fleet.instances)
    conns: list[CallerConnection] = []
    try:
        while len(conns) < CONNECTIONS:
            conns += await asyncio.gather(
                *(proxy_endpoint.connect(database) for _ in range(CONNECT_BATCH_SIZE))
            )
        await asyncio.sleep(SETTLE_S)
        return _memory_mib(fleet.proxies[0])
    finally:
        for conn in conns:
            conn.close()


def _cpu_s(process: Process) -> float:
    times = psutil.Process(process.popen.pid).cpu_times()
    return float(times.user + times.system)


def _memory_mib(process: Process) -> float:
    rss = int(psutil.Process(process.popen.pid).memory_info().rss)
    return round(rss / BYTES_PER_MIB, 1)
