"""Ranks the instances that may serve a read."""

from collections.abc import Callable
from dataclasses import dataclass

from heatherpier.discovery import InstanceRecord, InstanceRegistry
from heatherpier.pooling import InstancePools
from heatherpier.positions import LogPosition
from heatherpier.serving._health import InstanceHealth
from heatherpier.serving._positions import PositionSample
from heatherpier.serving._read_balancer import ReadBalancer, ReadOption
from heatherpier.timers import Timers

# Cost per step of distance: a read prefers an instance that is one step nearer if the
# expected wait there is at most this much longer. Traffic between regions is
# expensive, and this wait is a tenth of the tightest latency objective.
DISTANCE_COST_S = 0.04
# The same where reads are balanced. A round trip between data centres of a region takes
# at most 2.8 ms, so the load decides there, and a replica is better than a primary
# that is nearer; to other regions nothing changes.
BALANCED_DISTANCE_COSTS_S = (0.0, 0.003, 2 * DISTANCE_COST_S)
# Cost of a primary, which keeps its slots free for statements that only it can serve.
PRIMARY_COST_S = 0.005
# Cost of an instance that fails or is no longer listed; it ranks after healthy ones.
BACKOFF_COST_S = 10.0
# Cost of an instance that is leaving but still accepts work; it ranks after all others.
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
        balancer: Orders the healthy instances where reads are balanced.
    """

    def __init__(
        self,
        *,
        registry: InstanceRegistry,
        pools: InstancePools,
        health: InstanceHealth,
        timers: Timers,
        distance: Callable[[str], int],
        balancer: ReadBalancer,
    ) -> None:
        self._registry = registry
        self._pools = pools
        self._health = health
        self._timers = timers
        self._distance = distance
        self._balancer = balancer
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
        offered = [
            record
            for record in self._registry.of_service(service)
            if self._registry.accepts_new_work(record.name)
            and (
                record.name == primary or self._should_offer(record.name, min_position)
            )
        ]
        if not self._balancer.active:
            return self._by_cost(offered, primary)
        healthy = [record for record in offered if not self._penalty_s(record)]
        others = [record for record in offered if self._penalty_s(record)]
        return self._balanced(healthy, primary) + self._by_cost(others, primary)

    def _by_cost(
        self, records: list[InstanceRecord], primary: str | None
    ) -> list[InstanceRecord]:
        costs = [
            (self._cost(record, primary=primary), record.name, record)
            for record in records
        ]
        return [record for _, _, record in sorted(costs, key=lambda cost: cost[:2])]

    def _balanced(
        self, records: list[InstanceRecord], primary: str | None
    ) -> list[InstanceRecord]:
        by_name = {record.name: record for record in records}
        options = [
            ReadOption(
                name=record.name,
                is_primary=record.name == primary,
                pool_wait_s=self._pools.of(record).expected_wait_s(),
                distance_cost_s=BALANCED_DISTANCE_COSTS_S[
                    self._distance(record.instance.data_centre)
                ],
                role_cost_s=PRIMARY_COST_S if record.name == primary else 0.0,
            )
            for record in records
        ]
        return [by_name[name] for name in self._balancer.order(options)]

    def _cost(self, record: InstanceRecord, *, primary: str | None) -> float:
        cost_s = self._pools.of(record).expected_wait_s()
        cost_s += DISTANCE_COST_S * self._distance(record.instance.data_centre)
        if record.name == primary:
            cost_s += PRIMARY_COST_S
        return cost_s + self._penalty_s(record)

    def _penalty_s(self, record: InstanceRecord) -> float:
        """Returns the cost of an instance that ranks after the healthy ones, else 0."""
        penalty_s = 0.0
        if self._health.in_backoff(record.name) or self._registry.is_missing(
            record.name
        ):
            penalty_s += BACKOFF_COST_S
        if record.instance.leaving:
            penalty_s += LEAVING_COST_S
        return penalty_s

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
