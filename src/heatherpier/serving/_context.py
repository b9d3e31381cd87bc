"""What all sessions of a proxy share."""

from collections.abc import Callable
from dataclasses import dataclass

from heatherpier.discovery import InstanceRegistry
from heatherpier.groups import LogPosition
from heatherpier.leases import InFlightWork, Lease, NoLease, PrimaryLeases
from heatherpier.pooling import InstancePools
from heatherpier.routing import (
    ActiveRoutes,
    AnyCommit,
    BoundedStaleness,
    ReadOwnWrites,
    Route,
)
from heatherpier.serving._health import InstanceHealth
from heatherpier.serving._metrics import ServingMetrics
from heatherpier.serving._positions import PositionHistory, PositionSample
from heatherpier.serving._read_rate import ReadRateLimiter
from heatherpier.serving._replica_selector import ReplicaSelector
from heatherpier.timers import Timers


@dataclass(slots=True, kw_only=True)
class ServingContext:
    """Knowledge and connections that sessions share.

    Attributes:
        timers: Timer service.
        routes: The active routing table.
        registry: The registered instances.
        pools: Connections to them.
        leases: Who may be used as primary.
        in_flight: Work that is under way on primaries.
        health: What answers of instances tell.
        replica_selector: Order of instances for reads.
        positions: Positions of primaries, by service.
        read_limiters: Reads that may go to each primary, by instance.
        metrics: Counters and histograms.
        configuration_recent: Tells whether the routing table was confirmed lately
            enough to deny that a database exists.
    """

    timers: Timers
    routes: ActiveRoutes
    registry: InstanceRegistry
    pools: InstancePools
    leases: PrimaryLeases
    in_flight: InFlightWork
    health: InstanceHealth
    replica_selector: ReplicaSelector
    positions: dict[str, PositionHistory]
    read_limiters: dict[str, ReadRateLimiter]
    metrics: ServingMetrics
    configuration_recent: Callable[[], bool]

    def positions_of(self, service: str) -> PositionHistory:
        """Returns the samples of a service's primary."""
        known = self.positions.get(service)
        if known is None:
            known = self.positions[service] = PositionHistory(timers=self.timers)
        return known

    def read_limiter_of(self, instance: str) -> ReadRateLimiter:
        """Returns the budget of reads at a primary."""
        known = self.read_limiters.get(instance)
        if known is None:
            known = self.read_limiters[instance] = ReadRateLimiter(timers=self.timers)
        return known

    def primary(self, service: str) -> str | None:
        """Returns the instance that may be used as primary now, or None."""
        match self.leases.lease(service):
            case Lease(instance=instance):
                return instance
            case NoLease():
                return None

    def min_position(
        self, route: Route, own_commit: LogPosition | None
    ) -> PositionSample | None:
        """Returns what a replica must hold to serve a read of this route.

        Args:
            route: The route.
            own_commit: Position of the session's last commit, or None.
        """
        positions = self.positions_of(route.service)
        match route.consistency:
            case AnyCommit():
                return None
            case BoundedStaleness(max_age_s=max_age_s):
                return positions.min_position(max_age_s)
            case ReadOwnWrites(max_age_s=max_age_s):
                sample = positions.min_position(max_age_s)
                return _cover(sample, own_commit, positions.newest)


def _cover(
    sample: PositionSample | None,
    own_commit: LogPosition | None,
    newest: PositionSample | None,
) -> PositionSample | None:
    """Returns a minimum position that holds a sample and a session's last commit.

    A commit of an older term is either in the log that the new term began with, and
    so below each sample of the new term, or it was rolled back.
    """
    if sample is None or own_commit is None or own_commit <= sample.position:
        return sample
    if own_commit.term < sample.position.term:
        return sample
    taken_at = sample.taken_at
    if newest is not None and own_commit >= newest.position:
        taken_at = newest.taken_at
    return PositionSample(taken_at, own_commit)
