"""Seeded mixes of faults for a group in memory."""

import random
from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """What can fail in memory."""

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
    """One fault of a plan.

    Attributes:
        kind: What fails.
        at_s: Time after the start of the load, in seconds.
        lasts_s: Time until it is undone, in seconds.
        target: Number of the instance or proxy.
        size: How much of it, from 0 to 1.
    """

    kind: FaultKind
    at_s: float
    lasts_s: float
    target: int
    size: float


LEAST_FAULTS = 3
MOST_FAULTS = 7
LONGEST_S = 6.0
SHORTEST_S = 0.2


def plan_faults(seed: int, *, duration_s: float) -> list[PlannedFault]:
    """Returns the faults of ``seed``, in the order of their times."""
    rng = random.Random(f"{seed}/faults")
    faults = [
        PlannedFault(
            kind=rng.choice(list(FaultKind)),
            at_s=rng.uniform(0.5, duration_s - 2.0),
            lasts_s=rng.uniform(SHORTEST_S, LONGEST_S),
            target=rng.randrange(3),
            size=rng.random(),
        )
        for _ in range(rng.randint(LEAST_FAULTS, MOST_FAULTS))
    ]
    return sorted(faults, key=lambda fault: fault.at_s)
