"""Runs a whole deployment on loopback under load and faults, and checks it."""

import asyncio
import random
import signal
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from heatherpier.bench._checker import (
    GroupLog,
    Violation,
    ViolationKind,
    check_group,
    check_stop,
)
from heatherpier.bench._deployment import Deployment
from heatherpier.bench._fleet import Fleet, start_fleet
from heatherpier.bench._load import Load, LoadResult, LoadSpec
from heatherpier.bench._load_run import caller_endpoints
from heatherpier.bench._mixes import MIXES
from heatherpier.bench._monitor import ReadMonitor, read_group_log
from heatherpier.bench._processes import Processes
from heatherpier.bench._report import PrimaryLoss, format_report, unserved_classes
from heatherpier.groups import Role
from heatherpier.upstreams import Connector, Instance, UpstreamError
from heatherpier.upstreams.mysql import MysqlConnector

# Rate of operations in each group. The stand-in instance runs one writing
# transaction at a time, and a transaction from a remote data centre occupies the
# instance for several round trips.
OPERATIONS_PER_S = 12.0
DEMO_TIMEOUT_S = 85.0
FAILURES_DURATION_S = 34.0
RESTART_DURATION_S = 48.0
# The times that end in _AT_S count from the start of the plan.
FIRST_RESTART_AT_S = 3.0
KILL_PRIMARY_AT_S = 5.0
PAUSE_PRIMARY_AT_S = 12.0
RESUME_PRIMARY_AT_S = 19.0
STOP_PROXY_AT_S = 23.0
KILL_PROXY_AT_S = 28.0
# The stop of a proxy waits until this many statements are in flight there.
INITIAL_AWAITED_IN_FLIGHT = 3
# The awaited count falls by one each time this wait has passed.
IN_FLIGHT_WAIT_S = 1.5
POLL_S = 0.001
MAX_PRINTED_PER_KIND = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedStop:
    """A planned stop of a proxy.

    Attributes:
        proxy: Name of the proxy.
        since: Monotonic time in seconds of the signal.
        until: Monotonic time in seconds at which the process had ended.
    """

    proxy: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Failures:
    """Plan that kills and pauses primaries and proxies under load.

    Attributes:
        duration_s: Time in seconds over which operations arrive.
    """

    duration_s: float = FAILURES_DURATION_S


@dataclass(frozen=True, slots=True)
class RollingRestart:
    """Plan that gracefully stops and restarts one proxy after another.

    Attributes:
        duration_s: Time in seconds over which operations arrive.
    """

    duration_s: float = RESTART_DURATION_S


Plan = Failures | RollingRestart


async def run_demo(
    deployment: Deployment, *, proxies: int, seed: int, plan: Plan | None = None
) -> int:
    """Runs the demo, prints its report and returns the count of failed checks.

    Args:
        deployment: Deployment to start.
        proxies: Count of proxies.
        seed: Seed of the load and of the choice of groups and proxies that fail.
        plan: What happens to the processes under load; None stands for `Failures`.
    """
    plan = plan or Failures()
    with tempfile.TemporaryDirectory(prefix="heatherpier-demo-") as name:
        directory = Path(name)
        async with Processes(directory) as processes:
            print(f"{deployment.name}: starting, seed {seed}", flush=True)
            try:
                async with asyncio.timeout(DEMO_TIMEOUT_S):
                    fleet = await start_fleet(
                        deployment,
                        processes=processes,
                        directory=directory,
                        proxies=proxies,
                        with_platform=True,
                    )
                    return await _Demo(fleet, seed=seed, plan=plan).run()
            except TimeoutError:
                print(
                    f"NOT DONE within {DEMO_TIMEOUT_S:.0f} s, seed {seed}", flush=True
                )
                return 1


class _Demo:
    """One run of the demo on a started fleet."""

    def __init__(self, fleet: Fleet, *, seed: int, plan: Plan) -> None:
        self._fleet = fleet
        self._plan = plan
        self._seed = seed
        self._rng = random.Random(seed)
        self._losses: list[PrimaryLoss] = []
        self._stops: list[PlannedStop] = []
        self._connector: Connector = MysqlConnector(
            user="bench", password="", program_name="bench"
        )
        deployment = fleet.deployment
        self._mix = MIXES[deployment.name]
        spec = LoadSpec(
            mix=self._mix,
            groups={name: deployment.database(name) for name in fleet.instances},
            rate=OPERATIONS_PER_S,
            duration_s=plan.duration_s,
            seed=seed,
        )
        self._load = Load(spec, proxies=list(caller_endpoints(fleet)))

    async def run(self) -> int:
        """Runs load and plan; returns the count of violations and unserved classes."""
        await self._load.prepare()
        instances = [item for group in self._fleet.addresses.values() for item in group]
        monitor = ReadMonitor(self._connector, instances)
        monitor_task = asyncio.create_task(monitor.run())
        plan_task = asyncio.create_task(self._run_plan())
        result = await self._load.run()
        await plan_task
        await monitor.settle()
        monitor_task.cancel()
        await asyncio.gather(monitor_task, return_exceptions=True)
        violations = await self._check(result)
        _print_violations(violations)
        unserved = unserved_classes(result)
        for kind in unserved:
            print(f"NOT SERVED at all: {kind.value}")
        report = format_report(
            result=result,
            losses=self._losses,
            reads=monitor.total(),
            violations=violations,
            seed=self._seed,
        )
        print(report, flush=True)
        return len(violations) + len(unserved)

    async def _run_plan(self) -> None:
        match self._plan:
            case Failures():
                await self._cause_failures()
            case RollingRestart():
                await self._restart_proxies()

    async def _restart_proxies(self) -> None:
        await asyncio.sleep(FIRST_RESTART_AT_S)
        for proxy in self._fleet.proxies:
            await self._stop_proxy(proxy.name)
            await self._fleet.processes.restart(proxy.name)

    async def _cause_failures(self) -> None:
        start = self._now()
        groups = list(self._fleet.instances)
        self._rng.shuffle(groups)
        proxies = [proxy.name for proxy in self._fleet.proxies]
        self._rng.shuffle(proxies)
        await self._sleep_until(start + KILL_PRIMARY_AT_S)
        await self._signal_primary(groups[0], signal.SIGKILL, "primary killed")
        await self._sleep_until(start + PAUSE_PRIMARY_AT_S)
        paused = await self._signal_primary(groups[1], signal.SIGSTOP, "primary paused")
        await self._sleep_until(start + RESUME_PRIMARY_AT_S)
        self._fleet.processes.started[paused].send_signal(signal.SIGCONT)
        await self._sleep_until(start + STOP_PROXY_AT_S)
        await self._stop_proxy(proxies[0])
        await self._sleep_until(start + KILL_PROXY_AT_S)
        if len(proxies) > 1:
            self._print_event(f"kill {proxies[1]}")
            self._fleet.processes.started[proxies[1]].send_signal(signal.SIGKILL)

    async def _signal_primary(
        self, group: str, signal_number: signal.Signals, kind: str
    ) -> str:
        name = await self._wait_for_primary(group)
        self._print_event(f"{kind}: {name}")
        self._fleet.processes.started[name].send_signal(signal_number)
        self._losses.append(PrimaryLoss(group=group, at=self._now(), kind=kind))
        return name

    async def _wait_for_primary(self, group: str) -> str:
        # An instance may refuse another connection for a moment. The timeout of the
        # whole demo ends this wait.
        while not (primaries := await self._primaries(group)):
            await asyncio.sleep(POLL_S)
        return max(primaries)[1]

    async def _primaries(self, group: str) -> list[tuple[int, str]]:
        primaries: list[tuple[int, str]] = []
        for instance in self._fleet.addresses[group]:
            try:
                term = await self._term_as_primary(instance)
            except UpstreamError:
                continue
            if term:
                primaries.append((term, instance.name))
        return primaries

    async def _term_as_primary(self, instance: Instance) -> int:
        conn = await self._connector.connect(instance)
        try:
            row = (await conn.execute("CALL group_status()")).rows[0]
        finally:
            conn.abort()
        return int(row[2]) if row[1] == Role.PRIMARY.value else 0

    async def _stop_proxy(self, proxy: str) -> None:
        in_flight = self._load.result.history.in_flight
        # The check of a graceful stop needs statements in flight.
        for min_in_flight in range(INITIAL_AWAITED_IN_FLIGHT, 0, -1):
            wait_until = self._now() + IN_FLIGHT_WAIT_S
            while in_flight[proxy] < min_in_flight and self._now() < wait_until:
                await asyncio.sleep(POLL_S)
        self._print_event(f"stop {proxy} with {in_flight[proxy]} statements in flight")
        since = self._now()
        await self._fleet.processes.stop(proxy)
        self._stops.append(PlannedStop(proxy=proxy, since=since, until=self._now()))

    async def _check(self, result: LoadResult) -> Sequence[Violation]:
        found: list[Violation] = []
        for group, instances in self._fleet.addresses.items():
            entries = await read_group_log(self._connector, instances)
            log = GroupLog(entries, mix=self._mix)
            found += check_group(result.history, group, log, mix=self._mix)
        for stop in self._stops:
            found += check_stop(
                result.history, stop.proxy, since=stop.since, until=stop.until
            )
        return found

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(at - self._now(), 0))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _print_event(self, text: str) -> None:
        print(f"  {text}", flush=True)


def _print_violations(violations: Sequence[Violation]) -> None:
    counts: Counter[ViolationKind] = Counter()
    for item in violations:
        counts[item.kind] += 1
        if counts[item.kind] <= MAX_PRINTED_PER_KIND:
            print(f"VIOLATION {item.kind.value}: {item.facts}")
