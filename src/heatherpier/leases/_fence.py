"""Makes sure that nobody uses an old primary any more."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from heatherpier.discovery import InstanceRecord
from heatherpier.fleet import Peer
from heatherpier.leases._grants import GRANT_MAX_STALENESS_S, GRANT_S, release_quorum
from heatherpier.leases._interface import ControlError, InstanceControl
from heatherpier.leases._peers import PeerLinks
from heatherpier.leases._primary_leases import LEASE_S
from heatherpier.leases._records import LeadershipRecord
from heatherpier.leases._releases import LeaseReleases, ReleaseResult
from heatherpier.leases._view import FleetView
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# Time for transactions on a primary that is healthy and only leaves. Longer would
# stall all writers for the sake of few.
PLANNED_DRAIN_S = 0.6
# Work on a lost primary has nothing to wait for.
LOST_DRAIN_S = 0.0
# Clocks of two VMs may run apart by this part of a lease.
DRIFT = 0.02
CONTROL_TIMEOUT_S = 0.5
# Whoever did not answer is asked again after this pause: cuts heal.
RETRY_S = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class PrimaryChange:
    """What is to be changed, and why.

    Attributes:
        service: The service.
        previous: Name of the primary that is replaced.
        planned: Whether it is healthy and only leaves.
        reason: Why.
        expected: Version of the leadership row on which this was decided.
        record: The primary that is replaced, if it is known.
        takeover: Whether another holder may still be at work on it.
        confirmed: Whether the voters were asked, and agree.
    """

    service: str
    previous: str
    planned: bool
    reason: str
    expected: int
    record: InstanceRecord | None
    takeover: bool = False
    confirmed: bool = False


class Fence:
    """Ends the use of the old primary in one change.

    Args:
        order: The change.
        record: The leadership row that says so.
        view: Members and leaders.
        links: The other proxies.
        releases: Has primaries released.
        control: Control statements to instances.
        timers: Timer service.
    """

    def __init__(
        self,
        order: PrimaryChange,
        record: LeadershipRecord,
        *,
        view: FleetView,
        links: PeerLinks,
        releases: LeaseReleases,
        control: InstanceControl,
        timers: Timers,
    ) -> None:
        self._order = order
        self._record = record
        self._view = view
        self._links = links
        self._releases = releases
        self._control = control
        self._timers = timers
        self._released: set[str] = set()

    async def complete(self, *, term: int, began: float) -> None:
        """Returns when nobody relies on the old primary any more.

        That is when all members have released it or have ended, when it says that it
        no longer leads, or when all leases to use it have expired.

        Args:
            term: Highest term that is known.
            began: Time by `Timers.elapsed` when the change was in the store.
        """
        conditions: dict[asyncio.Task[None], str] = {}

        def start(condition: Awaitable[None], name: str) -> None:
            conditions[asyncio.ensure_future(condition)] = name

        start(self._wait_for_releases(), "all released")
        start(self._wait_for_expiry(began), "the rights lapsed")
        if not self._order.planned:
            # A primary that is healthy would refuse what still runs on it.
            start(self._wait_for_demotion(term), "demoted")
        try:
            done, _ = await asyncio.wait(
                conditions, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            for task in conditions:
                task.cancel()
        log.info(
            "old primary fenced",
            service=self._order.service,
            previous=self._order.previous,
            how=[conditions[task] for task in done],
            released=sorted(self._released),
            took_s=round(self._timers.elapsed() - began, 3),
        )

    # Releases

    async def _wait_for_releases(self) -> None:
        order = self._order
        drain_s = PLANNED_DRAIN_S if order.planned else LOST_DRAIN_S
        here = self._releases.release_here(order.service, drain_s=drain_s)
        there = [self._release_at(peer, drain_s) for peer in self._links.others()]
        await asyncio.gather(here, *there)
        # A member that was removed lately could not be asked.
        removed_at = self._view.history.last_removal()
        await self._sleep_until(removed_at + LEASE_S * (1 + DRIFT))

    async def _release_at(self, peer: Peer, drain_s: float) -> None:
        service = self._order.service
        while True:
            result = await self._releases.release_at(
                peer, service, self._record, drain_s=drain_s
            )
            if result is ReleaseResult.RELEASED:
                self._released.add(peer.name)
                return
            if result is ReleaseResult.ENDED and self._enough_released():
                return
            await self._timers.sleep(RETRY_S)

    # Demotion

    async def _wait_for_demotion(self, term: int) -> None:
        await self._repeat(lambda: self._demote(term))

    async def _demote(self, term: int) -> bool:
        record = self._order.record
        if record is None:
            return False
        try:
            status = await self._control.demote(
                record, term=term + 1, timeout_s=CONTROL_TIMEOUT_S
            )
        except ControlError as exc:
            log.info("old primary not demoted", instance=record.name, reason=str(exc))
            return False
        return not status.leads

    # Lapse

    async def _wait_for_expiry(self, began: float) -> None:
        """Returns when all leases to use the old primary have surely expired.

        Leases that rest on the store expire after a lease. Leases that rest on peers
        expire with it if enough peers have released, else when no peer may support
        them any more.
        """
        await self._sleep_until(began + LEASE_S * (1 + DRIFT))
        until = began + (GRANT_MAX_STALENESS_S + GRANT_S) * (1 + DRIFT)
        while self._timers.elapsed() < until and not self._enough_released():
            await self._timers.sleep(RETRY_S)

    def _enough_released(self) -> bool:
        """Tells whether no other proxy can have support any more.

        Those that support a lease may know an earlier voter set.
        """
        known = self._view.history.voter_sets_since(
            self._timers.elapsed() - GRANT_MAX_STALENESS_S - GRANT_S
        )
        if known is None:
            return False
        released = self._released | {self._links.me}
        return all(
            len(released & names) >= release_quorum(len(names)) for names in known
        )

    # Time

    async def _repeat(self, work: Callable[[], Awaitable[bool]]) -> None:
        while not await work():
            await self._timers.sleep(RETRY_S)

    async def _sleep_until(self, moment: float) -> None:
        await self._timers.sleep(max(moment - self._timers.elapsed(), 0))
