"""Replaces the primary of a service."""

import asyncio
from collections.abc import Callable

from heatherpier.discovery import InstanceRecord, InstanceRegistry
from heatherpier.groups import LogPosition
from heatherpier.leases._coordinators import ChangeCoordinators
from heatherpier.leases._fence import CONTROL_TIMEOUT_S, Fence, PrimaryChange
from heatherpier.leases._interface import (
    ControlError,
    InstanceControl,
    NotRunningError,
    Promotions,
    ReplicationStatus,
)
from heatherpier.leases._peers import PeerLinks
from heatherpier.leases._records import (
    Changing,
    Leadership,
    LeadershipRecord,
    Led,
    encode_leadership,
)
from heatherpier.leases._releases import LeaseReleases
from heatherpier.leases._view import FLEET_TABLE, LEADER_PREFIX, FleetView
from heatherpier.tables import (
    ChangeConflictError,
    Row,
    RowStore,
    StoreError,
    StoreUnavailableError,
)
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# The holder of a change gives up after this long, and others take it over later. It
# covers the longest wait for leases that may still be in use, and a promotion.
CHANGE_TIMEOUT_S = 14.0
# A holder orders promotions only while its view is younger than this. A member that
# takes a change over waits until such orders have ended.
COORDINATOR_MAX_STALENESS_S = 1.5
ORDER_S = 0.8
# Time for the successor to receive the last commits of a primary that leaves.
CATCH_UP_S = 1.0
POLL_S = 0.03
PROMOTION_RETRY_S = 0.1
# An ordered promotion takes effect within some hundred ms, up to a second.
EFFECT_TIMEOUT_S = 2.5
READ_BACK_S = 1.5


class ChangeFailedError(Exception):
    """The change could not be carried through; the next holder takes it over."""


# Whether an instance stays, its position, and its name.
Candidate = tuple[bool, LogPosition, str]


class PrimaryChanger:
    """Carries changes of primary out, as their holder.

    Args:
        me: Name of this proxy.
        store: The store.
        view: Members and leaders.
        links: The other proxies.
        releases: Has primaries released.
        coordinators: Learns which changes this proxy is at work on.
        registry: The registered instances.
        control: Control statements to instances.
        promotions: Orders promotions.
        synchronous: Tells how many replicas of a service hold a commit when it is
            acknowledged.
        timers: Timer service.
    """

    def __init__(
        self,
        me: str,
        *,
        store: RowStore,
        view: FleetView,
        links: PeerLinks,
        releases: LeaseReleases,
        coordinators: ChangeCoordinators,
        registry: InstanceRegistry,
        control: InstanceControl,
        promotions: Promotions,
        synchronous: Callable[[str], int],
        timers: Timers,
    ) -> None:
        self._me = me
        self._store = store
        self._view = view
        self._links = links
        self._releases = releases
        self._coordinators = coordinators
        self._registry = registry
        self._control = control
        self._promotions = promotions
        self._synchronous = synchronous
        self._timers = timers

    async def change(self, order: PrimaryChange) -> None:
        """Replaces a primary.

        Raises:
            ChangeConflictError: Another proxy was faster.
            ChangeFailedError: It could not be carried through.
        """
        self._coordinators.changing.add(order.service)
        try:
            await self._change(order)
        finally:
            self._coordinators.changing.discard(order.service)

    async def _change(self, order: PrimaryChange) -> None:
        log.info(
            "change of primary begins",
            service=order.service,
            previous=order.previous,
            planned=order.planned,
            reason=order.reason,
            version=order.expected,
        )
        state = Changing(
            previous=order.previous, holder=self._me, planned=order.planned
        )
        record = await self._write(order.service, state, expected=order.expected)
        began = self._timers.elapsed()
        try:
            async with self._timers.timeout(CHANGE_TIMEOUT_S):
                target, status = await self._replace(order, record, began=began)
                led = Led(instance=target.name, term=status.term)
                await self._write(order.service, led, expected=record.version)
        except TimeoutError as exc:
            raise ChangeFailedError(
                f"not done within {CHANGE_TIMEOUT_S:.0f} s"
            ) from exc
        log.info(
            "primary changed",
            service=order.service,
            previous=order.previous,
            instance=target.name,
            term=status.term,
            position=str(status.position),
            token=record.version,
            took_s=round(self._timers.elapsed() - began, 3),
        )

    async def _replace(
        self, order: PrimaryChange, record: LeadershipRecord, *, began: float
    ) -> tuple[InstanceRecord, ReplicationStatus]:
        if order.takeover:
            waited_s = self._timers.elapsed() - began
            await self._timers.sleep(
                max(COORDINATOR_MAX_STALENESS_S + ORDER_S - waited_s, 0)
            )
        known = await self._statuses(order)
        term = max((item.term for item in known.values()), default=0)
        fence = Fence(
            order,
            record,
            view=self._view,
            links=self._links,
            releases=self._releases,
            control=self._control,
            timers=self._timers,
        )
        await fence.complete(term=term, began=began)
        least: LogPosition | None = None
        if order.planned:
            least = await self._last_position(order)
        return await self._promote(order, record, least=least, term=term)

    # The old primary

    async def _last_position(self, order: PrimaryChange) -> LogPosition | None:
        """Returns where the log of a primary ended that was released by all."""
        if order.record is None:
            return None
        try:
            status = await self._control.replication_status(
                order.record, timeout_s=CONTROL_TIMEOUT_S
            )
        except ControlError as exc:
            log.info(
                "last position unknown",
                service=order.service,
                previous=order.previous,
                reason=str(exc),
            )
            return None
        return status.position

    # The new primary

    async def _statuses(self, order: PrimaryChange) -> dict[str, ReplicationStatus]:
        """Returns the replication statuses of all instances that answer, but of the old primary.

        A lost primary would only be waited for.
        """
        records = [
            item
            for item in self._registry.of_service(order.service)
            if item.name != order.previous
        ]
        answers = await asyncio.gather(*(self._status(item) for item in records))
        return {
            item.name: answer
            for item, answer in zip(records, answers, strict=True)
            if answer is not None
        }

    async def _status(self, record: InstanceRecord) -> ReplicationStatus | None:
        try:
            return await self._control.replication_status(
                record, timeout_s=CONTROL_TIMEOUT_S
            )
        except ControlError as exc:
            log.info("no standing", instance=record.name, reason=str(exc))
            return None

    async def _promote(
        self,
        order: PrimaryChange,
        record: LeadershipRecord,
        *,
        least: LogPosition | None,
        term: int,
    ) -> tuple[InstanceRecord, ReplicationStatus]:
        refused: set[str] = set()
        while True:
            target = await self._choose(order, least=least, refused=refused)
            if target is None:
                refused.clear()
                await self._timers.sleep(PROMOTION_RETRY_S)
                continue
            self._require_coordinator(record, order)
            try:
                await self._promotions.promote(
                    order.service, target.name, holder=self._me, token=record.version
                )
            except NotRunningError as exc:
                log.info("not promoted", instance=target.name, reason=str(exc))
                refused.add(target.name)
                continue
            except ControlError as exc:
                # The order may have been taken; the instance's replication status tells.
                log.info("promotion unanswered", instance=target.name, reason=str(exc))
            status = await self._await_effect(target, above=term)
            if status is not None:
                return target, status
            refused.add(target.name)

    def _require_coordinator(
        self, record: LeadershipRecord, order: PrimaryChange
    ) -> None:
        """Makes sure that nobody has taken this change over.

        Raises:
            ChangeConflictError: Another proxy has.
            ChangeFailedError: It can't be known, as the view is too old.
        """
        if self._view.copy.age_s() >= COORDINATOR_MAX_STALENESS_S:
            raise ChangeFailedError("the store does not confirm the change")
        known = self._view.leaders.get(order.service)
        if known is not None and known.version > record.version:
            raise ChangeConflictError(f"version {known.version}: {known.state}")

    async def _choose(
        self, order: PrimaryChange, *, least: LogPosition | None, refused: set[str]
    ) -> InstanceRecord | None:
        """Returns the instance whose log is furthest.

        For a planned change it waits until that log holds all.
        """
        until = self._timers.now() + CATCH_UP_S
        while True:
            statuses = await self._statuses(order)
            candidates = [
                (not record.instance.leaving, statuses[name].position, name)
                for name in statuses
                if name not in refused
                if (record := self._registry.get(name)) is not None
            ]
            if not candidates:
                return None
            _, position, name = max(candidates)
            complete = least is not None and position >= least
            if complete or self._may_promote(order, candidates, least, until=until):
                log.info(
                    "successor chosen",
                    service=order.service,
                    instance=name,
                    position=str(position),
                    least=str(least),
                    candidates=len(candidates),
                )
                return self._registry.get(name)
            await self._timers.sleep(POLL_S)

    def _may_promote(
        self,
        order: PrimaryChange,
        candidates: list[Candidate],
        least: LogPosition | None,
        *,
        until: float,
    ) -> bool:
        """Tells whether the furthest candidate may lead without a known end of the log.

        With synchronous replicas each acknowledged commit is in that many of them, so
        the furthest of the others holds it if only fewer are missing.
        """
        synchronous = self._synchronous(order.service)
        if synchronous:
            names = {item.name for item in self._registry.of_service(order.service)}
            missing = len(names - {order.previous}) - len(candidates)
            return missing < synchronous
        return least is None or self._timers.now() >= until

    async def _await_effect(
        self, target: InstanceRecord, *, above: int
    ) -> ReplicationStatus | None:
        """Returns the standing of the new primary once it leads a term above."""
        until = self._timers.now() + EFFECT_TIMEOUT_S
        while self._timers.now() < until:
            status = await self._status(target)
            if status is not None and status.leads and status.term > above:
                return status
            await self._timers.sleep(POLL_S)
        log.info("promotion without effect", instance=target.name)
        return None

    # The leadership row

    async def _write(
        self, service: str, state: Leadership, *, expected: int
    ) -> LeadershipRecord:
        """Writes the leadership of a service.

        Raises:
            ChangeConflictError: It has another version.
            ChangeFailedError: The outcome is unknown, and could not be read back.
        """
        key = LEADER_PREFIX + service
        body = encode_leadership(state)
        try:
            version = await self._store.put(FLEET_TABLE, key, body, expected=expected)
        except StoreUnavailableError as exc:
            log.info("write unanswered", service=service, reason=str(exc))
            return await self._read_back(service, state, expected=expected)
        except ChangeConflictError:
            raise
        except StoreError as exc:
            raise ChangeFailedError(str(exc)) from exc
        self._view.copy.take_row(Row(key=key, version=version, body=body))
        return LeadershipRecord(state=state, version=version)

    async def _read_back(
        self, service: str, state: Leadership, *, expected: int
    ) -> LeadershipRecord:
        """Waits until the view shows whether an unanswered write took effect."""
        until = self._timers.now() + READ_BACK_S
        while self._timers.now() < until:
            record = self._view.leaders.get(service)
            if record is not None and record.version > expected:
                if record.state == state:
                    return record
                raise ChangeConflictError(f"{service}: {record.state}")
            await self._timers.sleep(POLL_S)
        raise ChangeFailedError(f"{service}: the write's outcome is unknown")
