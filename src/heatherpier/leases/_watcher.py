"""Detects that the primary of a service is lost or leaving, and has it replaced."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from heatherpier.discovery import (
    MISSING_GRACE_S,
    InstanceRecord,
    InstanceRegistry,
)
from heatherpier.leases._changer import CHANGE_TIMEOUT_S, PrimaryChanger
from heatherpier.leases._confirmations import Confirmations
from heatherpier.leases._coordinators import ChangeCoordinators, CoordinatorState
from heatherpier.leases._fence import PrimaryChange
from heatherpier.leases._first_primaries import FirstPrimaries
from heatherpier.leases._grants import release_quorum
from heatherpier.leases._indirect_probes import IndirectProber
from heatherpier.leases._interface import (
    ControlError,
    InstanceControl,
    InstanceFullError,
)
from heatherpier.leases._leadership_rows import ChangeFailedError
from heatherpier.leases._peers import PeerLinks
from heatherpier.leases._primary_leases import LEASE_S
from heatherpier.leases._records import Changing, Confirming, LeadershipRecord, Led
from heatherpier.leases._view import FleetView
from heatherpier.tables import ChangeConflictError
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# Period at which a voter checks the primary.
VOTER_PERIOD_S = 0.1
# Period of a non-voter, which only reports a primary that fails its own statements.
NON_VOTER_PERIOD_S = 0.3
# Time for which a primary must have failed statements before it is probed.
PROBE_AFTER_S = 0.1
PROBE_TIMEOUT_S = 0.4
# A healthy primary answers a probe within this time, also over the longest network
# path between regions. The voters are asked to probe it only after that.
INDIRECT_PROBE_AFTER_S = 0.1
# A proxy that reaches less than half of the voters waits this long before it replaces
# a primary: it is more likely that the proxy itself is cut off for some seconds. A
# primary that fails for less than half of the voters, and answers none, is replaced
# after the same time.
MINORITY_WAIT_S = 6.0
# Pause after a probe that found the primary healthy.
PROBE_PAUSE_S = 0.5
# Maximum random delay before a change, so that proxies that detect the same failure at
# once do not all begin.
MAX_JITTER_S = 0.15
# Time after which a change that this proxy sees in the view is taken over, even if its
# coordinator does not answer: the coordinator has reached its own limit by then.
TAKEOVER_S = CHANGE_TIMEOUT_S + 1.0
# Time after which the coordinator of such a change is first asked whether it still
# carries it out; its process may have ended, or the change failed.
COORDINATOR_CHECK_S = 0.5
# Time for which no single instance must have claimed to lead a service without a
# leadership row before all instances are asked. At the first start of a deployment,
# instances register within several heartbeats.
UNCLAIMED_S = 10.0
# Pause after a failed change, during which its cause may pass.
FAILED_BACKOFF_S = 0.3


class PrimaryWatcher:
    """Watches the primary of one service and has it replaced when necessary.

    Args:
        service: The service.
        me: Name of this proxy.
        view: Members and leaders.
        registry: The registered instances.
        control: Control statements to instances.
        links: The other proxies.
        prober: Probes instances by way of the voters.
        coordinators: Asks coordinators whether they still carry out their changes.
        changer: Replaces primaries.
        confirmations: Finds out who leads if no row and no entry tells.
        first_primaries: Instances that services began with.
        instances_known_s: Returns for how long the list of instances has been up to
            date, in seconds; 0 if it is out of date.
        failing_since: Returns since when an instance has failed statements, as a
            monotonic time in seconds, or None if it answers.
        note_answer: Records that an instance answered.
        timers: Timer service.
        rng: Source of the random delay before a change.
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
        confirmations: Confirmations,
        first_primaries: FirstPrimaries,
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
        self._confirmations = confirmations
        self._first_primaries = first_primaries
        self._instances_known_s = instances_known_s
        self._failing_since = failing_since
        self._note_answer = note_answer
        self._timers = timers
        self._rng = rng
        # Last known primary and its entry, which may be missing now.
        self._primary: str | None = None
        self._primary_record: InstanceRecord | None = None
        # Version of the row of the last change that was seen, and the time by
        # `Timers.elapsed` when it was first seen.
        self._changing_seen: tuple[int, float] = (-1, 0.0)
        self._minority_since: float | None = None
        # Time by `Timers.elapsed` since which no single instance has claimed to lead.
        self._unclaimed_since: float | None = None

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            if self._me not in self._view.voters():
                await self._report_failing_primary()
                await self._timers.sleep(NON_VOTER_PERIOD_S)
                continue
            change = await self._find_due_change()
            if change is None:
                self._minority_since = None
            if change is not None and not await self._should_postpone(change):
                await self._replace(change)
            await self._timers.sleep(VOTER_PERIOD_S)

    async def _should_postpone(self, change: PrimaryChange) -> bool:
        """Returns whether to leave a change to other proxies for now.

        A proxy that reaches less than half of the voters may be cut off itself; it
        postpones changes for up to `MINORITY_WAIT_S`.
        """
        if change.confirmed or await self._links.reaches_half():
            self._minority_since = None
            return False
        now = self._timers.now()
        if self._minority_since is None:
            self._minority_since = now
            log.info(
                "change of primary postponed, too few voters answer",
                service=change.service,
                reason=change.reason,
                version=change.expected,
            )
        return now - self._minority_since < MINORITY_WAIT_S

    async def _replace(self, change: PrimaryChange) -> None:
        await self._timers.sleep(self._rng.random() * MAX_JITTER_S)
        if self._view.leadership_version(self._service) != change.expected:
            return
        try:
            await self._changer.change(change)
        except ChangeConflictError as exc:
            log.info(
                "change of primary left to another proxy",
                service=self._service,
                reason=str(exc),
            )
        except ChangeFailedError as exc:
            log.warning(
                "change of primary failed", service=self._service, reason=str(exc)
            )
            await self._timers.sleep(FAILED_BACKOFF_S)

    async def _report_failing_primary(self) -> None:
        """Asks the voters to probe a primary that does not answer this proxy.

        A voter whose probe fails records the failure, and from then on checks the
        primary itself.
        """
        primary = self._find_primary(self._view.leaders.get(self._service))
        if primary is None:
            return
        since = self._failing_since(primary)
        if since is not None and self._timers.now() - since >= PROBE_AFTER_S:
            result = await self._prober.probe_indirectly(primary)
            log.info(
                "failing primary reported to the voters",
                service=self._service,
                instance=primary,
                failing=result.failing,
                reaching=result.reaching,
            )

    async def _find_due_change(self) -> PrimaryChange | None:
        """Returns the change that is due, or None.

        A change is due if the entry of the primary is missing, if the primary is
        leaving and has a successor, if it does not answer or no longer leads, or if
        the coordinator of a change does not finish it. A primary that is the only
        instance left is replaced only if it answers that it no longer leads.
        """
        if self._view.copy.age_s() >= LEASE_S:
            # A change begins with a write to the store, which can't be reached now.
            return None
        if self._view.needs_confirmation(self._service):
            return await self._confirm(self._confirmations.confirm)
        record = self._view.leaders.get(self._service)
        if record is not None:
            self._unclaimed_since = None
        elif self._is_unclaimed():
            return await self._confirm(self._confirmations.find_leader)
        if record is not None and isinstance(record.state, Changing):
            return await self._find_due_takeover(record, record.state)
        primary = self._find_primary(record)
        if primary is None:
            return None
        # The checks below take time. The change may begin only if the leadership row
        # still has the version on which they are based.
        expected = 0 if record is None else record.version
        entry = self._registry.get(primary)
        self._primary_record = entry or self._primary_record
        confirmed = False
        if entry is None:
            # After a start or an outage of the store, entries are registered late.
            if self._instances_known_s() < MISSING_GRACE_S:
                return None
            if not self._has_other_instance(primary):
                # Nothing can be promoted. Its entry may be back at any moment, and
                # without a change the primary is then used at once.
                return None
            planned, reason = False, "entry of the primary is missing"
        elif entry.instance.leaving and self._has_successor(entry):
            planned, reason = True, "primary is leaving"
        elif await self._is_lost(entry):
            planned, reason, confirmed = (
                False,
                "primary does not answer or no longer leads",
                True,
            )
        else:
            return None
        return PrimaryChange(
            service=self._service,
            previous=primary,
            planned=planned,
            reason=reason,
            expected=expected,
            record=self._primary_record,
            confirmed=confirmed,
            term=_term_of(record),
        )

    async def _find_due_takeover(
        self, record: LeadershipRecord, state: Changing
    ) -> PrimaryChange | None:
        """Returns the takeover of a change that its coordinator does not finish."""
        predecessor = await self._coordinator_state(record, state.holder)
        if predecessor is None:
            return None
        return PrimaryChange(
            service=self._service,
            previous=state.previous,
            planned=False,
            reason=f"coordinator {state.holder} did not finish",
            expected=record.version,
            record=self._registry.get(state.previous) or self._primary_record,
            takeover=True,
            predecessor=predecessor,
            term=state.term,
        )

    async def _coordinator_state(
        self, record: LeadershipRecord, holder: str
    ) -> CoordinatorState | None:
        """Returns what is known of a coordinator whose work is to be taken over.

        Returns None while it may still carry out what its row announces.

        Args:
            record: The leadership row.
            holder: Name of the coordinator in the row.
        """
        now = self._timers.elapsed()
        if self._changing_seen[0] != record.version:
            self._changing_seen = (record.version, now)
        seen_s = now - self._changing_seen[1]
        if seen_s < COORDINATOR_CHECK_S:
            return None
        state = await self._coordinators.state(holder, self._service)
        if state is CoordinatorState.POSSIBLY_ACTIVE and seen_s < TAKEOVER_S:
            return None
        return state

    def _is_unclaimed(self) -> bool:
        """Returns whether no single instance has claimed to lead for `UNCLAIMED_S`.

        Without a registered instance there is nothing to ask, and while the list of
        instances is out of date, claims may be missing in it.
        """
        claims = self._registry.claiming_primary(self._service)
        instances = self._registry.of_service(self._service)
        now = self._timers.elapsed()
        if len(claims) == 1 or not instances or not self._instances_known_s():
            self._unclaimed_since = None
            return False
        if self._unclaimed_since is None:
            self._unclaimed_since = now
        return now - self._unclaimed_since >= UNCLAIMED_S

    async def _confirm(
        self, confirm: Callable[[str], Awaitable[PrimaryChange | None]]
    ) -> PrimaryChange | None:
        """Has the primary confirmed; returns the change that is due then."""
        record = self._view.leaders.get(self._service)
        if (
            record is not None
            and isinstance(record.state, Confirming)
            and await self._coordinator_state(record, record.state.holder) is None
        ):
            return None
        try:
            return await confirm(self._service)
        except (ChangeConflictError, ChangeFailedError) as exc:
            log.info(
                "primary not confirmed by this proxy",
                service=self._service,
                reason=str(exc),
            )
            await self._timers.sleep(FAILED_BACKOFF_S)
            return None

    def _find_primary(self, record: LeadershipRecord | None) -> str | None:
        """Returns the name of the primary, or None if it is changing or not known.

        Without a leadership row, it is the one instance that claims to lead, or the
        last known one while there is not exactly one. A process that has seen none
        relies on the recorded first primary.
        """
        if record is not None:
            if not isinstance(record.state, Led):
                return None
            self._primary = record.state.instance
            return self._primary
        claims = self._registry.claiming_primary(self._service)
        if len(claims) == 1:
            self._primary = claims[0].name
        return self._primary or self._first_primaries.get(self._service)

    def _has_successor(self, entry: InstanceRecord) -> bool:
        return any(
            item.name != entry.name and not item.instance.leaving
            for item in self._registry.of_service(self._service)
        )

    def _has_other_instance(self, primary: str) -> bool:
        return any(
            item.name != primary for item in self._registry.of_service(self._service)
        )

    async def _is_lost(self, entry: InstanceRecord) -> bool:
        """Returns whether the primary no longer leads, or answers no voter."""
        since = self._failing_since(entry.name)
        if since is None or self._timers.now() - since < PROBE_AFTER_S:
            return False
        if not self._has_other_instance(entry.name):
            return await self._probe(entry) is False
        probe = asyncio.create_task(self._probe(entry))
        try:
            leads = await self._wait_for_probe(probe, INDIRECT_PROBE_AFTER_S)
            if leads is None:
                result = await self._prober.probe_indirectly(entry.name)
                leads = await probe
        finally:
            probe.cancel()
        if leads is not None:
            if leads:
                await self._timers.sleep(PROBE_PAUSE_S)
            return not leads
        lost = not result.reaching
        if lost and result.failing < release_quorum(result.voters):
            # Voters that can't be asked may be healthy and still reach the primary.
            lost = self._timers.now() - since >= MINORITY_WAIT_S
        log.info(
            "primary probed by the voters",
            instance=entry.name,
            lost=lost,
            members=result.voters,
            failing=result.failing,
            reaching=result.reaching,
        )
        if not lost:
            await self._timers.sleep(PROBE_PAUSE_S)
        return lost

    async def _wait_for_probe(
        self, probe: asyncio.Task[bool | None], limit_s: float
    ) -> bool | None:
        """Returns the result of a probe, or None if there is none within the limit."""
        try:
            async with self._timers.timeout(limit_s):
                return await asyncio.shield(probe)
        except TimeoutError:
            # The probe continues beside the indirect probe.
            return None

    async def _probe(self, entry: InstanceRecord) -> bool | None:
        """Returns whether an instance leads, or None if it does not answer."""
        try:
            status = await self._control.replication_status(
                entry, timeout_s=PROBE_TIMEOUT_S
            )
        except InstanceFullError:
            self._note_answer(entry.name)
            return True
        except ControlError as exc:
            log.info(
                "primary does not answer a probe", instance=entry.name, reason=str(exc)
            )
            return None
        self._note_answer(entry.name)
        if not status.leads:
            log.info("primary no longer leads", instance=entry.name)
            return False
        return True


def _term_of(record: LeadershipRecord | None) -> int:
    """Returns the term of a primary; 0 if its service began with it."""
    if record is None or not isinstance(record.state, Led):
        return 0
    return record.state.term
