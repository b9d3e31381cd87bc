"""Measures changes of primary under virtual time and prints the figures."""

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
SILENT_LOSSES = (Loss.CRASH, Loss.PAUSE, Loss.CUT_FROM_ALL)
LOSSES_OF_A_KIND = 10

T = TypeVar("T")


@dataclass(frozen=True, slots=True, kw_only=True)
class Setting:
    """One row of the report.

    Attributes:
        label: Name of the row.
        losses: Kinds of loss; each is measured `LOSSES_OF_A_KIND` times.
        proxies: Count of proxies.
        store_down: Whether the directory is down all along.
        baseline: Whether losses are found by a fixed time-out alone.
    """

    label: str
    losses: Sequence[Loss]
    proxies: int = 4
    store_down: bool = False
    baseline: bool = False


SETTINGS = (
    Setting(label="4 proxies", losses=SILENT_LOSSES),
    Setting(label="4 proxies, store down", losses=SILENT_LOSSES, store_down=True),
    Setting(label="12 proxies", losses=SILENT_LOSSES, proxies=12),
    Setting(label="cut from proxies only", losses=(Loss.CUT_FROM_PROXIES,)),
    Setting(label="cut from replicas only", losses=(Loss.CUT_FROM_REPLICAS,)),
    Setting(label="fixed 3 s time-out", losses=SILENT_LOSSES, baseline=True),
)


def print_failover() -> None:
    """Prints failover gaps and the stalls of planned changes."""
    with logbook.NullHandler().applicationbound():
        print(f"{'setting':26}{'losses':>8}{'median':>9}{'worst':>9}{'lost':>6}")
        for setting in SETTINGS:
            _print_gaps(setting)
        for proxies in (4, 12):
            work = partial(
                measure_handover, proxies=proxies, connections=_share(proxies)
            )
            stall_s = _run(work)
            print(f"planned change, {proxies} proxies: longest stall {stall_s:.2f} s")


def _print_gaps(setting: Setting) -> None:
    results = [
        _measure(setting, loss, seed)
        for loss in setting.losses
        for seed in range(LOSSES_OF_A_KIND)
    ]
    gaps = [item.gap_s for item in results]
    lost = sum(item.lost for item in results)
    print(
        f"{setting.label:26}{len(gaps):>8}{median(gaps):>7.2f} s{max(gaps):>7.2f} s"
        f"{lost:>6}"
    )


def _measure(setting: Setting, loss: Loss, seed: int) -> LossResult:
    work = partial(
        measure_loss,
        loss=loss,
        seed=seed,
        proxies=setting.proxies,
        connections=_share(setting.proxies),
        store_down=setting.store_down,
        baseline=setting.baseline,
    )
    try:
        return _run(work)
    except NotAcknowledgedError:
        return LossResult(loss=loss, gap_s=MAX_GAP_S, lost=0)


def _share(proxies: int) -> int:
    return connection_share(
        accepted=ACCEPTED_CONNECTIONS, instances=INSTANCES, proxies=proxies
    )


def _run(work: Callable[[Timers], Coroutine[Any, Any, T]]) -> T:
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(work(LoopTimers(wall_offset_s=0)))
