"""Loads on the pools of one instance, for the order of their waiters.

Rates, times, objectives and worth are those of the deployment Q in the work page
(docs/design/18-hard-load.md), of one of its four services with all work on one instance.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

ORGANISATIONS = 74
# Shares of the organisations fall off as 1/rank^0.8, so the largest sends a tenth.
SHARE_EXPONENT = 0.8


@dataclass(frozen=True, slots=True, kw_only=True)
class Stream:
    """Statements of one class.

    Attributes:
        name: Name of the class.
        rate_per_s: Usual statements per second.
        use_s: Mean time in a slot of the instance, in seconds.
        objective_s: Latency objective, in seconds.
        deadline_s: Time after which an answer is of no use, in seconds.
        worth: Value of an answer within the objective.
        reads: Whether they are single reads.
    """

    name: str
    rate_per_s: float
    use_s: float
    objective_s: float
    deadline_s: float
    worth: float
    reads: bool


SCORES = Stream(
    name="scores",
    rate_per_s=12.0,
    use_s=0.011,
    objective_s=0.503,
    deadline_s=3.015,
    worth=3.5,
    reads=False,
)
AGED_READS = Stream(
    name="aged reads",
    rate_per_s=21.0,
    use_s=0.055,
    objective_s=2.503,
    deadline_s=6.006,
    worth=0.47,
    reads=True,
)
SESSIONS = Stream(
    name="sessions",
    rate_per_s=55.0,
    use_s=0.033,
    objective_s=1.003,
    deadline_s=3.008,
    worth=1.9,
    reads=True,
)
STREAMS = (SCORES, AGED_READS, SESSIONS)


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderLoad:
    """A load on the pools of one instance.

    Attributes:
        name: Name of the load.
        factors: Multiples of the usual rates during the load, by class.
        hot_factor: Multiple of its usual rate that the largest organisation sends
            during the load.
        began_s: Time at which the load begins, in seconds.
        ended_s: Time at which it ends, in seconds.
        returning: Callers that return within `return_s` at its beginning.
        return_s: Time over which they return, in seconds.
        failed_share: Share of the requests during the load whose connection fails.
        pools: Connections that each pool may open.
    """

    name: str
    factors: Mapping[str, float] = field(default_factory=dict)
    hot_factor: float = 1.0
    began_s: float = 3.0
    ended_s: float = 8.0
    returning: int = 0
    return_s: float = 0.2
    failed_share: float = 0.0
    pools: tuple[int, ...] = (4, 4)


HOT_ORGANISATION = OrderLoad(name="hot organisation", hot_factor=9.0, ended_s=13.0)
# 28% of the sessions' statements, 62 per second, meet in one place beside its others.
HOT_KEY = OrderLoad(name="hot key", factors={"sessions": 2.1}, ended_s=13.0)
LONG_READS = OrderLoad(name="long reads", factors={"aged reads": 2.4}, pools=(3, 3))
# A quarter of the 2,000 open sessions.
RETURN = OrderLoad(name="return after a loss of power", returning=500)
FAILING_INSTANCE = OrderLoad(
    name="failing instance", failed_share=0.3, factors={"aged reads": 1.5}, ended_s=13.0
)
UNEQUAL_VMS = OrderLoad(name="unequal VMs", pools=(1, 3, 6), ended_s=13.0)
ORDER_LOADS = (
    HOT_ORGANISATION,
    HOT_KEY,
    LONG_READS,
    RETURN,
    FAILING_INSTANCE,
    UNEQUAL_VMS,
)


def organisation_shares() -> dict[str, float]:
    """Returns the usual shares of the organisations, the largest first."""
    weights = {
        f"organisation-{rank:02d}": rank**-SHARE_EXPONENT
        for rank in range(1, ORGANISATIONS + 1)
    }
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()}
