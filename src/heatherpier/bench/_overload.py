"""Measures goodput and delays when callers exceed the capacity of the instances."""

import asyncio
import random
from dataclasses import dataclass, field

from heatherpier.bench._cluster import GROUP
from heatherpier.bench._memory_proxies import MemoryFleet, MemoryProxy, memory_fleet
from heatherpier.positions import LogPosition
from heatherpier.requests import FinalError, Priority, Request
from heatherpier.timers import LoopTimers, VirtualTimeLoop

MS_PER_S = 1000
READ_SQL = "SELECT COUNT(*) FROM t"
MIN_POSITION = LogPosition(1, 2)
DURATION_S = 8.0
WARM_UP_S = 2.0
CONNECTIONS = 20
SLOTS = 3
INSTANCES = 3
EXECUTION_MS = 20
WRITES_PER_S = 4.0
# Offered loads of reads as multiples of the capacity of the instances' slots.
LOAD_FACTORS = (0.1, 0.75, 1.0, 2.0)
UNLOADED = LOAD_FACTORS[0]
OVERLOAD = LOAD_FACTORS[-1]


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestClass:
    """One class of requests in the load.

    Attributes:
        priority: Priority of the requests.
        weight: Relative frequency among the classes that are generated together.
        max_age_ms: Stated maximum age of reads in milliseconds; None for session
            reads and for writes.
        deadline_s: Time from arrival to deadline of each request, in seconds.
    """

    priority: Priority
    weight: float
    max_age_ms: int | None
    deadline_s: float


READ_CLASSES = (
    RequestClass(
        priority=Priority.SESSION_READ, weight=0.6, max_age_ms=None, deadline_s=1.0
    ),
    RequestClass(
        priority=Priority.AGED_READ, weight=0.3, max_age_ms=5000, deadline_s=2.0
    ),
    RequestClass(
        priority=Priority.BATCH, weight=0.1, max_age_ms=30_000, deadline_s=5.0
    ),
)
WRITE_CLASS = RequestClass(
    priority=Priority.WRITE, weight=1, max_age_ms=None, deadline_s=5.0
)


@dataclass(slots=True)
class ClassFigures:
    """Outcomes of the requests of one class.

    Attributes:
        good_ms: Delays in milliseconds of requests with a result by their deadline.
        refused: Count of all other requests.
        late_refusals: Count of refused requests that were answered after more than
            half of the time to their deadline.
    """

    good_ms: list[float] = field(default_factory=list)
    refused: int = 0
    late_refusals: int = 0

    def p99_ms(self) -> float:
        """Returns the 99th percentile of the delays within the deadline, in ms."""
        values = sorted(self.good_ms)
        return values[int(len(values) * 0.99)] if values else float("inf")


@dataclass(frozen=True, slots=True)
class OverloadFigures:
    """Figures of one run.

    Attributes:
        classes: Figures by priority.
        duration_s: Time over which requests were counted, in seconds.
    """

    classes: dict[Priority, ClassFigures]
    duration_s: float

    @property
    def goodput_per_s(self) -> float:
        """Count of results by their deadline, per second."""
        answered = sum(len(item.good_ms) for item in self.classes.values())
        return answered / self.duration_s


def measure_overload(
    load: float,
    *,
    proxies: int,
    seed: int,
    admission: bool,
    duration_s: float = DURATION_S,
) -> OverloadFigures:
    """Offers a multiple of the capacity of the instances, under virtual time.

    Args:
        load: Offered load of reads as a multiple of the capacity.
        proxies: Count of proxies.
        seed: Seed of all random choices.
        admission: Whether proxies limit the statements in flight by admission.
        duration_s: Time over which requests are counted, in seconds.
    """
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(
            _measure(
                load,
                proxies=proxies,
                seed=seed,
                admission=admission,
                duration_s=duration_s,
            )
        )
    finally:
        loop.close()


async def _measure(
    load: float, *, proxies: int, seed: int, admission: bool, duration_s: float
) -> OverloadFigures:
    timers = LoopTimers(wall_offset_s=1_700_000_000)
    rng = random.Random(seed)
    async with memory_fleet(
        timers,
        proxies=proxies,
        connections=CONNECTIONS,
        seed=seed,
        work_ms=EXECUTION_MS,
        slots=SLOTS,
        admission=admission,
    ) as fleet:
        generator = _LoadGenerator(fleet, timers, rng, duration_s)
        capacity_per_s = INSTANCES * SLOTS / (EXECUTION_MS / MS_PER_S)
        await asyncio.gather(
            generator.generate(READ_CLASSES, per_s=capacity_per_s * load),
            generator.generate((WRITE_CLASS,), per_s=WRITES_PER_S),
        )
        await asyncio.gather(*generator.tasks)
    return OverloadFigures(generator.figures, duration_s)


class _LoadGenerator:
    """Starts requests at a rate that does not depend on earlier answers."""

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
        self._counted_until = self._counted_from + duration_s
        self.figures = {priority: ClassFigures() for priority in Priority}
        self.tasks: list[asyncio.Task[None]] = []

    async def generate(
        self, classes: tuple[RequestClass, ...], *, per_s: float
    ) -> None:
        """Starts requests at random times, at a mean rate of ``per_s``."""
        weights = [item.weight for item in classes]
        while self._timers.now() < self._counted_until:
            await self._timers.sleep(self._rng.expovariate(per_s))
            (request_class,) = self._rng.choices(classes, weights)
            proxy = self._rng.choice(self._fleet.proxies)
            self.tasks.append(asyncio.create_task(self._request(request_class, proxy)))

    async def _request(self, request_class: RequestClass, proxy: MemoryProxy) -> None:
        began = self._timers.now()
        req = Request(
            sql="INSERT INTO t VALUES (1)"
            if request_class is WRITE_CLASS
            else READ_SQL,
            group=GROUP,
            deadline=began + request_class.deadline_s,
            min_position=MIN_POSITION,
            max_age_ms=request_class.max_age_ms,
            priority=request_class.priority,
        )
        executor = proxy.writer if request_class is WRITE_CLASS else proxy.reader
        refused = False
        try:
            await executor.execute(proxy.group, req)
        except FinalError:
            refused = True
        took_s = self._timers.now() - began
        if self._counted_from <= began < self._counted_until:
            self._count(request_class, took_s, refused=refused)

    def _count(
        self, request_class: RequestClass, took_s: float, *, refused: bool
    ) -> None:
        figures = self.figures[request_class.priority]
        if refused or took_s > request_class.deadline_s:
            figures.refused += 1
            figures.late_refusals += took_s > request_class.deadline_s / 2
            return
        figures.good_ms.append(took_s * MS_PER_S)


def run_overload(*, proxies: int, seed: int) -> None:
    """Prints the figures with and without admission, for each load."""
    print(
        f"{proxies} proxies, {INSTANCES * SLOTS} slots of {EXECUTION_MS} ms, "
        f"seed {seed}"
    )
    for admission in (False, True):
        print("admission" if admission else "no admission (fixed pools)")
        for load in LOAD_FACTORS:
            figures = measure_overload(
                load, proxies=proxies, seed=seed, admission=admission
            )
            print(f"  load {load:4.2f}: goodput {figures.goodput_per_s:6.1f}/s")
            for priority, item in figures.classes.items():
                print(
                    f"    {priority.name.lower():13} good {len(item.good_ms):5} "
                    f"refused {item.refused:5} (late {item.late_refusals:4}) "
                    f"p99 {item.p99_ms():6.0f} ms"
                )
