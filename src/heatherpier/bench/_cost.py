"""What a proxy costs: processor time and delay for each statement, and memory."""

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

# No distances: they would hide what the proxy itself adds.
NEAR = dataclasses.replace(SEN_VANG, groups=1, lag_ms=0, far_ms=0, caller_ms=0)
STATEMENTS = 1000
WARM_UP = 100
CONNECTIONS = 2000
CONNECTED_AT_ONCE = 50
SETTLE_S = 2.0
BYTES_PER_MIB = 1024 * 1024
READ = "SELECT COUNT(*) FROM bookings"


@dataclass(frozen=True, slots=True, kw_only=True)
class PathCost:
    """One kind of statement, straight at an instance and through a proxy.

    Attributes:
        kind: Kind of statement.
        straight_ms: Median delay straight at the primary, in milliseconds.
        proxy_ms: Median delay through a proxy, in milliseconds.
        delay_ratio: The second by the first.
        instance_cpu_ms: Processor time of the primary for each statement sent
            straight, in milliseconds.
        proxy_cpu_ms: Processor time of the proxy for each statement, in
            milliseconds, with its watching.
        cpu_ratio: The second by the first.
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
    """All figures of one run.

    Attributes:
        paths: By kind of statement.
        idle_mib: Resident memory of an idle proxy in MiB.
        connections: Count of caller connections.
        connected_mib: Resident memory with that many connections, in MiB.
    """

    paths: list[PathCost]
    idle_mib: float
    connections: int
    connected_mib: float


async def measure_cost() -> ProxyCost:
    """Starts one group and one proxy and measures them in one run."""
    with tempfile.TemporaryDirectory(prefix="heatherpier-cost-") as name:
        directory = Path(name)
        async with Processes(directory) as processes:
            fleet = await start_fleet(
                NEAR, processes=processes, directory=directory, proxies=1
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
    (through,) = caller_endpoints(fleet)
    at_instance = MysqlEndpoint(
        name=primary.name, port=primary.port, user="bench", password=""
    )
    straight = await at_instance.connect(fleet.deployment.database(group))
    proxied = await through.connect(fleet.deployment.database(group))
    await proxied.execute("CREATE TABLE bookings (tag VARCHAR(64))")
    costs = [
        await _compare(
            kind,
            straight=_Sender(straight, make, side="straight"),
            proxied=_Sender(proxied, make, side="proxied"),
            primary=primary,
            proxy=proxy,
        )
        for kind, make in {"write": _insert, "session read": _read}.items()
    ]
    straight.close()
    proxied.close()
    return costs


def _insert(tag: str) -> str:
    return f"INSERT INTO bookings VALUES ('{tag}')"


def _read(_tag: str) -> str:
    return READ


@dataclass(frozen=True, slots=True)
class _Sender:
    conn: CallerConnection
    make: Callable[[str], str]
    side: str

    async def median_ms(self) -> float:
        """Sends the statements one at a time and returns the median delay."""
        loop = asyncio.get_running_loop()
        delays = []
        for number in range(STATEMENTS):
            before = loop.time()
            await self.conn.execute(self.make(f"{self.side}-{number}"))
            delays.append(loop.time() - before)
        return statistics.median(delays) * 1000

    async def warm_up(self) -> None:
        for number in range(WARM_UP):
            await self.conn.execute(self.make(f"{self.side}-warm-{number}"))


async def _compare(
    kind: str, *, straight: _Sender, proxied: _Sender, primary: Process, proxy: Process
) -> PathCost:
    await straight.warm_up()
    await proxied.warm_up()
    before = _cpu_s(primary)
    straight_ms = await straight.median_ms()
    instance_cpu_ms = (_cpu_s(primary) - before) * 1000 / STATEMENTS
    before = _cpu_s(proxy)
    proxy_ms = await proxied.median_ms()
    proxy_cpu_ms = (_cpu_s(proxy) - before) * 1000 / STATEMENTS
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
    (through,) = caller_endpoints(fleet)
    (database,) = (fleet.deployment.database(group) for group in fleet.instances)
    conns: list[CallerConnection] = []
    try:
        while len(conns) < CONNECTIONS:
            conns += await asyncio.gather(
                *(through.connect(database) for _ in range(CONNECTED_AT_ONCE))
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
