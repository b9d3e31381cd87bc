"""Which proxies are alive, by random probes and spread updates."""

import asyncio
import random
from collections.abc import Callable, Iterable

from heatherpier.fleet._errors import PeerUnreachableError
from heatherpier.fleet._interface import Peer, PeerNetwork
from heatherpier.fleet._members import MemberState, MemberTable
from heatherpier.fleet._messages import Message, PeerRecord
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("fleet")

PROBE_PERIOD_S = 1.0
PROBE_TIMEOUT_S = 0.4
INDIRECT_PROBES = 2
# Members that are told of a leaving one.
LEAVE_NOTICES = 3
# Updates spread within this time; views that differ for longer are exchanged whole.
DISAGREEMENT_S = 15.0


class Ping(Message, frozen=True, tag="ping"):
    """Asks a member whether it is alive.

    Attributes:
        updates: What the sender has learnt lately.
        version: Active configuration version at the sender.
        digest: Digest of the live members that the sender knows.
        full: Whether the answer must list all members.
    """

    updates: tuple[PeerRecord, ...]
    version: int
    digest: int = 0
    full: bool = False


class Pong(Message, frozen=True, tag="pong"):
    """Answers a `Ping` or a `PingRequest`.

    Attributes:
        updates: What the answering member has learnt lately.
        version: Active configuration version there.
        digest: Digest of the live members known there.
    """

    updates: tuple[PeerRecord, ...]
    version: int
    digest: int = 0


class PingRequest(Message, frozen=True, tag="ping_request"):
    """Asks a member to ping another one.

    Attributes:
        target: Name of the other member.
    """

    target: str


MEMBERSHIP_MESSAGES: tuple[type[Message], ...] = (Ping, Pong, PingRequest)


class Membership:
    """Probes members of the own data centre and spreads what it learns.

    A member's state is decided in its own data centre only: a cut between
    data centres makes nobody suspect. Delegates of each data centre exchange
    updates with other data centres.

    Args:
        me: Own address.
        network: Sends messages to peers.
        timers: Timer service.
        rng: Random source.
        incarnation: First own incarnation; it must grow over restarts.
        version: Returns the active configuration version here.
        on_version: Gets a peer and the active version there.
    """

    def __init__(
        self,
        me: Peer,
        *,
        network: PeerNetwork,
        timers: Timers,
        rng: random.Random,
        incarnation: int,
        version: Callable[[], int],
        on_version: Callable[[Peer, int], None],
    ) -> None:
        self.me = me
        self._network = network
        self._timers = timers
        self._rng = rng
        self._version = version
        self._on_version = on_version
        self.table = MemberTable(me, timers=timers, incarnation=incarnation)
        self._queue: list[str] = []
        # Since when the view of each other data centre differs from the own.
        self._differs_since: dict[str, float] = {}
        network.handle(Ping, self._on_ping)
        network.handle(PingRequest, self._on_ping_request)

    # Views

    def alive(self, *, data_centre: str | None = None) -> list[Peer]:
        """Returns members that may be alive, this proxy included.

        Args:
            data_centre: Only members there, or None for all.
        """
        return self.table.alive(data_centre=data_centre)

    # Life

    async def join(self, seeds: Iterable[Peer]) -> None:
        """Asks ``seeds`` for all members; those that answer are alive."""
        for seed in seeds:
            if seed.name == self.me.name:
                continue
            self.table.learn(_seed_record(seed), spread=False)
            await self._ping(seed, full=True, spread=False)

    async def run(self) -> None:
        """Probes for as long as the task runs."""
        async for _ in self._timers.every(PROBE_PERIOD_S):
            self.table.expire()
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._probe_next())
                if self.table.is_delegate():
                    tasks.create_task(self._exchange_with_other_data_centre())

    async def leave(self) -> None:
        """Tells some members that this proxy is leaving."""
        own = self.table.own()
        self.table.set(self.me, incarnation=own.incarnation, state=MemberState.LEFT)
        near = self.table.others(data_centre=self.me.data_centre)
        targets = self._rng.sample(near, min(len(near), LEAVE_NOTICES))
        await asyncio.gather(*(self._ping(peer) for peer in targets))

    # Probes

    async def _probe_next(self) -> None:
        peer = self._next_target()
        if peer is None or await self._ping(peer):
            return
        if await self._ping_indirectly(peer):
            return
        member = self.table.get(peer.name)
        if member is not None and member.state is MemberState.ALIVE:
            log.warning("member is suspect", member=peer.name)
            self.table.set(
                peer, incarnation=member.incarnation, state=MemberState.SUSPECT
            )

    def _next_target(self) -> Peer | None:
        near = {p.name: p for p in self.table.others(data_centre=self.me.data_centre)}
        while self._queue:
            name = self._queue.pop()
            if name in near:
                return near[name]
        # A shuffled round meets each member within one round of the fleet.
        self._queue = list(near)
        self._rng.shuffle(self._queue)
        return near[self._queue.pop()] if self._queue else None

    async def _ping(
        self, peer: Peer, *, full: bool = False, spread: bool = True
    ) -> bool:
        updates = self.table.take_updates()
        member = self.table.get(peer.name)
        if member is not None and member.state is MemberState.SUSPECT:
            # A suspect must hear of the suspicion to refute it.
            updates = (*updates, member.record())
        ping = Ping(
            updates=updates,
            version=self._version(),
            digest=self.table.digest,
            full=full,
        )
        try:
            answer = await self._network.request(peer, ping, timeout_s=PROBE_TIMEOUT_S)
        except PeerUnreachableError:
            return False
        self._take_in(peer, answer, spread=spread)
        return True

    async def _ping_indirectly(self, peer: Peer) -> bool:
        helpers = [
            other
            for other in self.table.others(data_centre=self.me.data_centre)
            if other.name != peer.name
        ]
        chosen = self._rng.sample(helpers, min(len(helpers), INDIRECT_PROBES))
        request = PingRequest(target=peer.name)
        answers = await asyncio.gather(
            *(
                self._network.request(helper, request, timeout_s=2 * PROBE_TIMEOUT_S)
                for helper in chosen
            ),
            return_exceptions=True,
        )
        return any(isinstance(answer, Pong) for answer in answers)

    async def _exchange_with_other_data_centre(self) -> None:
        places = self.table.other_places()
        if not places:
            return
        place = self._rng.choice(places)
        peer = self._rng.choice(self.table.alive(data_centre=place))
        since = self._differs_since.get(place)
        full = since is not None and self._timers.now() - since >= DISAGREEMENT_S
        if await self._ping(peer, full=full) and full:
            self._differs_since.pop(place, None)

    def _compare(self, place: str, digest: int) -> None:
        if digest == self.table.digest:
            self._differs_since.pop(place, None)
        else:
            self._differs_since.setdefault(place, self._timers.now())

    async def _on_ping(self, sender: str, ping: Ping) -> Message:
        self.table.absorb(ping.updates)
        known = self.table.get(sender)
        if known is not None:
            self._on_version(known.peer, ping.version)
        if ping.full:
            return self._pong(self.table.records())
        return self._pong(self.table.take_updates())

    def _pong(self, updates: tuple[PeerRecord, ...]) -> Pong:
        return Pong(updates=updates, version=self._version(), digest=self.table.digest)

    async def _on_ping_request(self, sender: str, req: PingRequest) -> Message | None:
        target = self.table.get(req.target)
        if target is None or not await self._ping(target.peer):
            return None
        return self._pong(())

    def _take_in(self, peer: Peer, answer: Message, *, spread: bool) -> None:
        match answer:
            case Pong(updates=updates, version=version, digest=digest):
                self.table.absorb(updates, spread=spread)
                self._compare(peer.data_centre, digest)
                self._on_version(peer, version)


def _seed_record(seed: Peer) -> PeerRecord:
    # Incarnation 0 is below any that a live member gives itself.
    return PeerRecord(
        seed.name, seed.host, seed.port, seed.data_centre, 0, int(MemberState.ALIVE)
    )
