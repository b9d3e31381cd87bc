"""The lease of this proxy to use an instance as the primary of its service."""

import asyncio
from dataclasses import dataclass

from heatherpier.discovery import InstanceRegistry
from heatherpier.leases._grants import Grants
from heatherpier.leases._records import Changing, LeadershipRecord
from heatherpier.leases._view import FleetView
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# A view that is younger than this gives the lease to use the primary it names. A
# promotion waits until all such leases have expired. Longer bridges an outage of the
# store better, shorter lets a change of primary with an unreachable proxy go faster;
# the change has to be over within 6 s.
LEASE_S = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """The lease to use one instance as the primary, at the time it was asked for.

    Attributes:
        service: The service.
        instance: Name of the primary.
        version: Version of the leadership row, or 0 while there is none.
    """

    service: str
    instance: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class NoLease:
    """Nobody may be used as the primary at present.

    Attributes:
        reason: Why.
        changing: Whether a change of primary is under way.
        planned: Whether that is a planned one, which takes well under a second.
    """

    reason: str
    changing: bool
    planned: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class _DrainingLease:
    """A lease that a change of primary is about to end.

    Attributes:
        lease: The lease.
        expires_at: Time by `Timers.elapsed` when it ends in any case.
    """

    lease: Lease
    expires_at: float


class PrimaryLeases:
    """Tells which instance may be used as the primary of a service.

    Args:
        me: Name of this proxy.
        view: Copy of the fleet's table.
        grants: Support by peers while the view is old.
        registry: The registered instances.
        timers: Timer service.
    """

    def __init__(
        self,
        me: str,
        *,
        view: FleetView,
        grants: Grants,
        registry: InstanceRegistry,
        timers: Timers,
    ) -> None:
        self._me = me
        self._grants = grants
        self._view = view
        self._registry = registry
        self._timers = timers
        self._began = timers.elapsed()
        self._registered = 0
        self._changed: dict[str, asyncio.Event] = {}
        self._draining: dict[str, _DrainingLease] = {}
        view.subscribe(self._before_change)

    def note_registered(self, version: int) -> None:
        """Takes in the version of this proxy's own member row.

        Whoever changes a primary waits for all members it knows. A view from
        before the registration may miss a change that did not wait for this proxy.
        Nor does a change wait for long for a proxy whose row was removed.
        """
        self._registered = version

    def lease(self, service: str) -> Lease | NoLease:
        """Returns the lease to use a primary now, or why there is none."""
        member = self._view.members.get(self._me)
        if member is None or member.version != self._registered:
            return NoLease(reason="this proxy is not registered", changing=False)
        if self._timers.elapsed() >= self._expires_at():
            age_s = self._view.copy.age_s()
            return NoLease(
                reason=f"the leadership is {age_s:.1f} s old", changing=False
            )
        return self._lease_of(service, self._view.leaders.get(service))

    def _expires_at(self) -> float:
        """Returns when all leases expire, by `Timers.elapsed`, unless renewed.

        A change of primary does not wait for a process that has ended, so its next
        incarnation relies on no view from before its start, unless peers support it.
        """
        as_of = self._timers.elapsed() - self._view.copy.age_s()
        granted = self._grants.granted_until()
        if as_of < self._began:
            return granted
        return max(as_of + LEASE_S, granted)

    def _lease_of(
        self, service: str, record: LeadershipRecord | None
    ) -> Lease | NoLease:
        if record is None:
            return self._initial_lease(service)
        state = record.state
        if isinstance(state, Changing):
            return NoLease(
                reason=f"{state.holder} replaces {state.previous}, "
                f"version {record.version}",
                changing=True,
                planned=state.planned,
            )
        return Lease(service=service, instance=state.instance, version=record.version)

    def _initial_lease(self, service: str) -> Lease | NoLease:
        """Returns the primary of a service whose primary was never changed."""
        leaders = [
            item.name
            for item in self._registry.of_service(service)
            if item.claims_primary
        ]
        if len(leaders) != 1:
            return NoLease(
                reason=f"{len(leaders)} instances claim to lead", changing=False
            )
        return Lease(service=service, instance=leaders[0], version=0)

    def is_valid(self, lease: Lease) -> bool:
        """Tells whether new work may begin under a lease that was given earlier."""
        return self.lease(lease.service) == lease

    def is_valid_or_draining(self, lease: Lease) -> bool:
        """Tells whether begun work may go on under a lease, and its answers count.

        Nobody else is promoted before this proxy has released the lease, or it has
        expired.
        """
        if self.is_valid(lease):
            return True
        draining = self._draining.get(lease.service)
        if draining is None or draining.lease != lease:
            return False
        return self._timers.elapsed() < draining.expires_at

    def release(self, service: str) -> None:
        """Ends a lease that is closing; its work no longer counts."""
        draining = self._draining.pop(service, None)
        if draining is not None:
            log.info(
                "right released",
                service=service,
                instance=draining.lease.instance,
                version=draining.lease.version,
            )

    def _before_change(self, service: str) -> None:
        """Keeps the lease that a changed row ends, until it is released."""
        lease = self.lease(service)
        if isinstance(lease, Lease):
            self._draining[service] = _DrainingLease(
                lease=lease, expires_at=self._expires_at()
            )
        event = self._changed.pop(service, None)
        if event is not None:
            event.set()

    async def wait_for_change(self, service: str, *, until: float) -> None:
        """Returns when a service's leadership has changed, or at a time.

        Args:
            service: The service.
            until: Monotonic time in seconds.
        """
        event = self._changed.setdefault(service, asyncio.Event())
        try:
            async with self._timers.timeout_at(until):
                await event.wait()
        except TimeoutError:
            # The caller looks again at what is known.
            return
