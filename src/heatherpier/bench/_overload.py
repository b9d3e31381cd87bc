"""Measures goodput and delays when callers ask for more than instances can do."""

import asyncio
import random
from dataclasses import dataclass, field

from heatherpier.bench._cluster import GROUP
from heatherpier.bench._memory_proxies import MemoryFleet, MemoryProxy, memory_fleet
from heatherpier.groups import LogPosition
from heatherpier.requests import FinalError, Priority, Request
from heatherpier.timers import LoopTimers, VirtualTimeLoop

MS_PER_S = 1000
READ = "SELECT COUNT(*) FROM t"
FLOOR = LogPosition(1, 2)
DURATION_S = 8.0
WARM_UP_S = 2.0
CONNECTIONS = 20
SLOTS = 3
INSTANCES = 3
WORK_MS = 20
WRITES_PER_S = 4.0
# Offered loads as multiples of what the instances' slots can do.
LOADS = (0.1, 0.75, 1.0, 2.0)
UNLOADED = LOADS[0]
OVERLOAD = LOADS[-1]


@dataclass(frozen=True, slots=True, kw_only=True)
class Class:
    """One class of reads in the load.

    Attributes:
        priority: Its priority class.
        weight: Share of the reads.
        max_age_ms: Stated age in milliseconds, or None for session reads.
        within_s: Deadline of each read, in seconds.
    """

    priority: Priority
    weight: float
    max_age_ms: int | None
    within_s: float


READS = (
    Class(priority=Priority.SESSION_READ, weight=0.6, max_age_ms=None, within_s=1.0),
    Class(priority=Priority.AGED_READ, weight=0.3, max_age_ms=5000, within_s=2.0),
    Class(priority=Priority.BATCH, weight=0.1, max_age_ms=30_000, within_s=5.0),
)
WRITES = Class(priority=Priority.WRITE, weight=1, max_age_ms=None, within_s=5.0)


@dataclass(slots=True)
class ClassFigures:
    """What became of the requests of one class.

    Attributes:
        good: Delays in milliseconds of those answered by their deadline.
        refused: Count of those with another final answer.
        late_refusals: Refusals that came later than half of the deadline.
    """

    good: list[float] = field(default_factory=list)
    refused: int = 0
    late_refusals: int = 0

    def p99_ms(self) -> float:
        """Returns the delay that 99% of the good answers kept, in milliseconds."""
        values = sorted(self.good)
        return values[int(len(values) * 0.99)] if values else float("inf")


@dataclass(frozen=True, slots=True)
class OverloadFigures:
    """What a run measured.

    Attributes:
        classes: Figures by class.
        duration_s: Time over which requests were counted, in seconds.
    """

    classes: dict[Priority, ClassFigures]
    duration_s: float

    @property
    def goodput_per_s(self) -> float:
        """Answers by their deadline, a second."""
        good = sum(len(item.good) for item in self.classes.values())
        return good / self.duration_s


def measure_overload(
    load: float,
    *,
    proxies: int,
    seed: int,
    admission: bool,
    duration_s: float = DURATION_S,
) -> OverloadFigures:
    """Offers a multiple of what the instances can do, under virtual time.

    Args:
        load: The multiple.
        proxies: Count of proxies.
        seed: Seed of all random choices.
        admission: Whether proxies bound what they send.
        duration_s: Time over which requests are counted, in seconds.
    """
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(
            _run(
                load,
                proxies=proxies,
                seed=seed,
                admission=admission,
                duration_s=duration_s,
            )
        )
    finally:
        loop.close()


async def _run(
    load: float, *, proxies: int, seed: int, admission: bool, duration_s: float
) -> OverloadFigures:
    timers = LoopTimers(wall_offset_s=1_700_000_000)
    rng = random.Random(seed)
    async with memory_fleet(
        timers,
        proxies=proxies,
        connections=CONNECTIONS,
        seed=seed,
        work_ms=WORK_MS,
        slots=SLOTS,
        admission=admission,
    ) as fleet:
        offered = _Offered(fleet, timers, rng, duration_s)
        capacity_per_s = INSTANCES * SLOTS / (WORK_MS / MS_PER_S)
        await asyncio.gather(
            offered.arrive(READS, per_s=capacity_per_s * load),
            offered.arrive((WRITES,), per_s=WRITES_PER_S),
        )
        await asyncio.gather(*offered.tasks)
    return OverloadFigures(offered.figures, duration_s)


class _Offered:
    """Requests that arrive whether or not earlier ones were answered."""

    def __init__(
        self,
        fleet: MemoryFleet,
        timers: LoopTimers,
        rng: random.Random,
        duration_s: float,
    ) -> None:
        self._fleet = fleet
        self._timers = timers
        self._rng = rng
        self._counted_from = timers.now() + WARM_UP_S
        self._until = self._counted_from + duration_s
        self.figures = {priority: ClassFigures() for priority in Priority}
        self.tasks: list[asyncio.Task[None]] = []

    async def arrive(self, classes: tuple[Class, ...], *, per_s: float) -> None:
        """Starts requests at random moments."""
        weights = [item.weight for item in classes]
        while self._timers.now() < self._until:
            await self._timers.sleep(self._rng.expovariate(per_s))
            (chosen,) = self._rng.choices(classes, weights)
            proxy = self._rng.choice(self._fleet.proxies)
            self.tasks.append(asyncio.create_task(self._request(chosen, proxy)))

    async def _request(self, chosen: Class, proxy: MemoryProxy) -> None:
        began = self._timers.now()
        req = Request(
            sql="INSERT INTO t VALUES (1)" if chosen is WRITES else READ,
            group=GROUP,
            deadline=began + chosen.within_s,
            min_position=FLOOR,
            max_age_ms=chosen.max_age_ms,
            priority=chosen.priority,
        )
        serve = proxy.writer if chosen is WRITES else proxy.reader
        refused = False
        try:
            await serve.execute(proxy.group, req)
        except FinalError:
            refused = True
        took_s = self._timers.now() - began
        if self._counted_from <= began < self._until:
            self._count(chosen, took_s, refused=refused)

    def _count(self, chosen: Class, took_s: float, *, refused: bool) -> None:
        figures = self.figures[chosen.priority]
        if refused or took_s > chosen.within_s:
            figures.refused += 1
            figures.late_refusals += took_s > chosen.within_s / 2
            return
        figures.good.append(took_s * MS_PER_S)


def run_overload(*, proxies: int, seed: int) -> None:
    """Prints the figures with and without admission."""
    print(f"{proxies} proxies, {INSTANCES * SLOTS} slots of {WORK_MS} ms, seed {seed}")
    for admission in (False, True):
        print("admission" if admission else "no admission (fixed pools)")
        for load in LOADS:
            figures = measure_overload(
                load, proxies=proxies, seed=seed, admission=admission
            )
            print(f"  load {load:4.2f}: goodput {figures.goodput_per_s:6.1f}/s")
            for priority, item in figures.classes.items():
                print(
                    f"    {priority.name.lower():13} good {len(item.good):5} "
                    f"refused {item.refused:5} (late {item.late_refusals:4}) "
                    f"p99 {item.p99_ms():6.0f} ms"
                )
