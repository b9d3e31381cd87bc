"""Measures failovers and planned changes of primary, and prints the figures."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from functools import partial
from statistics import median
from typing import Any, TypeVar

import logbook

from heatherpier.bench._failover import (
    MAX_GAP_S,
    Loss,
    LossResult,
    measure_handover,
    measure_loss,
)
from heatherpier.groups import NotAcknowledgedError, connection_share
from heatherpier.timers import LoopTimers, Timers, VirtualTimeLoop

ACCEPTED_CONNECTIONS = 20
INSTANCES = 3
UNRESPONSIVE_LOSSES = (Loss.CRASH, Loss.PAUSE, Loss.CUT_FROM_ALL)
RUNS_PER_LOSS = 10

T = TypeVar("T")


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """One row of the report.

    Attributes:
        label: Printed name of the row.
        losses: Kinds of loss; each is measured `RUNS_PER_LOSS` times.
        proxies: Count of proxies.
        store_down: Whether the directory is down during the whole run.
        baseline: Whether proxies detect a loss by a fixed timeout alone.
    """

    label: str
    losses: Sequence[Loss]
    proxies: int = 4
    store_down: bool = False
    baseline: bool = False


SCENARIOS = (
    Scenario(label="4 proxies", losses=UNRESPONSIVE_LOSSES),
    Scenario(
        label="4 proxies, store down", losses=UNRESPONSIVE_LOSSES, store_down=True
    ),
    Scenario(label="12 proxies", losses=UNRESPONSIVE_LOSSES, proxies=12),
    Scenario(label="cut from proxies only", losses=(Loss.CUT_FROM_PROXIES,)),
    Scenario(label="cut from replicas only", losses=(Loss.CUT_FROM_REPLICAS,)),
    Scenario(label="fixed 3 s time-out", losses=UNRESPONSIVE_LOSSES, baseline=True),
)


def print_failover() -> None:
    """Prints failover gaps by scenario and the stalls of planned changes."""
    with logbook.NullHandler().applicationbound():
        print(f"{'setting':26}{'losses':>8}{'median':>9}{'worst':>9}{'lost':>6}")
        for scenario in SCENARIOS:
            _print_gaps(scenario)
        for proxies in (4, 12):
            measurement = partial(
                measure_handover,
                proxies=proxies,
                connections=_connections_per_proxy(proxies),
            )
            stall_s = _run_in_virtual_time(measurement)
            print(f"planned change, {proxies} proxies: longest stall {stall_s:.2f} s")


def _print_gaps(scenario: Scenario) -> None:
    results = [
        _measure(scenario, loss, seed)
        for loss in scenario.losses
        for seed in range(RUNS_PER_LOSS)
    ]
    gaps = [item.gap_s for item in results]
    lost = sum(item.lost for item in results)
    print(
        f"{scenario.label:26}{len(gaps):>8}{median(gaps):>7.2f} s{max(gaps):>7.2f} s"
        f"{lost:>6}"
    )


def _measure(scenario: Scenario, loss: Loss, seed: int) -> LossResult:
    measurement = partial(
        measure_loss,
        loss=loss,
        seed=seed,
        proxies=scenario.proxies,
        connections=_connections_per_proxy(scenario.proxies),
        store_down=scenario.store_down,
        baseline=scenario.baseline,
    )
    try:
        return _run_in_virtual_time(measurement)
    except NotAcknowledgedError:
        return LossResult(loss=loss, gap_s=MAX_GAP_S, lost=0)


def _connections_per_proxy(proxies: int) -> int:
    return connection_share(
        accepted=ACCEPTED_CONNECTIONS, instances=INSTANCES, proxies=proxies
    )


def _run_in_virtual_time(measurement: Callable[[Timers], Coroutine[Any, Any, T]]) -> T:
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(measurement(LoopTimers(wall_offset_s=0)))
