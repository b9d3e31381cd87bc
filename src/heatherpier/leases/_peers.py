"""What proxies ask each other about views, rights and instances."""

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass

from heatherpier.discovery import InstanceRegistry
from heatherpier.feeds import Changes, Row, TableCopy
from heatherpier.fleet import Message, Peer, PeerNetwork, PeerUnreachableError
from heatherpier.leases._grants import GRANT_S, Grants, release_quorum
from heatherpier.leases._interface import (
    ControlError,
    InstanceControl,
    TurnedAwayError,
)
from heatherpier.leases._messages import (
    ChangeAnswer,
    ChangeRequest,
    CopyAnswer,
    CopyRequest,
    Ping,
    Pong,
    ReachAnswer,
    ReachRequest,
    Released,
    ReleaseRequest,
    TableAnswer,
)
from heatherpier.leases._records import LeadershipRecord, encode_leadership
from heatherpier.leases._rights import PrimaryRights
from heatherpier.leases._use import PrimaryUse
from heatherpier.leases._view import LEADER_PREFIX, FleetView
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# Several ways between regions and a pause of a busy peer.
REQUEST_TIMEOUT_S = 0.4
# A peer's answer about an instance rests on a new connection to it.
REACH_TIMEOUT_S = 0.7
PROBE_TIMEOUT_S = 0.4
# No question is held for longer, whatever a peer asks for.
MOST_HOLD_S = 5.0
# Time beyond the drain for the answer's way.
RELEASE_MARGIN_S = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class Survey:
    """Who reaches an instance.

    Attributes:
        members: Count of members of the panel.
        reaching: Names of those that it answers.
        failing: Count of those that it does not answer, this one included.
    """

    members: int
    reaching: tuple[str, ...]
    failing: int


class Use(enum.Enum):
    """What a peer may still do with a primary that it was asked to release."""

    RELEASED = enum.auto()
    # The process has ended. It uses nothing, but its next life may support others
    # that have not heard of the change.
    ENDED = enum.auto()
    UNKNOWN = enum.auto()


class PeerLinks:
    """Asks peers, and answers them.

    Args:
        me: Name of this proxy.
        network: Requests and answers between proxies.
        copies: Copies of tables by name, shared with peers.
        view: Members and leaders.
        rights: Rights to use primaries.
        grants: Promises between proxies.
        use: Work under way on primaries.
        registry: The registered instances.
        control: Control statements to instances.
        note_failure: Takes in that an instance did not answer, and why.
        timers: Timer service.

    Attributes:
        changing: Services whose change of primary this proxy is at work on.
    """

    def __init__(
        self,
        me: str,
        *,
        network: PeerNetwork,
        copies: dict[str, TableCopy],
        view: FleetView,
        rights: PrimaryRights,
        grants: Grants,
        use: PrimaryUse,
        registry: InstanceRegistry,
        control: InstanceControl,
        note_failure: Callable[[str, str], None],
        timers: Timers,
    ) -> None:
        self.me = me
        self.changing: set[str] = set()
        self._network = network
        self._copies = copies
        self._view = view
        self._rights = rights
        self._grants = grants
        self._use = use
        self._registry = registry
        self._control = control
        self._note_failure = note_failure
        self._timers = timers
        self._news = asyncio.Event()
        for copy in copies.values():
            copy.subscribe(self._note_news)
        self._probes: dict[str, asyncio.Task[bool]] = {}
        network.handle(Ping, self._on_ping)
        network.handle(ReleaseRequest, self._on_release)
        network.handle(ChangeRequest, self._on_change)
        network.handle(ReachRequest, self._on_reach)
        network.handle(CopyRequest, self._on_copy)

    def others(self) -> list[Peer]:
        """Returns all registered proxies but this one."""
        return [peer for peer in self._view.peers() if peer.name != self.me]

    def panel(self) -> list[Peer]:
        """Returns the members of the panel but this one."""
        names = self._view.panel()
        return [peer for peer in self.others() if peer.name in names]

    async def reaches_half(self) -> bool:
        """Tells whether half of the panel answers; else this proxy may be cut off."""
        panel = self._view.panel()
        missing = release_quorum(len(panel)) - int(self.me in panel)
        asking = {asyncio.create_task(self._answers(peer)) for peer in self.panel()}
        try:
            while asking and missing > 0:
                done, asking = await asyncio.wait(
                    asking, return_when=asyncio.FIRST_COMPLETED
                )
                missing -= sum(task.result() for task in done)
        finally:
            for task in asking:
                task.cancel()
        return missing <= 0

    async def _answers(self, peer: Peer) -> bool:
        try:
            await self._network.request(peer, Ping(), timeout_s=REQUEST_TIMEOUT_S)
        except PeerUnreachableError:
            # That is the answer.
            return False
        return True

    async def _on_ping(self, sender: str, req: Ping) -> Message | None:
        return Pong()

    # Releasing a primary

    async def release_here(self, service: str, *, drain_s: float) -> None:
        """Ends this proxy's own use of a primary that is being replaced.

        Promises that were given to peers are kept first.
        """
        aborted = await self._use.drain(service, limit_s=drain_s)
        if aborted:
            log.info("work on the old primary aborted", service=service, count=aborted)
        self._rights.release(service)
        await self._timers.sleep(self._grants.given_for())

    async def release_at(
        self, peer: Peer, service: str, record: LeadershipRecord, *, drain_s: float
    ) -> Use:
        """Asks a peer to end its use of a primary, and tells what is left of it."""
        req = ReleaseRequest(
            service=service,
            version=record.version,
            body=encode_leadership(record.state),
            drain_s=drain_s,
        )
        try:
            answer = await self._network.request(
                peer, req, timeout_s=drain_s + GRANT_S + RELEASE_MARGIN_S
            )
        except PeerUnreachableError as exc:
            ended = await self._network.refuses(peer, timeout_s=REQUEST_TIMEOUT_S)
            log.info(
                "peer did not release",
                service=service,
                peer=peer.name,
                ended=ended,
                reason=str(exc),
            )
            return Use.ENDED if ended else Use.UNKNOWN
        if not isinstance(answer, Released):
            return Use.UNKNOWN
        self._view.history.learn(answer.past)
        return Use.RELEASED

    # Changes and their holders

    async def has_given_up(self, holder: str, service: str) -> bool:
        """Tells whether a holder is surely no longer at work on its change."""
        if holder == self.me:
            return service not in self.changing
        record = self._view.members.get(holder)
        if record is None:
            return True
        try:
            answer = await self._network.request(
                record.peer, ChangeRequest(service=service), timeout_s=REQUEST_TIMEOUT_S
            )
        except PeerUnreachableError:
            # A process that has ended can't answer, but its VM does.
            return await self._network.refuses(record.peer, timeout_s=REQUEST_TIMEOUT_S)
        return isinstance(answer, ChangeAnswer) and not answer.at_work

    async def _on_change(self, sender: str, req: ChangeRequest) -> Message | None:
        return ChangeAnswer(at_work=req.service in self.changing)

    async def _on_release(self, sender: str, req: ReleaseRequest) -> Message | None:
        self._view.copy.take_row(
            Row(key=LEADER_PREFIX + req.service, version=req.version, body=req.body)
        )
        record = self._view.leaders.get(req.service)
        if record is None or record.version < req.version:
            # The row can't be read here, so nothing is promised.
            return None
        await self.release_here(req.service, drain_s=req.drain_s)
        return Released(past=self._view.history.describe())

    # Reaching an instance

    async def survey(self, instance: str) -> Survey:
        """Asks the panel whether an instance answers its members."""
        others = self.panel()
        answers = await asyncio.gather(
            *(self._ask_reach(peer, instance) for peer in others)
        )
        return Survey(
            members=len(others) + 1,
            reaching=tuple(
                peer.name
                for peer, answer in zip(others, answers, strict=True)
                if answer is True
            ),
            failing=sum(answer is False for answer in answers) + 1,
        )

    async def _ask_reach(self, peer: Peer, instance: str) -> bool | None:
        try:
            answer = await self._network.request(
                peer, ReachRequest(instance=instance), timeout_s=REACH_TIMEOUT_S
            )
        except PeerUnreachableError:
            # A peer that does not answer tells nothing of the instance.
            return None
        return isinstance(answer, ReachAnswer) and answer.answers

    async def _on_reach(self, sender: str, req: ReachRequest) -> Message | None:
        # All peers that ask at once share one probe.
        probe = self._probes.get(req.instance)
        if probe is None:
            probe = asyncio.create_task(self._probe(req.instance))
            self._probes[req.instance] = probe
            probe.add_done_callback(lambda _: self._probes.pop(req.instance))
        return ReachAnswer(answers=await asyncio.shield(probe))

    async def _probe(self, instance: str) -> bool:
        record = self._registry.get(instance)
        if record is None:
            return False
        try:
            await self._control.standing(record, timeout_s=PROBE_TIMEOUT_S)
        except TurnedAwayError:
            return True
        except ControlError as exc:
            log.info("instance probed for peers", instance=instance, reason=str(exc))
            self._note_failure(instance, str(exc))
            return False
        return True

    # Copies of tables

    async def refresh_copies(self, peers: list[Peer]) -> int:
        """Takes over what peers know that is newer, and returns how many answered."""
        answered = await asyncio.gather(*(self._refresh_from(p) for p in peers))
        return sum(answered)

    async def _refresh_from(self, peer: Peer) -> bool:
        return await self._ask_for_copies(peer, hold_s=0.0, support=True)

    async def watch_by(self, peer: Peer, *, hold_s: float) -> bool:
        """Takes over what a peer knows, as soon as something changes there.

        Args:
            peer: The peer.
            hold_s: Longest wait for a change, in seconds.

        Returns:
            Whether it answered.
        """
        return await self._ask_for_copies(peer, hold_s=hold_s, support=False)

    async def _ask_for_copies(
        self, peer: Peer, *, hold_s: float, support: bool
    ) -> bool:
        versions = {name: copy.version for name, copy in self._copies.items()}
        req = CopyRequest(versions=versions, hold_s=hold_s, support=support)
        sent_at = self._timers.elapsed()
        try:
            answer = await self._network.request(
                peer, req, timeout_s=hold_s + REQUEST_TIMEOUT_S
            )
        except PeerUnreachableError:
            # The caller counts the answers.
            return False
        if not isinstance(answer, CopyAnswer):
            return False
        for name, table in answer.tables.items():
            copy = self._copies.get(name)
            if copy is not None:
                held_at = sent_at + answer.held_s
                self._take_table(copy, table, sent_at=held_at, peer=peer)
        if not support:
            return True
        self._grants.receive(peer.name, asked_at=sent_at, grant_s=answer.grant_s)
        return True

    def _take_table(
        self, copy: TableCopy, table: TableAnswer, *, sent_at: float, peer: Peer
    ) -> None:
        changes = Changes(
            rows=tuple(
                Row(key=key, version=version, body=body)
                for key, version, body in table.rows
            ),
            version=table.version,
            as_of=sent_at - table.age_s,
        )
        if table.version < copy.version:
            return
        if table.rows:
            log.info(
                "table taken from a peer",
                table=copy.table,
                peer=peer.name,
                version=table.version,
                previous=copy.version,
                rows=len(table.rows),
                age_s=round(table.age_s, 3),
            )
        if table.whole:
            copy.replace(changes)
        else:
            copy.apply(changes)

    async def _on_copy(self, sender: str, req: CopyRequest) -> Message | None:
        began = self._timers.elapsed()
        if req.hold_s > 0 and not self._has_news(req):
            await self._wait_for_news(min(req.hold_s, MOST_HOLD_S))
        return CopyAnswer(
            tables={
                name: _describe(copy, since=req.versions.get(name, 0))
                for name, copy in self._copies.items()
                if copy.version
            },
            grant_s=self._grants.give() if req.support else 0.0,
            held_s=self._timers.elapsed() - began,
        )

    def _has_news(self, req: CopyRequest) -> bool:
        """Tells whether a peer lacks rows that are known here."""
        return any(
            copy.changes_since(req.versions.get(name, 0)) != ()
            for name, copy in self._copies.items()
        )

    async def _wait_for_news(self, limit_s: float) -> None:
        try:
            async with self._timers.timeout(limit_s):
                await self._news.wait()
        except TimeoutError:
            # That nothing has changed is the answer.
            return

    def _note_news(self, row: Row) -> None:
        self._news.set()
        self._news = asyncio.Event()


def _describe(copy: TableCopy, *, since: int) -> TableAnswer:
    changed = copy.changes_since(since)
    rows = copy.rows() if changed is None else changed
    return TableAnswer(
        version=copy.version,
        age_s=copy.age_s(),
        rows=[(row.key, row.version, row.body) for row in rows],
        whole=changed is None,
    )
