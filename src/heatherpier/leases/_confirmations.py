"""Confirms which instance leads a service that has no row to tell.

A restore may have discarded leadership rows: of a change that was completed, or of one
that a coordinator still carries out. Until a row of the new epoch says who leads, only
leases from before the restore are usable, and they expire.

A majority of the voters confirms the primary at once if all of them saw the same row
before the restore. A change that is unknown to them can't have ended: its coordinator
needs releases from half of the voters, or has to wait for all grants to expire.
Otherwise the coordinators of the previous epoch are given time to stop, and then the
instances are asked who leads in which term.

Without a restore, a service without a row was never changed, and its primary is the one
that claims to lead. If no single instance does, the instances are asked as well.
"""

import asyncio
from collections.abc import Callable

import xxhash

from heatherpier.discovery import (
    MISSING_GRACE_S,
    InstanceRegistry,
)
from heatherpier.fleet import Message, Peer, PeerNetwork, PeerUnreachableError
from heatherpier.leases._changer import (
    COORDINATOR_MAX_STALENESS_S,
    PROMOTION_EFFECT_TIMEOUT_S,
    PROMOTION_REQUEST_S,
)
from heatherpier.leases._coordinators import ChangeCoordinators
from heatherpier.leases._fence import PrimaryChange
from heatherpier.leases._grants import (
    GRANT_MAX_STALENESS_S,
    GRANT_S,
    MAX_CLOCK_DRIFT,
    grant_quorum,
)
from heatherpier.leases._leadership_rows import LeadershipRows
from heatherpier.leases._messages import ConfirmAnswer, ConfirmRequest
from heatherpier.leases._peers import REQUEST_TIMEOUT_S
from heatherpier.leases._records import Confirming, Led
from heatherpier.leases._releases import LeaseReleases
from heatherpier.leases._successors import Successors
from heatherpier.leases._view import FleetView, ViewBeforeRestore
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# Time after which no coordinator of the previous epoch requests a promotion any more:
# its view is too old by then, or shows the new epoch.
COORDINATORS_STOP_S = (
    COORDINATOR_MAX_STALENESS_S * (1 + MAX_CLOCK_DRIFT) + PROMOTION_REQUEST_S
)
# Age of the view before the restore up to which a majority of the voters may confirm
# the primary. Until grants on that view have expired, no unknown change can have been
# completed; the coordinators of unknown changes have stopped by then.
VOTERS_MAX_STALENESS_S = GRANT_MAX_STALENESS_S + GRANT_S - COORDINATORS_STOP_S
# Time for which the voters are asked before the instances are: a voter agrees only once
# it has seen the new epoch, and its watch of the store may have to fail first.
VOTERS_TIMEOUT_S = 2.0
# Time between the moments at which two voters begin to confirm the same service.
STAGGER_S = 0.2
RETRY_PAUSE_S = 0.25
# Time for all instances of a service to answer, after which its primary is replaced by
# one that answers.
INSTANCES_TIMEOUT_S = 4.0


class Confirmations:
    """Confirms primaries, and answers voters that do so.

    Args:
        me: Name of this proxy.
        network: Requests and answers between proxies.
        rows: Writes leadership rows.
        view: Members and leaders.
        releases: Releases of leases at this proxy.
        coordinators: Keeps the set of changes that this proxy carries out.
        registry: The registered instances.
        successors: Asks instances for their replication status.
        instances_known_s: Returns for how long the list of instances has been up to
            date, in seconds; 0 if it is out of date.
        timers: Timer service.
    """

    def __init__(
        self,
        me: str,
        *,
        network: PeerNetwork,
        rows: LeadershipRows,
        view: FleetView,
        releases: LeaseReleases,
        coordinators: ChangeCoordinators,
        registry: InstanceRegistry,
        successors: Successors,
        instances_known_s: Callable[[], float],
        timers: Timers,
    ) -> None:
        self._me = me
        self._network = network
        self._rows = rows
        self._view = view
        self._releases = releases
        self._coordinators = coordinators
        self._registry = registry
        self._successors = successors
        self._instances_known_s = instances_known_s
        self._timers = timers
        self._began = timers.elapsed()
        network.handle(ConfirmRequest, self._on_confirm)

    async def confirm(self, service: str) -> PrimaryChange | None:
        """Confirms who leads a service.

        Returns:
            The change that is due because not all instances say who leads, or None if
            there is nothing more to do.

        Raises:
            ChangeConflictError: Another proxy wrote the leadership row first.
            ChangeFailedError: The store did not accept the row.
        """
        await self._timers.sleep(self._rank(service) * STAGGER_S)
        if not self._view.needs_confirmation(service):
            return None
        self._coordinators.changing.add(service)
        try:
            if await self._confirm_by_voters(service):
                return None
            return await self._confirm_by_instances(service)
        finally:
            self._coordinators.changing.discard(service)

    async def find_leader(self, service: str) -> PrimaryChange | None:
        """Finds out who leads a service without a leadership row.

        Returns:
            The change that is due because not all instances say who leads, or None if
            there is nothing more to do.

        Raises:
            ChangeConflictError: Another proxy wrote the leadership row first.
            ChangeFailedError: The store did not accept the row.
        """
        await self._timers.sleep(self._rank(service) * STAGGER_S)
        if self._view.leadership_version(service):
            return None
        log.info("no instance is known to lead, asking all", service=service)
        self._coordinators.changing.add(service)
        try:
            return await self._confirm_by_instances(service)
        finally:
            self._coordinators.changing.discard(service)

    def _rank(self, service: str) -> int:
        """Returns how many voters are to begin with a service before this one."""
        names = sorted(
            self._view.voters(),
            key=lambda name: xxhash.xxh64_hexdigest(f"{service} {name}".encode()),
        )
        return names.index(self._me) if self._me in names else len(names)

    async def _confirm_by_voters(self, service: str) -> bool:
        """Confirms the primary from before the restore if most voters agree on it."""
        until = self._timers.now() + VOTERS_TIMEOUT_S
        while self._view.needs_confirmation(service):
            before = self._view.before_restore
            if (
                before is None
                or not self._is_usable(before)
                or not before.has_primary(service)
            ):
                return False
            req = ConfirmRequest(
                service=service,
                epoch=self._view.copy.epoch,
                version=self._view.leadership_version(service),
                previous=before.version(service),
            )
            if await self._voters_agree(req, before):
                return await self._write_primary_before(req, before)
            if self._timers.now() >= until:
                return False
            await self._timers.sleep(RETRY_PAUSE_S)
        return True

    def _is_usable(self, before: ViewBeforeRestore) -> bool:
        """Returns whether changes unknown in a view can't have been completed yet.

        The view has to be from after the start of this process: an earlier incarnation
        may have released the primary.
        """
        age_s = self._timers.elapsed() - before.as_of
        return before.as_of >= self._began and age_s < VOTERS_MAX_STALENESS_S

    async def _voters_agree(
        self, req: ConfirmRequest, before: ViewBeforeRestore
    ) -> bool:
        others = [peer for peer in before.voters if peer.name != self._me]
        answers = await asyncio.gather(*(self._ask(peer, req) for peer in others))
        count = sum(answer.agrees for answer in answers)
        if len(others) < len(before.voters):
            count += self._agrees(req)
        log.info(
            "voters asked to confirm the primary",
            service=req.service,
            epoch=req.epoch,
            version=req.version,
            previous=req.previous,
            agreeing=count,
            voters=len(before.voters),
        )
        return count >= grant_quorum(len(before.voters))

    async def _ask(self, peer: Peer, req: ConfirmRequest) -> ConfirmAnswer:
        try:
            answer = await self._network.request(peer, req, timeout_s=REQUEST_TIMEOUT_S)
        except PeerUnreachableError:
            # An unreachable peer is a result, not a failure of this check.
            return ConfirmAnswer(agrees=False)
        if not isinstance(answer, ConfirmAnswer):
            return ConfirmAnswer(agrees=False)
        return answer

    async def _on_confirm(self, sender: str, req: ConfirmRequest) -> Message | None:
        return ConfirmAnswer(
            agrees=self._agrees(req), term=self._term_before(req.service)
        )

    def _term_before(self, service: str) -> int:
        """Returns the term of a service's primary before the restore; 0 if unknown."""
        before = self._view.before_restore
        primary = None if before is None else before.primary(service)
        return 0 if primary is None else primary.term

    def _agrees(self, req: ConfirmRequest) -> bool:
        """Returns whether this voter saw the same row, and then keeps to it."""
        view, before = self._view, self._view.before_restore
        if (
            before is None
            or before.as_of < self._began
            or view.copy.epoch != req.epoch
            or not view.needs_confirmation(req.service)
            or view.leadership_version(req.service) > req.version
            or before.version(req.service) != req.previous
            or not before.has_primary(req.service)
        ):
            return False
        self._releases.refuse_up_to(req.service, req.version)
        return True

    async def _write_primary_before(
        self, req: ConfirmRequest, before: ViewBeforeRestore
    ) -> bool:
        primary = before.primary(req.service)
        if primary is None:
            primary = await self._first_primary(req.service)
        if primary is None:
            return False
        led = Led(instance=primary.instance, term=primary.term, epoch=req.epoch)
        await self._write(req.service, led, expected=req.version, how="voters")
        return True

    async def _first_primary(self, service: str) -> Led | None:
        """Returns the instance that a service began with, if it says that it leads."""
        claims = self._registry.claiming_primary(service)
        if len(claims) != 1:
            return None
        status = await self._successors.fetch_status(claims[0])
        if status is None or not status.leads:
            return None
        return Led(instance=claims[0].name, term=status.term)

    async def _write(self, service: str, led: Led, *, expected: int, how: str) -> None:
        record = await self._rows.write(service, led, expected=expected)
        log.info(
            "primary confirmed",
            service=service,
            instance=led.instance,
            term=led.term,
            epoch=led.epoch,
            version=record.version,
            how=how,
        )

    async def _confirm_by_instances(self, service: str) -> PrimaryChange | None:
        """Confirms the instance of the highest term once all instances have answered.

        An instance that does not answer may lead a higher term, and so may one that a
        peer knew before the restore. If that can't be excluded in time, a change of
        primary is due, which ends the terms of all others.
        """
        state = Confirming(holder=self._me, epoch=self._view.copy.epoch)
        record = await self._rows.write(
            service, state, expected=self._view.leadership_version(service)
        )
        await self._timers.sleep(COORDINATORS_STOP_S + PROMOTION_EFFECT_TIMEOUT_S)
        min_term = await self._highest_term_before(service, record.version)
        until = self._timers.now() + INSTANCES_TIMEOUT_S
        leader: Led | None = None
        while self._view.leadership_version(service) == record.version:
            leader, complete = await self._ask_instances(service)
            if leader is not None and complete and leader.term >= min_term:
                led = Led(instance=leader.instance, term=leader.term, epoch=state.epoch)
                await self._write(
                    service, led, expected=record.version, how="instances"
                )
                return None
            nobody_leads = complete and leader is None
            if nobody_leads or self._timers.now() >= until:
                return self._make_change(service, leader, expected=record.version)
            await self._timers.sleep(RETRY_PAUSE_S)
        return None

    async def _highest_term_before(self, service: str, version: int) -> int:
        """Returns the highest term that a proxy knew before the restore."""
        req = ConfirmRequest(
            service=service, epoch=self._view.copy.epoch, version=version, previous=-1
        )
        peers = [peer for peer in self._view.peers() if peer.name != self._me]
        answers = await asyncio.gather(*(self._ask(peer, req) for peer in peers))
        terms = [answer.term for answer in answers]
        return max([self._term_before(service), *terms])

    async def _ask_instances(self, service: str) -> tuple[Led | None, bool]:
        """Returns the leader of the highest term, and whether all instances answered.

        There is no leader if the highest term has none that answers.
        """
        records = self._registry.of_service(service)
        answers = await asyncio.gather(
            *(self._successors.fetch_status(item) for item in records)
        )
        statuses = [
            (status, item.name)
            for status, item in zip(answers, records, strict=True)
            if status is not None
        ]
        complete = (
            len(statuses) == len(records)
            and self._instances_known_s() >= MISSING_GRACE_S
        )
        term = max((status.term for status, _ in statuses), default=0)
        leaders = [
            Led(instance=name, term=term)
            for status, name in statuses
            if status.leads and status.term == term
        ]
        return (leaders[0] if len(leaders) == 1 else None), complete

    def _make_change(
        self, service: str, leader: Led | None, *, expected: int
    ) -> PrimaryChange:
        before = self._view.before_restore
        primary = leader or (None if before is None else before.primary(service))
        previous = "" if primary is None else primary.instance
        return PrimaryChange(
            service=service,
            previous=previous,
            planned=False,
            reason="no instance leads for certain",
            expected=expected,
            record=self._registry.get(previous),
            takeover=True,
        )
