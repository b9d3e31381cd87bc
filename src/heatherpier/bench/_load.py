"""Open-loop load generator.

Operations arrive independently of answers and delays count from the arrival, so the
figures include the time that operations wait during a stall.
"""

import asyncio
import random
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from heatherpier.bench._caller import CallerSession, SessionContext
from heatherpier.bench._driver import ProxyEndpoint
from heatherpier.bench._history import History, StatementClass
from heatherpier.bench._mixes import Mix
from heatherpier.bench._operations import Operations

MAX_DELAY_MS = 60_000
SIGNIFICANT_DIGITS = 3
# Lets the tables reach the replicas before the load begins.
REPLICATION_WAIT_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSpec:
    """Parameters of a load.

    Attributes:
        mix: Statements to send.
        groups: Names of the databases, by database group.
        rate: Operations a second in each group.
        duration_s: Time over which they arrive, in seconds.
        seed: Seed of all choices.
    """

    mix: Mix
    groups: dict[str, str]
    rate: float
    duration_s: float
    seed: int


@dataclass(slots=True)
class LoadResult:
    """Result of a load.

    Attributes:
        history: Records of the callers.
        delays: Histograms of the delay from arrival to the end of the operation, in
            milliseconds, by class.
        arrivals: Count of operations by class.
        load_end: Monotonic time in seconds of the last arrival.
    """

    history: History = field(default_factory=History)
    delays: dict[StatementClass, HdrHistogram] = field(default_factory=dict)
    arrivals: dict[StatementClass, int] = field(default_factory=dict)
    load_end: float = 0.0

    def record(self, kind: StatementClass, delay_s: float) -> None:
        """Records one finished operation."""
        if kind not in self.delays:
            self.delays[kind] = HdrHistogram(1, MAX_DELAY_MS, SIGNIFICANT_DIGITS)
        self.delays[kind].record_value(max(1, min(round(delay_s * 1000), MAX_DELAY_MS)))
        self.arrivals[kind] = self.arrivals.get(kind, 0) + 1


class Load:
    """Sends one load through a set of proxies.

    Args:
        spec: Parameters of the load.
        proxies: Proxies that sessions switch between.
    """

    def __init__(self, spec: LoadSpec, *, proxies: list[ProxyEndpoint]) -> None:
        self.spec = spec
        self.result = LoadResult()
        self._proxies = proxies
        self._idle: dict[str, list[Operations]] = {}
        self._sessions: list[CallerSession] = []

    async def prepare(self) -> None:
        """Creates the tables of all groups and waits until replicas have them."""
        for group in self.spec.groups:
            session = self._open_session(group).session
            for sql in self.spec.mix.schema():
                await session.execute(sql)
        await asyncio.sleep(REPLICATION_WAIT_S)

    async def run(self) -> LoadResult:
        """Sends the load and returns its result when every operation has ended."""
        async with asyncio.TaskGroup() as tasks:
            for number, group in enumerate(self.spec.groups):
                rng = random.Random(f"{self.spec.seed}/{number}")
                tasks.create_task(self._generate_arrivals(group, rng))
        for session in self._sessions:
            session.close()
        return self.result

    async def _generate_arrivals(self, group: str, rng: random.Random) -> None:
        loop = asyncio.get_running_loop()
        arrival = start = loop.time()
        async with asyncio.TaskGroup() as tasks:
            while arrival < start + self.spec.duration_s:
                await asyncio.sleep(max(arrival - loop.time(), 0))
                kind = self.spec.mix.choose(rng)
                tasks.create_task(self._run_operation(group, kind, arrived=arrival))
                self.result.load_end = max(self.result.load_end, arrival)
                arrival += rng.expovariate(self.spec.rate)

    async def _run_operation(
        self, group: str, kind: StatementClass, *, arrived: float
    ) -> None:
        idle = self._idle.setdefault(group, [])
        operations = idle.pop() if idle else self._open_session(group)
        await operations.run(kind, arrived=arrived)
        self.result.record(kind, asyncio.get_running_loop().time() - arrived)
        idle.append(operations)

    def _open_session(self, group: str) -> Operations:
        number = len(self._sessions) + 1
        rng = random.Random(f"{self.spec.seed}/session/{number}")
        context = SessionContext(
            group=group,
            database=self.spec.groups[group],
            proxies=self._proxies,
            history=self.result.history,
        )
        session = CallerSession(f"s{number}", context=context, rng=rng)
        self._sessions.append(session)
        return Operations(session, mix=self.spec.mix, rng=rng)
