"""Measures the order of waiters: decisions a second, shares and late answers."""

import heapq
import random
import time
from typing import Any

from heatherpier.bench._order_loads import ORDER_LOADS, STREAMS, OrderLoad
from heatherpier.bench._order_run import OrderFigures, measure_order
from heatherpier.limits import FairQueue, QueueEntry

DECISIONS = 20_000
WAITING = 200
ORGANISATIONS = 74
STEP_S = 0.005


def measure_decisions(*, fair: bool, seed: int) -> float:
    """Returns how many waiters a second are queued and served, with `WAITING` others.

    Args:
        fair: Whether they are in fair order; otherwise by priority and arrival.
        seed: Seed of the random choices.
    """
    rng = random.Random(seed)
    entries = [
        _make_entry(rng, at_s=number * STEP_S) for number in range(WAITING + DECISIONS)
    ]
    began = time.perf_counter()
    if fair:
        _run_fair(entries)
    else:
        _run_by_arrival(entries)
    return DECISIONS / (time.perf_counter() - began)


def _make_entry(rng: random.Random, *, at_s: float) -> QueueEntry:
    stream = rng.choice(STREAMS)
    return QueueEntry(
        organisation=f"organisation-{rng.randrange(ORGANISATIONS)}",
        class_name=stream.name,
        priority=1,
        objective_at=at_s + stream.objective_s,
        objective_s=stream.objective_s,
        deadline=at_s + stream.deadline_s,
        cost_s=stream.use_s,
    )


def _run_fair(entries: list[QueueEntry]) -> None:
    queue: FairQueue[QueueEntry] = FairQueue()
    for number, entry in enumerate(entries):
        now = number * STEP_S
        queue.expected_wait_s(entry, now)
        queue.push(entry, now)
        if number >= WAITING:
            queue.pop(now, entry.organisation)


def _run_by_arrival(entries: list[QueueEntry]) -> None:
    queue: list[tuple[int, int, QueueEntry]] = []
    for number, entry in enumerate(entries):
        heapq.heappush(queue, (entry.priority, number, entry))
        if number >= WAITING:
            heapq.heappop(queue)


def order_report(*, seed: int, runs: int) -> dict[str, Any]:
    """Returns the figures of all loads, before (by arrival) and after (fair).

    Args:
        seed: Seed of the first run.
        runs: Number of runs of each load, whose figures are averaged.
    """
    seeds = range(seed, seed + runs)
    return {
        "seeds": list(seeds),
        "decisions per second": {
            "before": round(measure_decisions(fair=False, seed=seed)),
            "after": round(measure_decisions(fair=True, seed=seed)),
        },
        "loads": {load.name: _load_report(load, seeds) for load in ORDER_LOADS},
    }


def _load_report(load: OrderLoad, seeds: range) -> dict[str, dict[str, float]]:
    report = {}
    for label, fair in (("before", False), ("after", True)):
        runs = [_figures(measure_order(load, seed=seed, fair=fair)) for seed in seeds]
        report[label] = {
            name: round(sum(run[name] for run in runs) / len(runs), 3)
            for name in runs[0]
        }
    return report


def _figures(figures: OrderFigures) -> dict[str, float]:
    shares = figures.shares()
    return {
        "mean share": figures.mean_share(),
        "share of the worst tenth": figures.worst_share(),
        "share of the largest organisation": shares[min(shares)],
        "refused attempts": figures.refusals,
        "opened connections": figures.opened,
        **{
            f"{stream.name} on time": figures.on_time_share(stream.name)
            for stream in STREAMS
        },
        **{
            f"{stream.name} late": figures.late_share(stream.name) for stream in STREAMS
        },
    }
