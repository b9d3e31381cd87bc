"""Seeded plans of faults for a database group in memory."""

import random
from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """Kinds of faults that a run in memory can inject."""

    CRASH = "instance crashes and comes back"
    PAUSE = "instance is paused"
    CUT_FROM_PROXIES = "instance is cut off from proxies"
    CUT_FROM_PEERS = "instance is cut off from the other instances"
    LAG = "replica lags"
    REPLICATION_STOPPED = "replication stops"
    ANSWERS_LOST = "answers to COMMIT are lost after the effect"
    ANSWERS_DOUBLED = "answers of an instance come twice"
    SILENT = "open connections go silent"
    SLOW = "instance is slow"
    PROXY_KILLED = "proxy is killed"
    CALLER_ANSWERS_LOST = "answers to callers are lost"


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedFault:
    """One fault of a plan: what fails, when and for how long.

    Attributes:
        kind: What fails.
        at_s: Time after the start of the load, in seconds.
        duration_s: Time until the fault is undone, in seconds.
        target: Index of the instance or proxy, from 0.
        size: Severity from 0 to 1 of faults that have one: the lag, the delay, or
            how many peers or answers are affected.
    """

    kind: FaultKind
    at_s: float
    duration_s: float
    target: int
    size: float


MIN_FAULTS = 3
MAX_FAULTS = 7
MAX_FAULT_S = 6.0
MIN_FAULT_S = 0.2


def plan_faults(seed: int, *, duration_s: float) -> list[PlannedFault]:
    """Returns the faults that ``seed`` determines, ordered by start.

    Args:
        seed: Seed of all choices.
        duration_s: Duration of the load, in seconds.
    """
    rng = random.Random(f"{seed}/faults")
    faults = [
        PlannedFault(
            kind=rng.choice(list(FaultKind)),
            at_s=rng.uniform(0.5, duration_s - 2.0),
            duration_s=rng.uniform(MIN_FAULT_S, MAX_FAULT_S),
            target=rng.randrange(3),
            size=rng.random(),
        )
        for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS))
    ]
    return sorted(faults, key=lambda fault: fault.at_s)
