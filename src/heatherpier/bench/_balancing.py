"""Measures how evenly many choosers spread statements, under virtual time.

All choosers learn the load of the instances at the same moments. Between two of these
they all see the same old load, the worst case for a choice of the least loaded.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from heatherpier.balancing import Candidate, LoadEstimates, choose

WINDOW_S = 1.0
# Load of the instances' slots, on average.
UTILISATION = 0.6
# Connections that an instance accepts and that its callers may use.
CONNECTIONS = 73
KIND = "read"
# Wait that the choice by last report expects for each statement at an instance.
WAIT_PER_STATEMENT_S = 0.005


@dataclass(frozen=True, slots=True, kw_only=True)
class BalancingPlan:
    """One run.

    Attributes:
        choosers: Number of proxies that choose.
        instances: Number of instances.
        slots: Slots of each instance.
        work_s: Mean time for which a statement occupies a slot, in seconds.
        age_s: Period in seconds at which all choosers learn the load; 0 for always,
            None if a chooser learns it with each answer instead.
        homes: Number of homes that share an instance's statements; a report is of
            one of them.
        duration_s: Time over which statements arrive, in seconds.
        speeds: Speed of each instance at a time in seconds; 0 while it is lost.
        distance_s: Cost in seconds of the distance from a chooser to an instance.
        chooser_weights: Shares of the arrivals; even if empty.
        seed: Seed of all random choices.
    """

    choosers: int
    instances: int = 3
    slots: int = 6
    work_s: float = 0.03
    age_s: float | None = 1.0
    homes: int = 1
    duration_s: float = 12.0
    speeds: Callable[[int, float], float] = lambda instance, now: 1.0
    distance_s: Callable[[int, int], float] = lambda chooser, instance: 0.0
    chooser_weights: tuple[float, ...] = ()
    seed: int = 1


@dataclass(slots=True)
class BalancingResult:
    """Result of a run.

    Attributes:
        arrivals: Arrivals at each instance by window of `WINDOW_S`.
        waits_s: Waits for a slot, in seconds, with the time of arrival.
        distant: Number of statements that were sent beyond the nearest instance.
    """

    arrivals: list[list[int]]
    waits_s: list[tuple[float, float]] = field(default_factory=list)
    distant: int = 0

    def worst_over_mean(
        self, *, begin: int = 1, capacities: Sequence[float] = ()
    ) -> float:
        """Returns the load of the worst instance over the mean, averaged over windows.

        Args:
            begin: First window that counts.
            capacities: Relative capacity of each instance; equal if empty.
        """
        ratios = []
        for counts in self.arrivals[begin:]:
            parts = capacities or [1.0] * len(counts)
            loads = [count / part for count, part in zip(counts, parts, strict=True)]
            ratios.append(max(loads) * sum(parts) / max(sum(counts), 1))
        return sum(ratios) / len(ratios)

    def wait_s(self, quantile: float, *, begin_s: float = WINDOW_S) -> float:
        """Returns a quantile of the waits of statements that arrived from a time on."""
        waits = sorted(wait for at, wait in self.waits_s if at >= begin_s)
        return waits[int(quantile * (len(waits) - 1))]


class UnbalancedChooser:
    """One proxy's way to choose; this one is what proxies without balancing do.

    It knows only its own pools: there is no wait while it may open a connection, and
    equal costs are ordered by name.

    Args:
        plan: The run.
        index: Number of this chooser.
        rng: Random source.
    """

    def __init__(self, plan: BalancingPlan, *, index: int, rng: random.Random) -> None:
        self.rng = rng
        self.distances = [
            plan.distance_s(index, item) for item in range(plan.instances)
        ]
        self.own = [0] * plan.instances
        self._work_s = plan.work_s
        self._share = max(CONNECTIONS // plan.choosers, 1)

    def pick(self, present: list[int], now: float) -> int:
        """Returns the instance for a statement."""
        return min(present, key=lambda item: (self.cost_s(item), item))

    def cost_s(self, instance: int) -> float:
        """Returns the cost of an instance, in seconds."""
        waiting = self.own[instance] - self._share + 1
        return max(waiting, 0) * self._work_s / self._share + self.distances[instance]

    def learn(self, instance: int, load: int, now: float) -> None:
        """Learns the number of statements at an instance."""

    def sent(self, instance: int, now: float) -> None:
        """Notes a statement that was sent."""
        self.own[instance] += 1

    def settled(self, instance: int, sent_at: float, now: float, *, lost: bool) -> None:
        """Notes the end of a statement that was sent."""
        self.own[instance] -= 1


class LeastReported(UnbalancedChooser):
    """Chooses the instance with the least reported load; chance decides ties."""

    def __init__(self, plan: BalancingPlan, *, index: int, rng: random.Random) -> None:
        super().__init__(plan, index=index, rng=rng)
        self._loads = [0] * plan.instances

    def pick(self, present: list[int], now: float) -> int:
        """Returns the instance for a statement."""
        return min(
            present,
            key=lambda item: (
                self._loads[item] * WAIT_PER_STATEMENT_S + self.distances[item],
                self.rng.random(),
            ),
        )

    def learn(self, instance: int, load: int, now: float) -> None:
        """Learns the number of statements at an instance."""
        self._loads[instance] = load


class Balanced(UnbalancedChooser):
    """Chooses by `heatherpier.balancing`."""

    def __init__(self, plan: BalancingPlan, *, index: int, rng: random.Random) -> None:
        super().__init__(plan, index=index, rng=rng)
        self.estimates = LoadEstimates()
        self._names = [str(item) for item in range(plan.instances)]
        self._homes = plan.homes

    def pick(self, present: list[int], now: float) -> int:
        """Returns the instance for a statement."""
        names = [self._names[item] for item in present]
        waits_s = self.estimates.expected_waits_s(names, now)
        candidates = [
            Candidate(name=name, wait_s=wait_s, extra_s=self.distances[item])
            for item, name, wait_s in zip(present, names, waits_s, strict=True)
        ]
        return int(choose(candidates, self.rng)[0].name)

    def learn(self, instance: int, load: int, now: float) -> None:
        """Learns the number of statements at an instance."""
        self.estimates.note_report(
            self._names[instance],
            waiting=0,
            in_use=load,
            sent_at=now,
            now=now,
            homes=self._homes,
        )

    def sent(self, instance: int, now: float) -> None:
        """Notes a statement that was sent."""
        self.estimates.note_sent(self._names[instance], now)

    def settled(self, instance: int, sent_at: float, now: float, *, lost: bool) -> None:
        """Notes the end of a statement that was sent."""
        name = self._names[instance]
        self.estimates.note_settled(name, sent_at)
        if not lost:
            took_s = now - sent_at
            self.estimates.note_answer(name, kind=KIND, took_s=took_s, now=now)


@dataclass(slots=True)
class _Statement:
    chooser: int
    sent_at: float


class _Instance:
    """Slots and the queue of one instance."""

    def __init__(self) -> None:
        self.running: set[int] = set()
        self.queue: deque[int] = deque()

    @property
    def load(self) -> int:
        return len(self.running) + len(self.queue)


def run_balancing(
    plan: BalancingPlan, policy: Callable[..., UnbalancedChooser]
) -> BalancingResult:
    """Plays a run.

    Args:
        plan: The run.
        policy: Class of the choosers.
    """
    return _Run(plan, policy).play()


class _Run:
    """State of a run."""

    def __init__(
        self, plan: BalancingPlan, policy: Callable[..., UnbalancedChooser]
    ) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._choosers = [
            policy(plan, index=index, rng=random.Random(self._rng.random()))
            for index in range(plan.choosers)
        ]
        self._instances = [_Instance() for _ in range(plan.instances)]
        self._statements: dict[int, _Statement] = {}
        self._ids = itertools.count()
        self._ends: list[tuple[float, int, int]] = []
        windows = int(plan.duration_s / WINDOW_S)
        self._result = BalancingResult(
            arrivals=[[0] * plan.instances for _ in range(windows)]
        )

    def play(self) -> BalancingResult:
        """Plays all arrivals and returns the result."""
        plan = self._plan
        rate = plan.instances * plan.slots / plan.work_s * UTILISATION
        weights = plan.chooser_weights or (1.0,) * plan.choosers
        now, learned_at = 0.0, 0.0
        while True:
            now += self._rng.expovariate(rate)
            if now >= plan.duration_s:
                return self._result
            self._end_until(now)
            self._drop_lost(now)
            chooser = self._rng.choices(range(plan.choosers), weights)[0]
            if plan.age_s == 0:
                self._learn(self._choosers[chooser], now)
            elif plan.age_s is not None and now - learned_at >= plan.age_s:
                learned_at += plan.age_s
                for item in self._choosers:
                    self._learn(item, now)
            self._arrive(chooser, now)

    def _learn(self, chooser: UnbalancedChooser, now: float) -> None:
        for index, instance in enumerate(self._instances):
            if self._plan.speeds(index, now):
                chooser.learn(index, self._reported(instance), now)

    def _reported(self, instance: "_Instance") -> int:
        """Returns the statements at one home of an instance."""
        homes = self._plan.homes
        if homes == 1:
            return instance.load
        return sum(self._rng.randrange(homes) == 0 for _ in range(instance.load))

    def _arrive(self, chooser: int, now: float) -> None:
        plan = self._plan
        present = [item for item in range(plan.instances) if plan.speeds(item, now)]
        who = self._choosers[chooser]
        index = who.pick(present, now)
        who.sent(index, now)
        if who.distances[index] > min(who.distances[item] for item in present):
            self._result.distant += 1
        self._result.arrivals[int(now / WINDOW_S)][index] += 1
        number = next(self._ids)
        self._statements[number] = _Statement(chooser, now)
        self._instances[index].queue.append(number)
        self._fill(index, now)

    def _fill(self, index: int, now: float) -> None:
        """Starts waiting statements while the instance has free slots."""
        instance = self._instances[index]
        while instance.queue and len(instance.running) < self._plan.slots:
            number = instance.queue.popleft()
            instance.running.add(number)
            sent_at = self._statements[number].sent_at
            self._result.waits_s.append((sent_at, now - sent_at))
            speed = self._plan.speeds(index, now)
            work_s = self._rng.expovariate(1 / self._plan.work_s) / speed
            heapq.heappush(self._ends, (now + work_s, number, index))

    def _end_until(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            at, number, index = heapq.heappop(self._ends)
            if number not in self._instances[index].running:
                continue
            self._instances[index].running.discard(number)
            self._settle(number, index, at, lost=False)
            self._fill(index, at)

    def _drop_lost(self, now: float) -> None:
        """Ends all statements at instances that are lost."""
        for index, instance in enumerate(self._instances):
            if instance.load and not self._plan.speeds(index, now):
                for number in [*instance.running, *instance.queue]:
                    self._settle(number, index, now, lost=True)
                instance.running.clear()
                instance.queue.clear()

    def _settle(self, number: int, index: int, now: float, *, lost: bool) -> None:
        statement = self._statements.pop(number)
        chooser = self._choosers[statement.chooser]
        chooser.settled(index, statement.sent_at, now, lost=lost)
        if self._plan.age_s is None and not lost:
            chooser.learn(index, self._reported(self._instances[index]), now)
