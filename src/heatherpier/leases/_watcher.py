"""Notices that a service's primary is lost or leaves, and has it replaced."""

import asyncio
import random
from collections.abc import Callable

from heatherpier.discovery import (
    MISSING_GRACE_S,
    InstanceRecord,
    InstanceRegistry,
)
from heatherpier.leases._changer import (
    CHANGE_TIMEOUT_S,
    ChangeFailedError,
    PrimaryChanger,
)
from heatherpier.leases._coordinators import ChangeCoordinators
from heatherpier.leases._fence import PrimaryChange
from heatherpier.leases._grants import release_quorum
from heatherpier.leases._indirect_probes import IndirectProber
from heatherpier.leases._interface import (
    ControlError,
    InstanceControl,
    InstanceFullError,
)
from heatherpier.leases._peers import PeerLinks
from heatherpier.leases._primary_leases import LEASE_S
from heatherpier.leases._records import Changing, LeadershipRecord
from heatherpier.leases._view import FleetView
from heatherpier.tables import ChangeConflictError
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
PERIOD_S = 0.1
# A proxy that is no voter only reports what its work meets.
NON_VOTER_PERIOD_S = 0.3
# A primary that failed work is probed after this long.
SUSPECT_S = 0.1
PROBE_TIMEOUT_S = 0.4
# A primary that is healthy answers a probe within this time, over the longest way between
# regions; then peers need not be asked.
INDIRECT_PROBE_AFTER_S = 0.1
# A proxy that reaches less than half of the voters waits this long before it has a
# primary replaced: it is more likely cut off itself, for some seconds.
MINORITY_S = 6.0
# Pause after a probe that found the primary healthy.
PROBE_PAUSE_S = 0.5
# Proxies that notice the same at once begin at different times.
SPREAD_S = 0.15
# A change whose holder is silent is taken over after it has surely given up.
TAKEOVER_S = CHANGE_TIMEOUT_S + 1.0
# A holder that has ended, or given its change up, is noticed after this long.
COORDINATOR_CHECK_S = 0.5
# A pause after a failed change, so that its cause may pass.
FAILED_BACKOFF_S = 0.3


class PrimaryWatcher:
    """Watches the primary of one service.

    Args:
        service: The service.
        me: Name of this proxy.
        view: Members and leaders.
        registry: The registered instances.
        control: Control statements to instances.
        links: The other proxies.
        prober: Asks the voters about instances.
        coordinators: Asks holders of changes.
        changer: Replaces primaries.
        instances_known_s: Tells for how long the list of instances has been known, in
            seconds; 0 if it is out of date.
        failing_since: Tells since when an instance has failed work, or None.
        note_answer: Takes in that an instance answered.
        timers: Timer service.
        rng: Spreads the proxies.
    """

    def __init__(
        self,
        service: str,
        *,
        me: str,
        view: FleetView,
        registry: InstanceRegistry,
        control: InstanceControl,
        links: PeerLinks,
        prober: IndirectProber,
        coordinators: ChangeCoordinators,
        changer: PrimaryChanger,
        instances_known_s: Callable[[], float],
        failing_since: Callable[[str], float | None],
        note_answer: Callable[[str], None],
        timers: Timers,
        rng: random.Random,
    ) -> None:
        self._service = service
        self._me = me
        self._view = view
        self._registry = registry
        self._control = control
        self._links = links
        self._prober = prober
        self._coordinators = coordinators
        self._changer = changer
        self._instances_known_s = instances_known_s
        self._failing_since = failing_since
        self._note_answer = note_answer
        self._timers = timers
        self._rng = rng
        self._leader: str | None = None
        self._known: InstanceRecord | None = None
        self._seen: tuple[int, float] = (-1, 0.0)
        self._alone_since: float | None = None

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            if self._me not in self._view.voters():
                await self._report_suspicion()
                await self._timers.sleep(NON_VOTER_PERIOD_S)
                continue
            order = await self._find_due_change()
            if order is None:
                self._alone_since = None
            if order is not None and not await self._puts_off(order):
                await self._replace(order)
            await self._timers.sleep(PERIOD_S)

    async def _puts_off(self, order: PrimaryChange) -> bool:
        """Tells whether this proxy may be cut off, and others see to the change."""
        if order.confirmed or await self._links.reaches_half():
            self._alone_since = None
            return False
        now = self._timers.now()
        if self._alone_since is None:
            self._alone_since = now
            log.info(
                "change put off, too few answer",
                service=order.service,
                reason=order.reason,
                version=order.expected,
            )
        return now - self._alone_since < MINORITY_S

    async def _replace(self, order: PrimaryChange) -> None:
        await self._timers.sleep(self._rng.random() * SPREAD_S)
        if self._version() != order.expected:
            return
        try:
            await self._changer.change(order)
        except ChangeConflictError as exc:
            log.info("change left to another", service=self._service, reason=str(exc))
        except ChangeFailedError as exc:
            log.warning("change failed", service=self._service, reason=str(exc))
            await self._timers.sleep(FAILED_BACKOFF_S)

    async def _report_suspicion(self) -> None:
        """Has the voters look at a primary that does not answer this proxy."""
        leader = self._find_leader(self._view.leaders.get(self._service))
        if leader is None:
            return
        since = self._failing_since(leader)
        if since is not None and self._timers.now() - since >= SUSPECT_S:
            result = await self._prober.probe_indirectly(leader)
            log.info(
                "primary reported",
                service=self._service,
                instance=leader,
                failing=result.failing,
                reaching=result.reaching,
            )

    def _version(self) -> int:
        record = self._view.leaders.get(self._service)
        return 0 if record is None else record.version

    # Judging

    async def _find_due_change(self) -> PrimaryChange | None:
        """Returns the change that is due, or None."""
        if self._view.copy.age_s() >= LEASE_S:
            # Without the store no change can be begun.
            return None
        record = self._view.leaders.get(self._service)
        if record is not None and isinstance(record.state, Changing):
            return await self._find_due_takeover(record, record.state)
        leader = self._find_leader(record)
        if leader is None:
            return None
        # Judging takes time, and what it rests on is this version.
        expected = 0 if record is None else record.version
        known = self._registry.get(leader)
        self._known = known or self._known
        confirmed = False
        if known is None:
            # After a start, or an outage of the store, entries come back late.
            if self._instances_known_s() < MISSING_GRACE_S:
                return None
            planned, reason = False, "its entry is gone"
        elif known.instance.leaving and self._has_successor(known):
            planned, reason = True, "it leaves"
        elif await self._is_lost(known):
            planned, reason, confirmed = False, "it does not answer", True
        else:
            return None
        return PrimaryChange(
            service=self._service,
            previous=leader,
            planned=planned,
            reason=reason,
            expected=expected,
            record=self._known,
            confirmed=confirmed,
        )

    async def _find_due_takeover(
        self, record: LeadershipRecord, state: Changing
    ) -> PrimaryChange | None:
        """Returns the takeover of a change that its holder does not finish."""
        now = self._timers.elapsed()
        if self._seen[0] != record.version:
            self._seen = (record.version, now)
        seen_s = now - self._seen[1]
        if seen_s < COORDINATOR_CHECK_S:
            return None
        if seen_s < TAKEOVER_S and not await self._coordinators.has_given_up(
            state.holder, self._service
        ):
            return None
        return PrimaryChange(
            service=self._service,
            previous=state.previous,
            planned=False,
            reason=f"{state.holder} did not finish",
            expected=record.version,
            record=self._registry.get(state.previous) or self._known,
            takeover=True,
        )

    def _find_leader(self, record: LeadershipRecord | None) -> str | None:
        if record is not None:
            if isinstance(record.state, Changing):
                return None
            self._leader = record.state.instance
            return self._leader
        claims = [
            item.name
            for item in self._registry.of_service(self._service)
            if item.claims_primary
        ]
        if len(claims) == 1:
            self._leader = claims[0]
        return self._leader

    def _has_successor(self, known: InstanceRecord) -> bool:
        return any(
            item.name != known.name and not item.instance.leaving
            for item in self._registry.of_service(self._service)
        )

    async def _is_lost(self, known: InstanceRecord) -> bool:
        since = self._failing_since(known.name)
        if since is None or self._timers.now() - since < SUSPECT_S:
            return False
        probing = asyncio.create_task(self._probe(known))
        try:
            leads = await self._within(probing, INDIRECT_PROBE_AFTER_S)
            if leads is None:
                result = await self._prober.probe_indirectly(known.name)
                leads = await probing
        finally:
            probing.cancel()
        if leads is not None:
            if leads:
                await self._timers.sleep(PROBE_PAUSE_S)
            return not leads
        lost = not result.reaching
        if lost and result.failing < release_quorum(result.members):
            # Those that can't be asked may be well, and the primary with them.
            lost = self._timers.now() - since >= MINORITY_S
        log.info(
            "primary surveyed",
            instance=known.name,
            lost=lost,
            members=result.members,
            failing=result.failing,
            reaching=result.reaching,
        )
        if not lost:
            await self._timers.sleep(PROBE_PAUSE_S)
        return lost

    async def _within(
        self, probing: asyncio.Task[bool | None], limit_s: float
    ) -> bool | None:
        """Returns the outcome of a probe, or None if there is none yet."""
        try:
            async with self._timers.timeout(limit_s):
                return await asyncio.shield(probing)
        except TimeoutError:
            # The probe goes on beside the survey.
            return None

    async def _probe(self, known: InstanceRecord) -> bool | None:
        """Returns whether the primary leads, or None if it does not answer."""
        try:
            status = await self._control.replication_status(
                known, timeout_s=PROBE_TIMEOUT_S
            )
        except InstanceFullError:
            self._note_answer(known.name)
            return True
        except ControlError as exc:
            log.info("primary suspected", instance=known.name, reason=str(exc))
            return None
        self._note_answer(known.name)
        if not status.leads:
            log.info("primary no longer leads", instance=known.name)
            return False
        return True
