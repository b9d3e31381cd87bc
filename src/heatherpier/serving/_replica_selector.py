"""Ranks the instances that may serve a read."""

from collections.abc import Callable
from dataclasses import dataclass

from heatherpier.discovery import InstanceRecord, InstanceRegistry
from heatherpier.pooling import InstancePools
from heatherpier.positions import LogPosition
from heatherpier.serving._health import InstanceHealth
from heatherpier.serving._positions import PositionSample
from heatherpier.timers import Timers

# Cost per step of distance: a read prefers an instance that is one step nearer if the
# expected wait there is at most this much longer. Traffic between regions is
# expensive, and this wait is a tenth of the tightest latency objective.
DISTANCE_COST_S = 0.04
# Cost of a primary, which keeps its slots free for statements that only it can serve.
PRIMARY_COST_S = 0.005
# Cost of an instance that fails or is no longer listed; it ranks after healthy ones.
BACKOFF_COST_S = 10.0
# Cost of an instance that is leaving; it ranks after all others.
LEAVING_COST_S = 100.0
# The estimate of a replica's lag halves in this time, so that a replica that has caught
# up gets reads again.
LAG_HALF_LIFE_S = 2.0
# Factor by which the estimate exceeds the age at which a replica was seen to lag.
LAG_GROWTH_FACTOR = 1.5
# Lower bound of the estimate, before its growth, for a replica that was seen to lag.
MIN_LAG_S = 0.02
# Upper bound of the estimate.
MAX_LAG_S = 60.0
# A replica that is estimated to lag behind the minimum position gets one read per
# interval, which probes its lag.
LAG_PROBE_INTERVAL_S = 0.25


@dataclass(slots=True)
class _LagEstimate:
    """Last known position of an instance's log and an estimate of its lag.

    Attributes:
        position: Last position that the instance reported, or None.
        lag_s: Estimated lag in seconds at ``lag_at``; it decays after that.
        lag_at: Monotonic time in seconds of the estimate.
        probed_at: Monotonic time in seconds of the last probe of a lagging replica.
    """

    position: LogPosition | None = None
    lag_s: float = 0.0
    lag_at: float = 0.0
    probed_at: float = 0.0


class ReplicaSelector:
    """Ranks instances for reads by distance, load, lag and health.

    Args:
        registry: The registered instances.
        pools: Connection pools of the instances.
        health: Health of the instances.
        timers: Timer service.
        distance: Returns the distance of a data centre: 0 for that of this proxy,
            1 for others of its region, 2 for other regions.
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
        """Records the position of an instance's log."""
        if position is not None:
            self._estimate(name).position = position

    def note_served(self, name: str, *, min_position_age_s: float) -> None:
        """Records that an instance's log included a minimum position of that age."""
        estimate = self._estimate(name)
        estimate.lag_s = min(self._lag_s(estimate), min_position_age_s)
        estimate.lag_at = self._timers.now()

    def note_lagging(self, name: str, *, min_position_age_s: float) -> None:
        """Records that an instance's log lacked a minimum position of that age."""
        estimate = self._estimate(name)
        lag_s = (
            max(self._lag_s(estimate), min_position_age_s, MIN_LAG_S)
            * LAG_GROWTH_FACTOR
        )
        estimate.lag_s = min(lag_s, MAX_LAG_S)
        estimate.lag_at = self._timers.now()

    def forget(self, name: str) -> None:
        """Drops the state of an instance that was removed."""
        self._estimates.pop(name, None)

    def rank(
        self, service: str, *, primary: str | None, min_position: PositionSample | None
    ) -> list[InstanceRecord]:
        """Returns the instances that may serve a read, best first.

        Args:
            service: The service.
            primary: Name of the instance that may be used as the primary, or None
                if there is none.
            min_position: Position sample that a replica must include. With None only
                the primary may serve the read.
        """
        costs = [
            (self._cost(record, primary=primary), record.name, record)
            for record in self._registry.of_service(service)
            if record.name == primary or self._should_offer(record.name, min_position)
        ]
        return [record for _, _, record in sorted(costs, key=lambda cost: cost[:2])]

    def _cost(self, record: InstanceRecord, *, primary: str | None) -> float:
        cost_s = self._pools.of(record).expected_wait_s()
        cost_s += DISTANCE_COST_S * self._distance(record.instance.data_centre)
        if record.name == primary:
            cost_s += PRIMARY_COST_S
        if self._health.in_backoff(record.name) or self._registry.is_missing(
            record.name
        ):
            cost_s += BACKOFF_COST_S
        if record.instance.leaving:
            cost_s += LEAVING_COST_S
        return cost_s

    def _should_offer(self, name: str, min_position: PositionSample | None) -> bool:
        """Returns whether a read with a minimum position goes to a replica.

        It does if the replica probably includes the position, or if a probe of its
        lag is due. Probes are rare, since each read that the replica rejects costs
        the replica and the caller time.
        """
        if min_position is None:
            return False
        estimate = self._estimate(name)
        if estimate.position is not None and estimate.position >= min_position.position:
            return True
        if self._timers.elapsed() - min_position.taken_at >= self._lag_s(estimate):
            return True
        now = self._timers.now()
        if now - estimate.probed_at < LAG_PROBE_INTERVAL_S:
            return False
        estimate.probed_at = now
        return True

    def _lag_s(self, estimate: _LagEstimate) -> float:
        age_s = self._timers.now() - estimate.lag_at
        return estimate.lag_s * float(0.5 ** (age_s / LAG_HALF_LIFE_S))

    def _estimate(self, name: str) -> _LagEstimate:
        return self._estimates.setdefault(name, _LagEstimate())
