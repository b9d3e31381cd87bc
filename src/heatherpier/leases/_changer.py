"""Changes of the primary of a service, carried out by one proxy at a time."""

from dataclasses import dataclass

from heatherpier.discovery import InstanceRecord
from heatherpier.leases._coordinators import ChangeCoordinators, CoordinatorState
from heatherpier.leases._fence import CONTROL_TIMEOUT_S, Fence, PrimaryChange
from heatherpier.leases._indirect_probes import IndirectProber
from heatherpier.leases._interface import (
    ControlError,
    InstanceControl,
    NotRunningError,
    Promotions,
    ReplicationStatus,
)
from heatherpier.leases._leadership_rows import ChangeFailedError, LeadershipRows
from heatherpier.leases._peers import PeerLinks
from heatherpier.leases._records import (
    UNKNOWN_TERM,
    Changing,
    LeadershipRecord,
    Led,
)
from heatherpier.leases._releases import LeaseReleases
from heatherpier.leases._successors import POLL_PERIOD_S, Candidate, Successors
from heatherpier.leases._view import FleetView
from heatherpier.positions import LogPosition
from heatherpier.tables import ChangeConflictError
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# Limit of a change, after which its coordinator abandons it and another proxy may take
# it over. It covers the longest wait for leases to expire, and a promotion.
CHANGE_TIMEOUT_S = 14.0
# A coordinator requests promotions only while its view is younger than this. A proxy
# that takes a change over waits this long after its own row is in the store, and then
# `PROMOTION_REQUEST_S`. By then the earlier coordinator has either seen that row and
# stops, or has a view too old for another request; its last request has ended.
COORDINATOR_MAX_STALENESS_S = 1.5
# Longest time that a request for a promotion takes.
PROMOTION_REQUEST_S = 0.8
PROMOTION_RETRY_S = 0.1
# A requested promotion takes effect within some hundred ms, up to a second.
PROMOTION_EFFECT_TIMEOUT_S = 2.5


class PrimaryChanger:
    """Carries out changes of primary as their coordinator.

    Args:
        me: Name of this proxy.
        rows: Writes leadership rows.
        view: Members and leaders.
        links: The other proxies.
        releases: Ends the use of old primaries, here and at peers.
        coordinators: Keeps the set of changes that this proxy is carrying out.
        successors: Chooses which instance is promoted.
        control: Control statements to instances.
        promotions: Has the platform promote instances.
        prober: Probes instances by way of the voters.
        timers: Timer service.
    """

    def __init__(
        self,
        me: str,
        *,
        rows: LeadershipRows,
        view: FleetView,
        links: PeerLinks,
        releases: LeaseReleases,
        coordinators: ChangeCoordinators,
        successors: Successors,
        control: InstanceControl,
        promotions: Promotions,
        prober: IndirectProber,
        timers: Timers,
    ) -> None:
        self._me = me
        self._rows = rows
        self._view = view
        self._links = links
        self._releases = releases
        self._coordinators = coordinators
        self._successors = successors
        self._control = control
        self._promotions = promotions
        self._prober = prober
        self._timers = timers

    async def change(self, change: PrimaryChange) -> None:
        """Replaces a primary.

        Raises:
            ChangeConflictError: Another proxy wrote the leadership row first.
            ChangeFailedError: The change was not completed, and may be taken over.
        """
        self._coordinators.changing.add(change.service)
        try:
            await self._change(change)
        finally:
            self._coordinators.changing.discard(change.service)

    async def _change(self, change: PrimaryChange) -> None:
        log.info(
            "change of primary begins",
            service=change.service,
            previous=change.previous,
            planned=change.planned,
            reason=change.reason,
            version=change.expected,
        )
        if change.planned and not await self._successors.fetch_statuses(change):
            # The old primary still serves, and a change would stop all writers.
            raise ChangeFailedError("no successor answers")
        state = Changing(
            previous=change.previous,
            holder=self._me,
            planned=change.planned,
            epoch=self._view.copy.epoch,
            term=change.term,
        )
        record = await self._rows.write(change.service, state, expected=change.expected)
        began = self._timers.elapsed()
        try:
            async with self._timers.timeout(CHANGE_TIMEOUT_S):
                target, status = await self._replace(change, record, began=began)
                led = Led(instance=target.name, term=status.term, epoch=state.epoch)
                await self._rows.write(change.service, led, expected=record.version)
        except TimeoutError as exc:
            raise ChangeFailedError(
                f"change of primary not completed within {CHANGE_TIMEOUT_S:.0f} s"
            ) from exc
        log.info(
            "old primary kept" if target.name == change.previous else "primary changed",
            service=change.service,
            previous=change.previous,
            instance=target.name,
            term=status.term,
            position=str(status.position),
            token=record.version,
            took_s=round(self._timers.elapsed() - began, 3),
        )

    async def _replace(
        self, change: PrimaryChange, record: LeadershipRecord, *, began: float
    ) -> tuple[InstanceRecord, ReplicationStatus]:
        effective_at: float | None = None
        if change.takeover:
            waited_s = self._timers.elapsed() - began
            await self._timers.sleep(max(_takeover_wait_s(change) - waited_s, 0))
            effective_at = self._timers.elapsed() + PROMOTION_EFFECT_TIMEOUT_S
        statuses = await self._successors.fetch_statuses(change)
        term = max((item.term for item in statuses.values()), default=0)
        fence = Fence(
            change,
            record,
            view=self._view,
            links=self._links,
            releases=self._releases,
            control=self._control,
            prober=self._prober,
            timers=self._timers,
        )
        revived = await fence.complete(term=term, began=began)
        if revived is not None and change.record is not None:
            return change.record, revived
        min_position: LogPosition | None = None
        if change.planned:
            min_position = await self._fetch_last_position(change)
        progress = _PromotionProgress(
            change=change, record=record, term=term, effective_at=effective_at
        )
        return await self._promote(progress, min_position=min_position)

    async def _fetch_last_position(self, change: PrimaryChange) -> LogPosition | None:
        """Returns the last position of the old primary, or None if it is not known.

        The primary is fenced when this is called, so no proxy commits anything there
        after that position.
        """
        if change.record is None:
            return None
        try:
            status = await self._control.replication_status(
                change.record, timeout_s=CONTROL_TIMEOUT_S
            )
        except ControlError as exc:
            log.info(
                "last position of the old primary unknown",
                service=change.service,
                previous=change.previous,
                reason=str(exc),
            )
            return None
        return status.position

    async def _promote(
        self, progress: "_PromotionProgress", *, min_position: LogPosition | None
    ) -> tuple[InstanceRecord, ReplicationStatus]:
        excluded: set[str] = set()
        while True:
            choice = await self._successors.choose(
                progress.change, min_position=min_position, excluded=excluded
            )
            if choice is None:
                excluded.clear()
                await self._timers.sleep(PROMOTION_RETRY_S)
                continue
            target = choice.record
            if target.name == progress.change.previous:
                status = await self._keep(progress, choice)
            else:
                status = await self._promote_successor(progress, choice)
            if status is not None:
                return target, status
            excluded.add(target.name)

    async def _promote_successor(
        self, progress: "_PromotionProgress", successor: Candidate
    ) -> ReplicationStatus | None:
        """Promotes an instance; returns its status once it leads, or None."""
        earlier_effective_at = progress.effective_at
        if not await self._request_promotion(progress, successor.record):
            return None
        if successor.status.leads and earlier_effective_at is not None:
            # An earlier request had it promoted, so this one changed nothing. A later
            # request of that coordinator, for another instance, may still take effect.
            await self._sleep_until(earlier_effective_at)
        return await self._wait_for_promotion(progress, successor.record)

    async def _request_promotion(
        self, progress: "_PromotionProgress", target: InstanceRecord
    ) -> bool:
        """Requests a promotion; returns whether it may take effect.

        Raises:
            ChangeConflictError: Another proxy has taken the change over.
            ChangeFailedError: The view is too old to show whether one has.
        """
        change, record = progress.change, progress.record
        self._require_coordinator(record, change)
        progress.accepted = False
        try:
            await self._promotions.promote(
                change.service, target.name, holder=self._me, token=record.version
            )
        except NotRunningError as exc:
            log.info(
                "promotion rejected, instance not running",
                instance=target.name,
                reason=str(exc),
            )
            return False
        except ControlError as exc:
            # The promotion may still take effect, which the replication status of
            # the instance shows.
            log.info(
                "promotion request failed, outcome unknown",
                instance=target.name,
                reason=str(exc),
            )
        else:
            progress.accepted = True
        progress.effective_at = self._timers.elapsed() + PROMOTION_EFFECT_TIMEOUT_S
        return True

    async def _keep(
        self, progress: "_PromotionProgress", old: Candidate
    ) -> ReplicationStatus | None:
        """Lets the old primary lead on; returns its status, or None if it does not.

        If no promotion was requested, a leader of the newest term is still the primary.
        Otherwise each promotion that was requested takes effect first. Then the old
        primary itself is requested: the platform changes nothing if it is the present
        primary, and gives it a newer term if another instance is. Its status shows which
        of the two once that request would have taken effect as well.
        """
        if progress.effective_at is not None:
            await self._sleep_until(progress.effective_at)
        elif old.status.leads and old.status.term >= progress.term:
            return old.status
        known_term = max(progress.term, old.status.term)
        if not await self._request_promotion(progress, old.record):
            return None
        if not progress.accepted or progress.effective_at is None:
            return None
        while True:
            status = await self._successors.fetch_status(old.record)
            leads = status is not None and status.leads
            if status is not None and leads and status.term > known_term:
                return status
            if self._timers.elapsed() >= progress.effective_at:
                break
            await self._timers.sleep(PROMOTION_RETRY_S)
        if status is None or not leads or status.term < known_term:
            log.info("old primary does not lead", instance=old.record.name)
            return None
        return status

    async def _sleep_until(self, deadline: float) -> None:
        await self._timers.sleep(max(deadline - self._timers.elapsed(), 0))

    def _require_coordinator(
        self, record: LeadershipRecord, change: PrimaryChange
    ) -> None:
        """Checks that this proxy still coordinates a change.

        Raises:
            ChangeConflictError: Another proxy has taken the change over.
            ChangeFailedError: The view is too old to show whether one has.
        """
        if self._view.copy.age_s() >= COORDINATOR_MAX_STALENESS_S:
            raise ChangeFailedError(
                "view of the fleet too old to confirm the coordinator of the change"
            )
        current = self._view.leadership_version(change.service)
        if current != record.version:
            raise ChangeConflictError(
                f"leadership of {change.service} has changed, version {current}"
            )

    async def _wait_for_promotion(
        self, progress: "_PromotionProgress", target: InstanceRecord
    ) -> ReplicationStatus | None:
        """Returns the status of an instance once it leads a newer term, or None.

        An earlier coordinator of the same change may have had the instance promoted
        before it was asked for its term. So any term above the old primary's will do.
        """
        above = progress.term
        if progress.change.term != UNKNOWN_TERM:
            above = min(above, progress.change.term)
        until = self._timers.now() + PROMOTION_EFFECT_TIMEOUT_S
        while self._timers.now() < until:
            status = await self._successors.fetch_status(target)
            if status is not None and status.leads and status.term > above:
                return status
            await self._timers.sleep(POLL_PERIOD_S)
        log.info("promotion took no effect in time", instance=target.name)
        return None


@dataclass(slots=True, kw_only=True)
class _PromotionProgress:
    """Progress of the promotions of one change.

    Attributes:
        change: The change.
        record: The leadership row that announces the change.
        term: Highest term that an instance has reported.
        effective_at: Time by `Timers.elapsed` from which every promotion that was
            requested has taken effect or never will; None if none was requested.
        accepted: Whether the platform has accepted the last request.
    """

    change: PrimaryChange
    record: LeadershipRecord
    term: int
    effective_at: float | None
    accepted: bool = False


def _takeover_wait_s(change: PrimaryChange) -> float:
    """Returns the time until the earlier coordinator requests no promotion any more."""
    if change.predecessor is CoordinatorState.STOPPED:
        return PROMOTION_REQUEST_S
    return COORDINATOR_MAX_STALENESS_S + PROMOTION_REQUEST_S
