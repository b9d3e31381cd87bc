"""State that all sessions of a proxy share."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from heatherpier.discovery import InstanceRegistry
from heatherpier.identities import CallerDirectory
from heatherpier.leases import InFlightWork, Lease, NoLease, PrimaryLeases
from heatherpier.pooling import InstancePools
from heatherpier.quotas import OpenGate, QuotaGate
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
from heatherpier.serving._read_balancer import ReadBalancer
from heatherpier.serving._read_rate import ReadRateLimiter
from heatherpier.serving._replica_selector import ReplicaSelector
from heatherpier.serving._session_commits import SessionCommit
from heatherpier.timers import Timers


@dataclass(slots=True, kw_only=True)
class ServingContext:
    """State and connections that all sessions of a proxy share.

    Attributes:
        timers: Timer service.
        routes: The active routing table.
        callers: Identifies callers by their keys.
        registry: The registered instances.
        pools: Connection pools of the instances.
        leases: Leases on primaries.
        in_flight: Statements and transactions in progress on primaries.
        health: Health of the instances, by their answers.
        replica_selector: Ranks the instances for a read.
        balancer: Records what statements show of the load of instances.
        positions: Position samples of the primaries, by service.
        read_limiters: Rate limiters of reads on primaries, by instance.
        metrics: Counters and histograms.
        configuration_recent: Returns whether the routing table was confirmed
            recently enough to answer that a database does not exist.
        quotas: Admits operations within the rate limits of organisations.
    """

    timers: Timers
    routes: ActiveRoutes
    callers: CallerDirectory
    registry: InstanceRegistry
    pools: InstancePools
    leases: PrimaryLeases
    in_flight: InFlightWork
    health: InstanceHealth
    replica_selector: ReplicaSelector
    balancer: ReadBalancer
    positions: dict[str, PositionHistory]
    read_limiters: dict[str, ReadRateLimiter]
    metrics: ServingMetrics
    configuration_recent: Callable[[], bool]
    quotas: QuotaGate | OpenGate = field(default_factory=OpenGate)

    def positions_of(self, service: str) -> PositionHistory:
        """Returns the position samples of a service's primary."""
        known = self.positions.get(service)
        if known is None:
            known = self.positions[service] = PositionHistory(timers=self.timers)
        return known

    def read_limiter_of(self, instance: str) -> ReadRateLimiter:
        """Returns the rate limiter of reads on a primary."""
        known = self.read_limiters.get(instance)
        if known is None:
            known = self.read_limiters[instance] = ReadRateLimiter(timers=self.timers)
        return known

    def primary(self, service: str) -> str | None:
        """Returns the instance that may be used as primary now, or None if none may."""
        match self.leases.lease(service):
            case Lease(instance=instance):
                return instance
            case NoLease():
                return None

    def keep_positions(self, services: Collection[str]) -> None:
        """Drops the position samples of all services but the given ones.

        A service that leaves the configuration may come back with another log.
        """
        for service in self.positions.keys() - services:
            self.positions.pop(service).clear()

    def min_position(
        self, route: Route, own_commit: SessionCommit | None
    ) -> PositionSample | None:
        """Returns the position sample that a replica must include to serve a read.

        Args:
            route: The route of the read.
            own_commit: The session's last commit on the route's service, or None if
                it has not committed anything there.

        Returns:
            The sample, or None if no replica may serve the read: the route reads on
            the primary, or no sample is recent enough.
        """
        positions = self.positions_of(route.service)
        match route.consistency:
            case AnyCommit():
                return None
            case BoundedStaleness(max_age_s=max_age_s):
                return positions.min_position(max_age_s)
            case ReadOwnWrites(max_age_s=max_age_s):
                return _min_position_with_commit(positions, max_age_s, own_commit)


def _min_position_with_commit(
    positions: PositionHistory, max_age_s: float, commit: SessionCommit | None
) -> PositionSample | None:
    """Returns the sample that keeps a read within a maximum age and covers a commit."""
    sample = positions.min_position(max_age_s)
    if sample is None or commit is None or _covers(sample, commit):
        return sample
    if commit.position is None:
        return positions.min_position(max_age_s, not_before=commit.acknowledged_at)
    taken_at = sample.taken_at
    # A position beyond the newest sample covers all commits that the sample covers.
    newest = positions.newest
    if newest is not None and commit.position >= newest.position:
        taken_at = newest.taken_at
    return PositionSample(taken_at, commit.position)


def _covers(sample: PositionSample, commit: SessionCommit) -> bool:
    """Returns whether a log that includes a sample includes a commit.

    A sample that was taken after the acknowledgement covers the commit, also if the
    service has come back with another log, in which the commit does not exist.

    A commit of an older term needs no check of its own: either the new term's log
    began with it, so that each sample of the new term covers it, or it was rolled
    back.
    """
    if sample.taken_at >= commit.acknowledged_at:
        return True
    if commit.position is None:
        return False
    return (
        commit.position <= sample.position
        or commit.position.term < sample.position.term
    )
