"""Changes of the primary of a service, carried out by one proxy at a time."""

import asyncio
from collections.abc import Callable

from heatherpier.discovery import InstanceRecord, InstanceRegistry
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
# Time for the successor to receive the last commits of a leaving primary.
CATCH_UP_TIMEOUT_S = 1.0
POLL_PERIOD_S = 0.03
PROMOTION_RETRY_S = 0.1
# A requested promotion takes effect within some hundred ms, up to a second.
PROMOTION_EFFECT_TIMEOUT_S = 2.5

# Whether an instance is not leaving, its position, and its name.
Candidate = tuple[bool, LogPosition, str]


class PrimaryChanger:
    """Carries out changes of primary as their coordinator.

    Args:
        me: Name of this proxy.
        rows: Writes leadership rows.
        view: Members and leaders.
        links: The other proxies.
        releases: Ends the use of old primaries, here and at peers.
        coordinators: Keeps the set of changes that this proxy is carrying out.
        registry: The registered instances.
        control: Control statements to instances.
        promotions: Has the platform promote instances.
        prober: Probes instances by way of the voters.
        synchronous: Returns how many replicas of a service hold a commit when it is
            acknowledged.
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
        registry: InstanceRegistry,
        control: InstanceControl,
        promotions: Promotions,
        prober: IndirectProber,
        synchronous: Callable[[str], int],
        timers: Timers,
    ) -> None:
        self._me = me
        self._rows = rows
        self._view = view
        self._links = links
        self._releases = releases
        self._coordinators = coordinators
        self._registry = registry
        self._control = control
        self._promotions = promotions
        self._prober = prober
        self._synchronous = synchronous
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
        if change.takeover:
            waited_s = self._timers.elapsed() - began
            await self._timers.sleep(max(_takeover_wait_s(change) - waited_s, 0))
        statuses = await self._fetch_statuses(change)
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
        return await self._promote(change, record, min_position=min_position, term=term)

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

    async def _fetch_statuses(
        self, change: PrimaryChange
    ) -> dict[str, ReplicationStatus]:
        """Returns the replication status of each instance that answers, by name.

        The old primary is left out: if it is lost, asking it only costs the timeout.
        """
        records = [
            item
            for item in self._registry.of_service(change.service)
            if item.name != change.previous
        ]
        answers = await asyncio.gather(*(self.fetch_status(item) for item in records))
        return {
            item.name: answer
            for item, answer in zip(records, answers, strict=True)
            if answer is not None
        }

    async def fetch_status(self, record: InstanceRecord) -> ReplicationStatus | None:
        """Returns the replication status of an instance, or None without an answer."""
        try:
            return await self._control.replication_status(
                record, timeout_s=CONTROL_TIMEOUT_S
            )
        except ControlError as exc:
            log.info(
                "replication status unavailable", instance=record.name, reason=str(exc)
            )
            return None

    async def _promote(
        self,
        change: PrimaryChange,
        record: LeadershipRecord,
        *,
        min_position: LogPosition | None,
        term: int,
    ) -> tuple[InstanceRecord, ReplicationStatus]:
        excluded: set[str] = set()
        while True:
            target = await self._choose_successor(
                change, min_position=min_position, excluded=excluded
            )
            if target is None:
                excluded.clear()
                await self._timers.sleep(PROMOTION_RETRY_S)
                continue
            self._require_coordinator(record, change)
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
                excluded.add(target.name)
                continue
            except ControlError as exc:
                # The promotion may still take effect, which the replication status of
                # the instance shows.
                log.info(
                    "promotion request failed, outcome unknown",
                    instance=target.name,
                    reason=str(exc),
                )
            status = await self._wait_for_promotion(change, target, above=term)
            if status is not None:
                return target, status
            excluded.add(target.name)

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

    async def _choose_successor(
        self,
        change: PrimaryChange,
        *,
        min_position: LogPosition | None,
        excluded: set[str],
    ) -> InstanceRecord | None:
        """Returns the instance to promote, or None if no candidate answers.

        If the log of the preferred one does not reach ``min_position``, the choice
        waits until `_may_promote` allows it.

        Args:
            change: The change.
            min_position: Last position of the old primary, or None if it is not known.
            excluded: Names of instances that could not be promoted.
        """
        until = self._timers.now() + CATCH_UP_TIMEOUT_S
        while True:
            statuses = await self._fetch_statuses(change)
            candidates = [
                (not record.instance.leaving, statuses[name].position, name)
                for name in statuses
                if name not in excluded
                if (record := self._registry.get(name)) is not None
            ]
            if not candidates:
                return None
            _, position, name = self._preferred(change, candidates)
            complete = min_position is not None and position >= min_position
            if complete or self._may_promote(
                change, candidates, min_position, until=until
            ):
                log.info(
                    "successor chosen",
                    service=change.service,
                    instance=name,
                    position=str(position),
                    least=str(min_position),
                    candidates=len(candidates),
                )
                return self._registry.get(name)
            await self._timers.sleep(POLL_PERIOD_S)

    def _preferred(
        self, change: PrimaryChange, candidates: list[Candidate]
    ) -> Candidate:
        """Returns the best successor.

        With synchronous replicas it is the one whose log is furthest, as only that log
        surely has all acknowledged commits. Otherwise instances that are not leaving
        come first.
        """
        if self._synchronous(change.service):
            return max(candidates, key=lambda item: (item[1], item[0], item[2]))
        return max(candidates)

    def _may_promote(
        self,
        change: PrimaryChange,
        candidates: list[Candidate],
        min_position: LogPosition | None,
        *,
        until: float,
    ) -> bool:
        """Returns whether to promote without a log that reaches ``min_position``.

        With n synchronous replicas, each acknowledged commit is in the logs of n
        instances besides the old primary. As long as fewer than n of these instances
        are missing, the furthest log among the candidates holds every acknowledged
        commit. Without synchronous replicas, a planned change waits until ``until``
        for the log to catch up.
        """
        synchronous = self._synchronous(change.service)
        if synchronous:
            names = {item.name for item in self._registry.of_service(change.service)}
            missing = len(names - {change.previous}) - len(candidates)
            return missing < synchronous
        return min_position is None or self._timers.now() >= until

    async def _wait_for_promotion(
        self, change: PrimaryChange, target: InstanceRecord, *, above: int
    ) -> ReplicationStatus | None:
        """Returns the status of an instance once it leads a newer term, or None.

        An earlier coordinator of the same change may have had the instance promoted
        before it was asked for its term. So any term above the old primary's will do.
        """
        if change.term != UNKNOWN_TERM:
            above = min(above, change.term)
        until = self._timers.now() + PROMOTION_EFFECT_TIMEOUT_S
        while self._timers.now() < until:
            status = await self.fetch_status(target)
            if status is not None and status.leads and status.term > above:
                return status
            await self._timers.sleep(POLL_PERIOD_S)
        log.info("promotion took no effect in time", instance=target.name)
        return None


def _takeover_wait_s(change: PrimaryChange) -> float:
    """Returns the time until the earlier coordinator requests no promotion any more."""
    if change.predecessor is CoordinatorState.STOPPED:
        return PROMOTION_REQUEST_S
    return COORDINATOR_MAX_STALENESS_S + PROMOTION_REQUEST_S
