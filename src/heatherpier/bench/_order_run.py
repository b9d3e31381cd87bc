"""Runs a load on the pools of one simulated instance, under virtual time."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry

from heatherpier.bench._order_loads import (
    STREAMS,
    OrderLoad,
    Stream,
    organisation_shares,
)
from heatherpier.pooling import (
    Call,
    ConnectionPool,
    ConnectionUse,
    FairOrder,
    InstanceConnection,
    PoolLimits,
    WaiterMetrics,
)
from heatherpier.requests import OverloadedError
from heatherpier.statements import Done, Reply, SessionState
from heatherpier.timers import LoopTimers, Timers, VirtualTimeLoop
from heatherpier.upstreams import Instance

INSTANCE = Instance(name="scores-1", host="10.0.0.1", port=1, data_centre="north")
SLOTS = 6
OPENING_S = 0.012
# Time after the load for which arrivals are still counted, in seconds.
AFTER_S = 3.0
ATTEMPTS = 3
MIN_EXECUTION_S = 0.05
# As in `serving`, in fair order and in the order of before.
UNATTEMPTED_FRACTION = 0.45
QUEUE_FRACTION = 0.5
MS_PER_S = 1000


@dataclass(slots=True)
class ClassOutcome:
    """Outcomes of the statements of one organisation in one class.

    Attributes:
        asked: Number of statements.
        on_time: Number of answers within the objective.
        late: Number of answers after it.
    """

    asked: int = 0
    on_time: int = 0
    late: int = 0


@dataclass(slots=True)
class OrderFigures:
    """Outcomes of a run.

    Attributes:
        outcomes: Outcomes by organisation and class.
        refusals: Number of refused attempts.
        opened: Number of connections that were opened.
        held_s: Time in seconds for which statements that got no answer had waited.
    """

    outcomes: dict[tuple[str, str], ClassOutcome] = field(default_factory=dict)
    refusals: int = 0
    opened: int = 0
    held_s: float = 0.0

    def of(self, organisation: str, stream: Stream) -> ClassOutcome:
        """Returns the outcomes of an organisation in a class."""
        return self.outcomes.setdefault((organisation, stream.name), ClassOutcome())

    def of_class(self, name: str) -> ClassOutcome:
        """Returns the outcomes of all organisations in a class."""
        total = ClassOutcome()
        for (_, class_name), outcome in self.outcomes.items():
            if class_name == name:
                total.asked += outcome.asked
                total.on_time += outcome.on_time
                total.late += outcome.late
        return total

    def on_time_share(self, name: str) -> float:
        """Returns the share of a class's statements answered within the objective."""
        outcome = self.of_class(name)
        return outcome.on_time / max(outcome.asked, 1)

    def late_share(self, name: str) -> float:
        """Returns the share of late answers among the answers of a class."""
        outcome = self.of_class(name)
        return outcome.late / max(outcome.on_time + outcome.late, 1)

    def shares(self) -> dict[str, float]:
        """Returns the share of its value that each organisation got, by name."""
        worth = {stream.name: stream.worth for stream in STREAMS}
        got: dict[str, float] = {}
        asked: dict[str, float] = {}
        for (organisation, name), outcome in self.outcomes.items():
            got[organisation] = (
                got.get(organisation, 0.0) + outcome.on_time * worth[name]
            )
            asked[organisation] = (
                asked.get(organisation, 0.0) + outcome.asked * worth[name]
            )
        return {name: got[name] / asked[name] for name in asked}

    def mean_share(self) -> float:
        """Returns the mean of the organisations' shares."""
        shares = self.shares().values()
        return sum(shares) / len(shares)

    def worst_share(self) -> float:
        """Returns the mean share of the worst-served tenth of the organisations."""
        shares = sorted(self.shares().values())
        worst = shares[: max(len(shares) // 10, 1)]
        return sum(worst) / len(worst)


class _Link:
    """A link over which the run does not send; statements occupy slots directly."""

    async def exchange(self, calls: Sequence[Call]) -> list[Reply]:
        return [Reply(outcome=Done(), state=SessionState.IDLE) for _ in calls]

    def has_unread(self) -> bool:
        return False

    def abort(self) -> None:
        return


class SlotInstance:
    """An instance that runs a few statements or openings at once, in order of arrival.

    Args:
        timers: Timer service.
    """

    def __init__(self, *, timers: Timers) -> None:
        self._timers = timers
        self._slots = asyncio.Semaphore(SLOTS)

    async def connect(
        self, instance: Instance, *, service: str, organisation: str = ""
    ) -> _Link:
        """Opens a connection, which occupies a slot."""
        await self.occupy(OPENING_S)
        return _Link()

    async def occupy(self, seconds: float) -> None:
        """Waits for a slot and occupies it."""
        async with self._slots:
            await self._timers.sleep(seconds)


def measure_order(load: OrderLoad, *, seed: int, fair: bool) -> OrderFigures:
    """Runs a load and returns its outcomes.

    Args:
        load: The load.
        seed: Seed of all random choices.
        fair: Whether waiters are in fair order; otherwise by priority and arrival.
    """
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(_OrderRun(load, seed=seed, fair=fair).run())
    finally:
        loop.close()


class _OrderRun:
    def __init__(self, load: OrderLoad, *, seed: int, fair: bool) -> None:
        self._load = load
        self._fair = fair
        self._rng = random.Random(seed)
        self._timers = LoopTimers(wall_offset_s=1_700_000_000)
        self._figures = OrderFigures()
        self._shares = organisation_shares()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> OrderFigures:
        self._instance = SlotInstance(timers=self._timers)
        self._pools = [self._make_pool(bound) for bound in self._load.pools]
        end = self._load.ended_s + AFTER_S
        arrivals = [
            self._arrive(stream, name, end)
            for stream in STREAMS
            for name in self._shares
        ]
        await asyncio.gather(*arrivals, self._return_all())
        while self._tasks:
            await asyncio.gather(*self._tasks)
        self._figures.opened = sum(pool.opened for pool in self._pools)
        for pool in self._pools:
            pool.close()
        return self._figures

    def _make_pool(self, bound: int) -> ConnectionPool:
        order = FairOrder(
            active=lambda: True,
            rng=random.Random(self._rng.random()),
            metrics=WaiterMetrics(CollectorRegistry()),
        )
        pool = ConnectionPool(
            INSTANCE,
            service="scores",
            connector=self._instance,
            timers=self._timers,
            limits=PoolLimits(soft_limit=bound, hard_limit=bound),
            order=order if self._fair else None,
        )
        pool.scarce = True
        return pool

    def _rate_per_s(self, stream: Stream, organisation: str) -> float:
        """Returns the present rate of one organisation in a class."""
        rate = stream.rate_per_s * self._shares[organisation]
        if not self._load.began_s <= self._timers.now() < self._load.ended_s:
            return rate
        largest = next(iter(self._shares))
        hot = self._load.hot_factor if organisation == largest else 1.0
        return rate * hot * self._load.factors.get(stream.name, 1.0)

    async def _arrive(self, stream: Stream, organisation: str, end: float) -> None:
        """Starts statements by a thinned Poisson process of the highest rate."""
        largest = organisation == next(iter(self._shares))
        factor = self._load.factors.get(stream.name, 1.0)
        factor *= self._load.hot_factor if largest else 1.0
        highest = stream.rate_per_s * self._shares[organisation] * max(factor, 1.0)
        while True:
            await self._timers.sleep(self._rng.expovariate(highest))
            if self._timers.now() >= end:
                return
            if self._rng.random() * highest < self._rate_per_s(stream, organisation):
                self._start(stream, organisation)

    async def _return_all(self) -> None:
        if not self._load.returning:
            return
        await self._timers.sleep(self._load.began_s)
        names, weights = zip(*self._shares.items(), strict=True)
        rates = [stream.rate_per_s for stream in STREAMS]
        for _ in range(self._load.returning):
            (stream,) = self._rng.choices(STREAMS, rates)
            self._start(stream, self._rng.choices(names, weights)[0])
            await self._timers.sleep(self._load.return_s / self._load.returning)

    def _start(self, stream: Stream, organisation: str) -> None:
        task = asyncio.create_task(self._call(stream, organisation))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, stream: Stream, organisation: str) -> None:
        """Makes up to `ATTEMPTS` attempts, as a caller does, and counts the outcome."""
        outcome = self._figures.of(organisation, stream)
        outcome.asked += 1
        began = self._timers.now()
        for _ in range(ATTEMPTS):
            tried_at = self._timers.now()
            try:
                answered = await self._attempt(stream, organisation)
            except OverloadedError as exc:
                self._figures.refusals += 1
                self._figures.held_s += self._timers.now() - tried_at
                await self._timers.sleep((exc.retry_after_ms or 0) / MS_PER_S)
                answered = False
            took_s = self._timers.now() - began
            if took_s >= stream.deadline_s:
                return
            if answered:
                outcome.on_time += took_s <= stream.objective_s
                outcome.late += took_s > stream.objective_s
                return

    async def _attempt(self, stream: Stream, organisation: str) -> bool:
        """Tries until an answer comes; returns whether one came in time.

        As the proxy does, it repeats at once what failed with its connection.
        """
        pool = self._rng.choice(self._pools)
        began = self._timers.now()
        while self._timers.now() < began + stream.deadline_s - MIN_EXECUTION_S:
            conn = await self._acquire(pool, stream, organisation, began=began)
            if await self._use(pool, conn, stream):
                return True
        return False

    async def _acquire(
        self, pool: ConnectionPool, stream: Stream, organisation: str, *, began: float
    ) -> InstanceConnection:
        now = self._timers.now()
        if self._fair:
            deadline = began + stream.deadline_s * UNATTEMPTED_FRACTION
        else:
            deadline = now + stream.objective_s * QUEUE_FRACTION
        return await pool.acquire(
            {},
            priority=1,
            organisation=organisation,
            deadline=deadline,
            use=ConnectionUse(
                class_name=stream.name,
                reads=stream.reads,
                objective_at=began + stream.objective_s,
                objective_s=stream.objective_s,
            ),
        )

    async def _use(
        self, pool: ConnectionPool, conn: InstanceConnection, stream: Stream
    ) -> bool:
        began = self._timers.now()
        # Uses vary between half and one and a half of their mean.
        await self._instance.occupy(stream.use_s * (0.5 + self._rng.random()))
        loaded = self._load.began_s <= began < self._load.ended_s
        failed = loaded and self._rng.random() < self._load.failed_share
        if failed:
            conn.abort()
        conn.used_at = self._timers.now()
        pool.release(conn, held_s=self._timers.now() - began)
        return not failed
