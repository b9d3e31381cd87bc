"""The right of this proxy to use an instance as the primary of its service."""

import asyncio
from dataclasses import dataclass

from heatherpier.discovery import InstanceRegistry
from heatherpier.leases._grants import Grants
from heatherpier.leases._records import Changing, LeadershipRecord
from heatherpier.leases._view import FleetView
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# A view that is younger than this gives the right to use the primary it names. A
# promotion waits until all such rights have lapsed. Longer bridges an outage of the
# store better, shorter lets a change of primary with an unreachable proxy go faster;
# the change has to be over within 6 s.
LEASE_S = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Right:
    """The right to use one instance as the primary, at the time it was asked for.

    Attributes:
        service: The service.
        instance: Name of the primary.
        version: Version of the leadership row, or 0 while there is none.
    """

    service: str
    instance: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class NoRight:
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
class _Closing:
    """A right that a change of primary is about to end.

    Attributes:
        right: The right.
        lapses_at: Time by `Timers.elapsed` when it ends in any case.
    """

    right: Right
    lapses_at: float


class PrimaryRights:
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
        self._closing: dict[str, _Closing] = {}
        view.subscribe(self._before_change)

    def note_registered(self, version: int) -> None:
        """Takes in the version of this proxy's own member row.

        Whoever changes a primary waits for all members it knows. A view from
        before the registration may miss a change that did not wait for this proxy.
        Nor does a change wait for long for a proxy whose row was removed.
        """
        self._registered = version

    def right(self, service: str) -> Right | NoRight:
        """Returns the right to use a primary now, or why there is none."""
        member = self._view.members.get(self._me)
        if member is None or member.version != self._registered:
            return NoRight(reason="this proxy is not registered", changing=False)
        if self._timers.elapsed() >= self._lapses_at():
            age_s = self._view.copy.age_s()
            return NoRight(
                reason=f"the leadership is {age_s:.1f} s old", changing=False
            )
        return self._judge(service, self._view.leaders.get(service))

    def _lapses_at(self) -> float:
        """Returns when all rights lapse, by `Timers.elapsed`, unless renewed.

        A change of primary does not wait for a process that has ended, so its next
        life relies on no view from before its start, unless peers support it.
        """
        as_of = self._timers.elapsed() - self._view.copy.age_s()
        supported = self._grants.supported_until()
        if as_of < self._began:
            return supported
        return max(as_of + LEASE_S, supported)

    def _judge(self, service: str, record: LeadershipRecord | None) -> Right | NoRight:
        if record is None:
            return self._first_right(service)
        state = record.state
        if isinstance(state, Changing):
            return NoRight(
                reason=f"{state.holder} replaces {state.previous}, "
                f"version {record.version}",
                changing=True,
                planned=state.planned,
            )
        return Right(service=service, instance=state.instance, version=record.version)

    def _first_right(self, service: str) -> Right | NoRight:
        """Returns the primary of a service whose primary was never changed."""
        leaders = [
            item.name
            for item in self._registry.of_service(service)
            if item.claims_primary
        ]
        if len(leaders) != 1:
            return NoRight(
                reason=f"{len(leaders)} instances claim to lead", changing=False
            )
        return Right(service=service, instance=leaders[0], version=0)

    def holds(self, right: Right) -> bool:
        """Tells whether new work may begin under a right that was given earlier."""
        return self.right(right.service) == right

    def continues(self, right: Right) -> bool:
        """Tells whether begun work may go on under a right, and its answers count.

        Nobody else is promoted before this proxy has released the right, or it has
        lapsed.
        """
        if self.holds(right):
            return True
        closing = self._closing.get(right.service)
        if closing is None or closing.right != right:
            return False
        return self._timers.elapsed() < closing.lapses_at

    def release(self, service: str) -> None:
        """Ends a right that is closing; its work no longer counts."""
        closing = self._closing.pop(service, None)
        if closing is not None:
            log.info(
                "right released",
                service=service,
                instance=closing.right.instance,
                version=closing.right.version,
            )

    def _before_change(self, service: str) -> None:
        """Keeps the right that a changed row ends, until it is released."""
        right = self.right(service)
        if isinstance(right, Right):
            self._closing[service] = _Closing(right=right, lapses_at=self._lapses_at())
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
