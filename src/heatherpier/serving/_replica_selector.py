"""Which instances a read is offered to, and in which order."""

from collections.abc import Callable
from dataclasses import dataclass

from heatherpier.discovery import InstanceRecord, InstanceRegistry
from heatherpier.groups import LogPosition
from heatherpier.pooling import InstancePools
from heatherpier.serving._health import InstanceHealth
from heatherpier.serving._positions import PositionSample
from heatherpier.timers import Timers

# A read waits up to this long for a near instance before it goes to a far one. Bytes
# between regions are dear; the wait is a tenth of the tightest objective.
FAR_COST_S = 0.04
# Keeps the slots of primaries for what only they can serve.
PRIMARY_COST_S = 0.005
# An instance that fails or leaves comes after all others.
BACKOFF_COST_S = 10.0
LEAVING_COST_S = 100.0
# The estimate of a replica's lag falls by half in this time, so that a replica that
# has caught up is tried again.
LAG_HALF_LIFE_S = 2.0
LAG_GROWTH = 1.5
MIN_LAG_S = 0.02
MAX_LAG_S = 60.0
# A replica whose estimate says that it lacks the minimum position is tried once in this time.
LAG_PROBE_S = 0.25


@dataclass(slots=True)
class _LagEstimate:
    """What is known of one instance's log."""

    position: LogPosition | None = None
    lag_s: float = 0.0
    lag_at: float = 0.0
    probed_at: float = 0.0


class ReplicaSelector:
    """Orders instances for reads by distance, load, lag and health.

    Args:
        registry: The registered instances.
        pools: Their connections.
        health: What their answers tell.
        timers: Timer service.
        distance: Tells how far a data centre is: 0 the own, 1 the region, 2 others.
    """

    def __init__(
        self,
        *,
        registry: InstanceRegistry,
        pools: InstancePools,
        health: InstanceHealth,
        timers: Timers,
        distance: Callable[[str], int],
    ) -> None:
        self._registry = registry
        self._pools = pools
        self._health = health
        self._timers = timers
        self._distance = distance
        self._estimates: dict[str, _LagEstimate] = {}

    def note_position(self, name: str, position: LogPosition | None) -> None:
        """Takes in how far an instance's log is."""
        if position is not None:
            self._estimate(name).position = position

    def note_served(self, name: str, *, min_position_age_s: float) -> None:
        """Takes in that an instance had a minimum position of that age."""
        estimate = self._estimate(name)
        estimate.lag_s = min(self._lag_s(estimate), min_position_age_s)
        estimate.lag_at = self._timers.now()

    def note_lagging(self, name: str, *, min_position_age_s: float) -> None:
        """Takes in that an instance lacked a minimum position of that age."""
        estimate = self._estimate(name)
        lag_s = max(self._lag_s(estimate), min_position_age_s, MIN_LAG_S) * LAG_GROWTH
        estimate.lag_s = min(lag_s, MAX_LAG_S)
        estimate.lag_at = self._timers.now()

    def forget(self, name: str) -> None:
        """Drops what is known of an instance that is gone."""
        self._estimates.pop(name, None)

    def rank(
        self, service: str, *, primary: str | None, min_position: PositionSample | None
    ) -> list[InstanceRecord]:
        """Returns the instances that may serve a read, best first.

        Args:
            service: The service.
            primary: Instance that may be used as the primary, or None.
            min_position: What a replica must hold; None leaves the primary only.
        """
        costs = [
            (self._cost(item, primary=primary), item.name, item)
            for item in self._registry.of_service(service)
            if item.name == primary or self._may_hold(item.name, min_position)
        ]
        return [item for _, _, item in sorted(costs, key=lambda cost: cost[:2])]

    def _cost(self, item: InstanceRecord, *, primary: str | None) -> float:
        cost_s = self._pools.of(item).expected_wait_s()
        cost_s += FAR_COST_S * self._distance(item.instance.data_centre)
        if item.name == primary:
            cost_s += PRIMARY_COST_S
        if self._health.in_backoff(item.name) or self._registry.is_missing(item.name):
            cost_s += BACKOFF_COST_S
        if item.instance.leaving:
            cost_s += LEAVING_COST_S
        return cost_s

    def _may_hold(self, name: str, min_position: PositionSample | None) -> bool:
        """Tells whether a replica probably holds a minimum position, or is to be tried anyway.

        One that lags for long is tried now and then only: each useless try costs it
        and its caller time.
        """
        if min_position is None:
            return False
        estimate = self._estimate(name)
        if estimate.position is not None and estimate.position >= min_position.position:
            return True
        if self._timers.elapsed() - min_position.taken_at >= self._lag_s(estimate):
            return True
        now = self._timers.now()
        if now - estimate.probed_at < LAG_PROBE_S:
            return False
        estimate.probed_at = now
        return True

    def _lag_s(self, estimate: _LagEstimate) -> float:
        age_s = self._timers.now() - estimate.lag_at
        return estimate.lag_s * float(0.5 ** (age_s / LAG_HALF_LIFE_S))

    def _estimate(self, name: str) -> _LagEstimate:
        return self._estimates.setdefault(name, _LagEstimate())
