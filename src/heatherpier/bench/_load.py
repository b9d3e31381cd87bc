"""Open-loop load: statements arrive by their own clock, so stalls are counted."""

import asyncio
import random
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from heatherpier.bench._caller import CallerSession, Place
from heatherpier.bench._driver import ProxyEndpoint
from heatherpier.bench._history import History, StatementClass
from heatherpier.bench._mixes import Mix
from heatherpier.bench._operations import Operations

LONGEST_MS = 60_000
DIGITS = 3
# Replicas have the tables when the load begins.
REPLICATE_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSpec:
    """What to send.

    Attributes:
        mix: Statements.
        groups: Databases by database group.
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
    """What came of a load.

    Attributes:
        history: What callers saw.
        delays: Delay in milliseconds from arrival to answer, by class.
        arrivals: Count of operations by class.
        load_end: Monotonic time in seconds of the last arrival.
    """

    history: History = field(default_factory=History)
    delays: dict[StatementClass, HdrHistogram] = field(default_factory=dict)
    arrivals: dict[StatementClass, int] = field(default_factory=dict)
    load_end: float = 0.0

    def record(self, kind: StatementClass, delay_s: float) -> None:
        """Takes in one finished operation."""
        if kind not in self.delays:
            self.delays[kind] = HdrHistogram(1, LONGEST_MS, DIGITS)
        self.delays[kind].record_value(max(1, min(round(delay_s * 1000), LONGEST_MS)))
        self.arrivals[kind] = self.arrivals.get(kind, 0) + 1


class Load:
    """Drives one load through a set of proxies.

    Args:
        spec: What to send.
        proxies: Proxies that sessions roam between.
    """

    def __init__(self, spec: LoadSpec, *, proxies: list[ProxyEndpoint]) -> None:
        self.spec = spec
        self.result = LoadResult()
        self._proxies = proxies
        self._idle: dict[str, list[Operations]] = {}
        self._sessions: list[CallerSession] = []

    async def prepare(self) -> None:
        """Makes the tables of all groups."""
        for group in self.spec.groups:
            session = self._open_session(group).session
            for sql in self.spec.mix.schema():
                await session.execute(sql)
        await asyncio.sleep(REPLICATE_S)

    async def run(self) -> LoadResult:
        """Sends everything and returns when every operation has ended."""
        async with asyncio.TaskGroup() as tasks:
            for number, group in enumerate(self.spec.groups):
                rng = random.Random(f"{self.spec.seed}/{number}")
                tasks.create_task(self._drive(group, rng))
        for session in self._sessions:
            session.close()
        return self.result

    async def _drive(self, group: str, rng: random.Random) -> None:
        loop = asyncio.get_running_loop()
        arrival = start = loop.time()
        async with asyncio.TaskGroup() as tasks:
            while arrival < start + self.spec.duration_s:
                await asyncio.sleep(max(arrival - loop.time(), 0))
                kind = self.spec.mix.choose(rng)
                tasks.create_task(self._operate(group, kind, arrived=arrival))
                self.result.load_end = max(self.result.load_end, arrival)
                arrival += rng.expovariate(self.spec.rate)

    async def _operate(
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
        place = Place(
            group=group,
            database=self.spec.groups[group],
            proxies=self._proxies,
            history=self.result.history,
        )
        session = CallerSession(f"s{number}", place=place, rng=rng)
        self._sessions.append(session)
        return Operations(session, mix=self.spec.mix, rng=rng)
