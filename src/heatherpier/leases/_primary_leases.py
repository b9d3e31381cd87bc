"""Leases of this proxy on primaries: time-limited permissions to use them."""

import asyncio
from dataclasses import dataclass

from heatherpier.discovery import InstanceRegistry
from heatherpier.leases._grants import GRANT_MAX_STALENESS_S, GRANT_S, Grants
from heatherpier.leases._records import Changing, Led
from heatherpier.leases._view import FleetView
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# Validity of a lease, counted from the time at which the view was complete. A promotion
# waits until all leases on the old primary have expired or are released. A longer lease
# bridges longer outages of the store; a shorter one speeds up a change of primary while
# a proxy is unreachable, which has to end within 6 s.
LEASE_S = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """Permission to use one instance as the primary of its service.

    It was valid when it was obtained and may have ended since. `PrimaryLeases.is_valid`
    and `PrimaryLeases.is_valid_or_draining` return whether it still holds.

    Attributes:
        service: Name of the service.
        instance: Name of the primary.
        version: Version of the leadership row; 0 while there is none.
    """

    service: str
    instance: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class NoLease:
    """The reason why this proxy may use no instance as the primary at present.

    Attributes:
        reason: Explanation for log lines and error messages.
        changing: Whether a change of primary is under way.
        planned: Whether that change is planned. A planned change takes well under a
            second.
    """

    reason: str
    changing: bool
    planned: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class _BoundedLease:
    """A lease that is not renewed any more.

    Attributes:
        lease: The lease.
        expires_at: Time by `Timers.elapsed` at which the lease ends if it is not
            released before.
    """

    lease: Lease
    expires_at: float


class PrimaryLeases:
    """Determines which instance this proxy may use as the primary of a service.

    A lease is valid while the view is younger than `LEASE_S`, or while a quorum of
    voters grants it. When a change of primary becomes known, the lease admits no new
    work, but in-flight work may finish until the lease is released or expires.

    After a restore of the store, a lease from before it remains usable until it
    expires, since each change of primary of the epoch before had to wait for that too.
    It ends earlier when a row of the new epoch says who leads.

    Args:
        me: Name of this proxy.
        view: Members and leaders.
        grants: Grants of peers, which replace a fresh view.
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
        self._draining: dict[str, _BoundedLease] = {}
        self._before_restore: dict[str, _BoundedLease] = {}
        view.subscribe(self._before_change)
        view.copy.subscribe_to_epochs(self._keep_leases)

    def note_registered(self, version: int) -> None:
        """Records the version of this proxy's own member row.

        Without that row in the view there is no lease. A change of primary waits for
        the members that its coordinator knows, so a view from before the registration
        may lack a change that did not wait for this proxy. If the row was removed, a
        change waits for this proxy only until a lease on a view from before the
        removal has expired.
        """
        self._registered = version

    def lease(self, service: str) -> Lease | NoLease:
        """Returns the lease on the primary of a service, or why there is none."""
        if self._view.needs_confirmation(service):
            return self._lease_before_restore(service)
        return self._present_lease(service)

    def _lease_before_restore(self, service: str) -> Lease | NoLease:
        kept = self._before_restore.get(service)
        if kept is not None and self._timers.elapsed() < kept.expires_at:
            return kept.lease
        return NoLease(
            reason=f"no voter has confirmed the primary, epoch {self._view.copy.epoch}",
            changing=True,
        )

    def _present_lease(self, service: str) -> Lease | NoLease:
        member = self._view.members.get(self._me)
        if member is None or member.version != self._registered:
            return NoLease(reason="this proxy is not registered", changing=False)
        if self._timers.elapsed() >= self._expires_at():
            age_s = self._view.copy.age_s()
            return NoLease(
                reason=f"the view of the fleet is {age_s:.1f} s old", changing=False
            )
        record = self._view.leaders.get(service)
        if record is None:
            return self._initial_lease(service)
        match record.state:
            case Led(instance=instance):
                return Lease(service=service, instance=instance, version=record.version)
            case Changing() as state:
                return NoLease(
                    reason=f"{state.holder} replaces {state.previous}, "
                    f"version {record.version}",
                    changing=True,
                    planned=state.planned,
                )
            case state:
                raise AssertionError(f"{state} needs a confirmation")

    def _expires_at(self) -> float:
        """Returns when all leases expire, by `Timers.elapsed`, unless they are renewed.

        A change of primary does not wait for a process that has ended. So a later
        incarnation of it must not rely on a view that was complete before its own
        start. With such a view, only grants by peers keep a lease valid.
        """
        as_of = self._timers.elapsed() - self._view.copy.age_s()
        granted = self._grants.granted_until()
        if as_of < self._began:
            return granted
        return max(as_of + LEASE_S, granted)

    def _initial_lease(self, service: str) -> Lease | NoLease:
        """Returns the lease for a service without a leadership row.

        The primary of such a service was never changed, so it is the one instance that
        claims to be the primary.
        """
        primaries = self._registry.claiming_primary(service)
        if len(primaries) != 1:
            return NoLease(
                reason=f"{len(primaries)} instances claim to be the primary",
                changing=False,
            )
        return Lease(service=service, instance=primaries[0].name, version=0)

    def is_valid(self, lease: Lease) -> bool:
        """Returns whether new work may begin under a lease obtained earlier."""
        return self.lease(lease.service) == lease

    def is_valid_or_draining(self, lease: Lease) -> bool:
        """Returns whether in-flight work under a lease may go on and its answers count.

        No other instance is promoted before this proxy has released the lease or the
        lease has expired.
        """
        if self.is_valid(lease):
            return True
        draining = self._draining.get(lease.service)
        if draining is None or draining.lease != lease:
            return False
        return self._timers.elapsed() < draining.expires_at

    def release(self, service: str) -> None:
        """Ends the draining lease on the old primary of a service, if there is one.

        From then on no answer to work under that lease counts.
        """
        self._before_restore.pop(service, None)
        draining = self._draining.pop(service, None)
        if draining is not None:
            log.info(
                "lease on the old primary released",
                service=service,
                instance=draining.lease.instance,
                version=draining.lease.version,
            )

    def _before_change(self, service: str) -> None:
        """Moves the lease that a new leadership row ends to the draining leases.

        The view calls this before it applies the row, so the lease is still known.
        """
        bounded = self._bounded_lease(service)
        if bounded is not None:
            self._draining[service] = bounded
        event = self._changed.pop(service, None)
        if event is not None:
            event.set()

    def _bounded_lease(self, service: str) -> _BoundedLease | None:
        """Returns the present lease with its expiry, or None if there is none."""
        lease = self.lease(service)
        kept = self._before_restore.get(service)
        if kept is not None and (isinstance(lease, NoLease) or lease == kept.lease):
            # While the rows of a new epoch are applied, this proxy's own row may not
            # have been confirmed yet, so there seems to be no lease.
            return kept
        if isinstance(lease, NoLease):
            return None
        return _BoundedLease(lease=lease, expires_at=self._expires_at())

    def _keep_leases(self) -> None:
        """Keeps the present leases when a restore of the store becomes known.

        It is called before the view shows rows of the new epoch. A lease that an
        earlier restore has left keeps its expiry.
        """
        as_of = self._timers.elapsed() - self._view.copy.age_s()
        # A lone voter grants its own lease without an end, but a change of the earlier
        # epoch waits for no grant beyond this time.
        grants_end = as_of + GRANT_MAX_STALENESS_S + GRANT_S
        services = {item.service for item in self._registry.all()}
        for service in services | self._view.leaders.keys():
            if self._view.needs_confirmation(service):
                continue
            lease = self.lease(service)
            if isinstance(lease, Lease):
                self._before_restore[service] = _BoundedLease(
                    lease=lease, expires_at=min(self._expires_at(), grants_end)
                )
            else:
                self._before_restore.pop(service, None)

    async def wait_for_change(self, service: str, *, until: float) -> None:
        """Waits until the leadership of a service changes, but not beyond ``until``.

        Args:
            service: Name of the service.
            until: Deadline by the clock of `Timers.now`, in seconds.
        """
        event = self._changed.setdefault(service, asyncio.Event())
        try:
            async with self._timers.timeout_at(until):
                await event.wait()
        except TimeoutError:
            # The caller reads the lease again in either case.
            return
