"""Fencing of an old primary: waits until no proxy may use it any more."""

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass

from heatherpier.discovery import InstanceRecord
from heatherpier.fleet import Peer
from heatherpier.leases._coordinators import CoordinatorState
from heatherpier.leases._grants import (
    GRANT_MAX_STALENESS_S,
    GRANT_S,
    GRANTS_END_S,
    MAX_CLOCK_DRIFT,
    release_quorum,
)
from heatherpier.leases._indirect_probes import REACH_TIMEOUT_S, IndirectProber
from heatherpier.leases._interface import (
    ControlError,
    InstanceControl,
    ReplicationStatus,
)
from heatherpier.leases._peers import PeerLinks
from heatherpier.leases._primary_leases import LEASE_S
from heatherpier.leases._records import UNKNOWN_TERM, LeadershipRecord
from heatherpier.leases._releases import LeaseReleases
from heatherpier.leases._view import FleetView
from heatherpier.tables import ChangeConflictError
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# Time for open transactions to end on a healthy primary that leaves. All writers wait
# meanwhile, so a longer drain would delay them for the sake of few transactions.
PLANNED_DRAIN_S = 0.6
# A lost primary does not answer, so work on it is aborted at once.
LOST_DRAIN_S = 0.0
CONTROL_TIMEOUT_S = 0.5
# Pause before a peer or an instance is asked again: a network partition may heal
# before the leases expire.
RETRY_PAUSE_S = 0.2
COVERAGE_POLL_S = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class PrimaryChange:
    """A decision to replace the primary of a service.

    Attributes:
        service: Name of the service.
        previous: Name of the primary that is replaced.
        planned: Whether the old primary is healthy and only leaves.
        reason: Cause of the change, for the log.
        expected: Version of the leadership row on which the decision rests; 0 if there
            was no row.
        record: Instance record of the old primary; None if it was never seen.
        takeover: Whether the change takes over an earlier one. A promotion that its
            coordinator requested may still take effect.
        predecessor: What is known of that coordinator.
        confirmed: Whether the voters were asked and confirm that the primary is lost.
        term: Term of the old primary, 0 if the service began with it, or
            `UNKNOWN_TERM`.
    """

    service: str
    previous: str
    planned: bool
    reason: str
    expected: int
    record: InstanceRecord | None
    takeover: bool = False
    predecessor: CoordinatorState = CoordinatorState.POSSIBLY_ACTIVE
    confirmed: bool = False
    term: int = UNKNOWN_TERM


class Fence:
    """Waits in one change of primary until no proxy may use the old primary.

    Args:
        change: The change.
        record: The leadership row that announces the change. It is sent to the peers
            that have to release.
        view: Members and leaders.
        links: The other proxies.
        releases: Releases leases here and at peers.
        control: Control statements to instances.
        prober: Probes instances by way of the voters.
        timers: Timer service.
    """

    def __init__(
        self,
        change: PrimaryChange,
        record: LeadershipRecord,
        *,
        view: FleetView,
        links: PeerLinks,
        releases: LeaseReleases,
        control: InstanceControl,
        prober: IndirectProber,
        timers: Timers,
    ) -> None:
        self._change = change
        self._record = record
        self._view = view
        self._links = links
        self._releases = releases
        self._control = control
        self._prober = prober
        # Status of the old primary if it leads and has answered this proxy again.
        self._answered: ReplicationStatus | None = None
        self._is_kept = False
        self._timers = timers
        self._released: set[str] = set()
        # The same as peers, whose address tells a member from a later one of its name.
        self._released_peers: set[Peer] = set()

    async def complete(self, *, term: int, began: float) -> ReplicationStatus | None:
        """Returns once no proxy uses the old primary any more.

        Each of two conditions is enough:

        - Every member has released the old primary.
        - All leases on the old primary have expired.

        Unless the change is planned or the old primary serves again, it is demoted
        meanwhile, so that it rejects writes. That does not end the wait: a proxy that is
        cut off still reads from it under its lease, and a replica answers reads.

        Args:
            term: Highest term that an instance has reported.
            began: Time by `Timers.elapsed` at which the store is known to hold the
                leadership row of the change.

        Returns:
            Status of the old primary if it serves again and is to be kept, or None.

        Raises:
            ChangeConflictError: The view shows another leadership row.
        """
        conditions: dict[asyncio.Task[None], str] = {}

        def start(condition: Awaitable[None], name: str) -> None:
            conditions[asyncio.ensure_future(condition)] = name

        start(self._wait_for_releases(), "all released")
        start(self._wait_for_expiry(began), "leases expired")
        start(self._watch_for_other_row(), "superseded")
        demotion = asyncio.ensure_future(self._demote_unless_planned(term))
        try:
            done, _ = await asyncio.wait(
                conditions, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
            if self._answered is not None:
                # Only the voters' answers are missing, which come sooner than a
                # promotion takes effect.
                await asyncio.wait({demotion}, timeout=REACH_TIMEOUT_S)
        finally:
            for task in (*conditions, demotion):
                task.cancel()
        log.info(
            "old primary fenced",
            service=self._change.service,
            previous=self._change.previous,
            how=[conditions[task] for task in done],
            released=sorted(self._released),
            kept=self._is_kept,
            took_s=round(self._timers.elapsed() - began, 3),
        )
        return self._answered if self._is_kept else None

    async def _wait_for_releases(self) -> None:
        """Returns when all members have released the old primary.

        The next incarnation of a process that has ended answers for it: it listens at
        the same address, and uses nothing that the earlier one did.
        """
        change = self._change
        drain_s = PLANNED_DRAIN_S if change.planned else LOST_DRAIN_S
        local = self._releases.release_here(change.service, drain_s=drain_s)
        known = self._links.others()
        remote = [self._release_at(peer, drain_s) for peer in known]
        await asyncio.gather(local, *remote, self._release_at_others(known, drain_s))
        # A member that was removed recently is not among the peers asked above. The
        # view on which its lease rests is older than its removal, so the lease expires
        # within `LEASE_S` of the removal. Grants to it by the peers that released had
        # expired before, and removed members are too few for a grant quorum, see
        # `MemberRemoval`. A member that was removed by mistake and has registered again
        # was asked.
        removed_at = self._view.history.last_removal(ignored=self._released_members())
        await self._sleep_until(removed_at + LEASE_S * (1 + MAX_CLOCK_DRIFT))
        await self._sleep_until(self._lost_members_end())

    def _released_members(self) -> set[Peer]:
        """Returns the members that use the old primary no more, with this proxy."""
        here = self._view.members.get(self._links.me)
        return self._released_peers | (set() if here is None else {here.peer})

    def _lost_members_end(self) -> float:
        """Returns when leases of members whose rows a restore discarded have expired.

        Such members are unknown here and may grant leases to each other, on views from
        before the restore. It is in the past if the store was never restored.
        """
        return self._view.copy.epoch_since + GRANTS_END_S

    async def _watch_for_other_row(self) -> None:
        """Ends the fence with an error once the view shows another leadership row."""
        service = self._change.service
        while self._view.leadership_version(service) == self._record.version:
            await self._timers.sleep(RETRY_PAUSE_S)
        raise ChangeConflictError(
            f"leadership of {service} has changed, "
            f"version {self._view.leadership_version(service)}"
        )

    async def _release_at_others(self, known: list[Peer], drain_s: float) -> None:
        """Has members release that registered before the change, but were not known.

        Their views may lack the change, since they were complete before it.
        """
        while not self._covers_change():
            await self._timers.sleep(COVERAGE_POLL_S)
        others = [peer for peer in self._links.others() if peer not in known]
        await asyncio.gather(*(self._release_at(peer, drain_s) for peer in others))

    def _covers_change(self) -> bool:
        """Returns whether the view has all rows from before that of the change."""
        return self._view.copy.version >= self._record.version

    async def _release_at(self, peer: Peer, drain_s: float) -> None:
        service = self._change.service
        while True:
            if await self._releases.release_at(
                peer, service, self._record, drain_s=drain_s
            ):
                self._released.add(peer.name)
                self._released_peers.add(peer)
                return
            await self._timers.sleep(RETRY_PAUSE_S)

    async def _demote_unless_planned(self, term: int) -> None:
        """Makes a lost primary a replica, which rejects the writes of every proxy.

        One that serves again is left as it is.
        """
        while not self._change.planned:
            self._is_kept = await self._serves_again(term)
            if self._is_kept or await self._demote(term):
                return
            await self._timers.sleep(RETRY_PAUSE_S)

    async def _serves_again(self, term: int) -> bool:
        """Returns whether the lost primary serves again, so that it can be kept.

        It has to lead and to answer this proxy and half of the voters. Keeping it takes
        less time than a promotion, and loses no commits. The coordinator of a takeover
        does not keep it: the promotion of another instance may have been requested.
        """
        change = self._change
        if change.record is None or change.takeover or not change.confirmed:
            return False
        try:
            status = await self._control.replication_status(
                change.record, timeout_s=CONTROL_TIMEOUT_S
            )
        except ControlError:
            return False
        if not status.leads or status.term < term:
            return False
        self._answered = status
        result = await self._prober.probe_indirectly(change.previous)
        return len(result.reaching) + 1 >= release_quorum(result.voters)

    async def _demote(self, term: int) -> bool:
        record = self._change.record
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

    async def _wait_for_expiry(self, began: float) -> None:
        """Returns when all leases on the old primary have expired.

        The store holds the change since ``began``, so a copy of the fleet's table
        without the change was complete before ``began``. Two kinds of leases may rest
        on such a copy:

        - Leases by the age of the copy expire `LEASE_S` after ``began``.
        - Leases by grants have ended once a release quorum of voters has released:
          each of these did so only after its own grants had expired, and the other
          voters are too few for a grant quorum. Without a release quorum, voters may
          give grants until their copies are `GRANT_MAX_STALENESS_S` old, and the last
          grant is valid for `GRANT_S`.

        Both waits are extended by the drift between the clocks of two VMs.
        """
        await self._sleep_until(began + LEASE_S * (1 + MAX_CLOCK_DRIFT))
        grants_end = began + GRANTS_END_S
        while self._timers.elapsed() < grants_end and not self._has_release_quorum():
            await self._timers.sleep(RETRY_PAUSE_S)
        await self._sleep_until(self._lost_members_end())

    def _has_release_quorum(self) -> bool:
        """Returns whether too few voters are left to grant any proxy a lease.

        Voter sets that this proxy has not seen yet may have been current before the
        change. So the view has to have all rows from before it.

        A proxy that relies on grants counts them in the voter set that it knows, which
        may be an earlier one. So a quorum must have released in each voter set that was
        current since the oldest copy on which a grant may still rest.
        """
        voter_sets = self._view.history.voter_sets_since(
            self._timers.elapsed() - GRANT_MAX_STALENESS_S - GRANT_S
        )
        if voter_sets is None or not self._covers_change():
            return False
        released = self._released | {self._links.me}
        return all(
            len(released & names) >= release_quorum(len(names)) for names in voter_sets
        )

    async def _sleep_until(self, deadline: float) -> None:
        await self._timers.sleep(max(deadline - self._timers.elapsed(), 0))
