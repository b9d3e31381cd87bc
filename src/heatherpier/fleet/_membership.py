"""Which proxies are alive, by random probes and spread updates."""

import asyncio
import heapq
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum

import xxhash

from heatherpier.fleet._errors import PeerUnreachableError
from heatherpier.fleet._interface import Peer, PeerNetwork
from heatherpier.fleet._messages import Message, PeerRecord
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("fleet")

PROBE_PERIOD_S = 1.0
PROBE_TIMEOUT_S = 0.4
INDIRECT_PROBES = 2
SUSPECT_S = 3.0
FORGET_S = 600.0
DELEGATES = 2
# Updates spread within this time; views that differ for longer are exchanged whole.
DISAGREEMENT_S = 15.0
UPDATES_PER_MESSAGE = 8
# Each update is sent this many times the logarithm of the fleet's size.
RETRANSMIT_FACTOR = 3


class State(IntEnum):
    """What is known of a member. A higher value wins at the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Ping(Message, frozen=True, tag="ping"):
    """Asks a member whether it is alive.

    Attributes:
        updates: What the sender has learnt lately.
        version: Configuration version in force at the sender.
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
        version: Configuration version in force there.
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


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One proxy as this one knows it.

    Attributes:
        peer: Its address.
        incarnation: Highest incarnation heard of.
        state: What is known of it.
        changed_at: Monotonic time in seconds of the last change of state.
    """

    peer: Peer
    incarnation: int
    state: State
    changed_at: float

    def record(self) -> PeerRecord:
        """Returns the member as messages carry it."""
        peer = self.peer
        return PeerRecord(
            peer.name,
            peer.host,
            peer.port,
            peer.data_centre,
            self.incarnation,
            int(self.state),
        )


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
        version: Returns the configuration version in force here.
        on_version: Gets a peer and the version in force there.
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
        self._members: dict[str, Member] = {}
        # Live members by data centre, and those not known to be well, so that
        # the work of a period does not grow with the fleet.
        self._alive: dict[str, dict[str, Peer]] = {}
        self._doubtful: set[str] = set()
        self._pending: dict[str, int] = {}
        self._queue: list[str] = []
        self._digest = 0
        # Since when the view of each other data centre differs from the own.
        self._differs_since: dict[str, float] = {}
        self._set(me, incarnation=incarnation, state=State.ALIVE)
        network.handle(Ping, self._on_ping)
        network.handle(PingRequest, self._on_ping_request)

    # Views

    def members(self) -> list[Member]:
        """Returns all members, the dead and this proxy included."""
        return list(self._members.values())

    def state_of(self, name: str) -> State:
        """Returns what is known of a member; one not heard of is dead."""
        member = self._members.get(name)
        return State.DEAD if member is None else member.state

    def alive(self, *, data_centre: str | None = None) -> list[Peer]:
        """Returns members that may be alive, this proxy included.

        Args:
            data_centre: Only members there, or None for all.
        """
        if data_centre is not None:
            return list(self._alive.get(data_centre, {}).values())
        return [peer for place in self._alive.values() for peer in place.values()]

    @property
    def unspread(self) -> int:
        """Count of updates that are still being sent on."""
        return len(self._pending)

    def is_delegate(self) -> bool:
        """Tells whether this proxy speaks for its data centre."""
        near = self._alive.get(self.me.data_centre, {})
        first = heapq.nsmallest(DELEGATES, near, key=_delegate_rank)
        return self.me.name in first

    # Life

    async def join(self, seeds: Iterable[Peer]) -> None:
        """Asks ``seeds`` for all members; those that answer are alive."""
        for seed in seeds:
            if seed.name == self.me.name:
                continue
            self._learn(_seed_record(seed), spread=False)
            await self._ping(seed, full=True, spread=False)

    async def run(self) -> None:
        """Probes for as long as the task runs."""
        async for _ in self._timers.every(PROBE_PERIOD_S):
            self._expire()
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._probe_next())
                if self.is_delegate():
                    tasks.create_task(self._exchange_with_other_data_centre())

    async def leave(self) -> None:
        """Tells some members that this proxy is leaving."""
        own = self._members[self.me.name]
        self._set(self.me, incarnation=own.incarnation, state=State.LEFT)
        near = self._others(data_centre=self.me.data_centre)
        targets = self._rng.sample(near, min(len(near), 1 + DELEGATES))
        await asyncio.gather(*(self._ping(peer) for peer in targets))

    # Probes

    async def _probe_next(self) -> None:
        peer = self._next_target()
        if peer is None or await self._ping(peer):
            return
        if await self._ping_indirectly(peer):
            return
        member = self._members[peer.name]
        if member.state is State.ALIVE:
            log.warning("member is suspect", member=peer.name)
            self._set(peer, incarnation=member.incarnation, state=State.SUSPECT)

    def _next_target(self) -> Peer | None:
        near = {p.name: p for p in self._others(data_centre=self.me.data_centre)}
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
        updates = self._take_updates()
        member = self._members.get(peer.name)
        if member is not None and member.state is State.SUSPECT:
            # A suspect must hear of the suspicion to refute it.
            updates = (*updates, member.record())
        ping = Ping(
            updates=updates, version=self._version(), digest=self._digest, full=full
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
            for other in self._others(data_centre=self.me.data_centre)
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
        places = sorted(
            place
            for place, peers in self._alive.items()
            if peers and place != self.me.data_centre
        )
        if not places:
            return
        place = self._rng.choice(places)
        peer = self._rng.choice(list(self._alive[place].values()))
        since = self._differs_since.get(place)
        full = since is not None and self._timers.now() - since >= DISAGREEMENT_S
        if await self._ping(peer, full=full) and full:
            self._differs_since.pop(place, None)

    def _compare(self, place: str, digest: int) -> None:
        if digest == self._digest:
            self._differs_since.pop(place, None)
        else:
            self._differs_since.setdefault(place, self._timers.now())

    async def _on_ping(self, sender: str, ping: Ping) -> Message:
        self._absorb(ping.updates)
        known = self._members.get(sender)
        if known is not None:
            self._on_version(known.peer, ping.version)
        if ping.full:
            records = tuple(member.record() for member in self._members.values())
            return self._pong(records)
        return self._pong(self._take_updates())

    def _pong(self, updates: tuple[PeerRecord, ...]) -> Pong:
        return Pong(updates=updates, version=self._version(), digest=self._digest)

    async def _on_ping_request(self, sender: str, req: PingRequest) -> Message | None:
        target = self._members.get(req.target)
        if target is None or not await self._ping(target.peer):
            return None
        return self._pong(())

    def _take_in(self, peer: Peer, answer: Message, *, spread: bool) -> None:
        match answer:
            case Pong(updates=updates, version=version, digest=digest):
                self._absorb(updates, spread=spread)
                self._compare(peer.data_centre, digest)
                self._on_version(peer, version)

    # Updates

    def _absorb(self, updates: Iterable[PeerRecord], *, spread: bool = True) -> None:
        for update in updates:
            self._learn(update, spread=spread)

    def _learn(self, update: PeerRecord, *, spread: bool) -> None:
        if update.name == self.me.name:
            self._refute(update)
            return
        known = self._members.get(update.name)
        newer = known is None or (update.incarnation, update.state) > (
            known.incarnation,
            known.state,
        )
        if not newer:
            return
        peer = Peer(
            name=update.name,
            host=update.host,
            port=update.port,
            data_centre=update.data_centre,
        )
        self._set(
            peer,
            incarnation=update.incarnation,
            state=State(update.state),
            spread=spread,
        )

    def _refute(self, update: PeerRecord) -> None:
        own = self._members[self.me.name]
        if own.state is State.LEFT or update.incarnation < own.incarnation:
            return
        if update.state == State.ALIVE and update.incarnation == own.incarnation:
            return
        self._set(self.me, incarnation=update.incarnation + 1, state=State.ALIVE)

    def _set(
        self, peer: Peer, *, incarnation: int, state: State, spread: bool = True
    ) -> None:
        known = self._members.get(peer.name)
        if known is not None:
            self._digest ^= _fingerprint(known)
        member = Member(
            peer=peer,
            incarnation=incarnation,
            state=state,
            changed_at=self._timers.now(),
        )
        self._members[peer.name] = member
        self._digest ^= _fingerprint(member)
        self._index(peer, state=state)
        # A member that joins learns what all others know already.
        if not spread:
            return
        self._pending[peer.name] = RETRANSMIT_FACTOR * math.ceil(
            math.log2(len(self._members) + 1)
        )

    def _index(self, peer: Peer, *, state: State) -> None:
        for place in self._alive.values():
            place.pop(peer.name, None)
        if state <= State.SUSPECT:
            self._alive.setdefault(peer.data_centre, {})[peer.name] = peer
        if state is State.ALIVE:
            self._doubtful.discard(peer.name)
        else:
            self._doubtful.add(peer.name)

    def _take_updates(self) -> tuple[PeerRecord, ...]:
        chosen = sorted(self._pending, key=self._pending.__getitem__, reverse=True)
        chosen = chosen[:UPDATES_PER_MESSAGE]
        for name in chosen:
            self._pending[name] -= 1
            if self._pending[name] <= 0:
                del self._pending[name]
        return tuple(self._members[name].record() for name in chosen)

    def _expire(self) -> None:
        now = self._timers.now()
        for name in list(self._doubtful):
            member = self._members[name]
            age_s = now - member.changed_at
            near = member.peer.data_centre == self.me.data_centre
            if member.state is State.SUSPECT and near and age_s >= SUSPECT_S:
                log.warning("member is dead", member=name)
                self._set(member.peer, incarnation=member.incarnation, state=State.DEAD)
            if member.state >= State.DEAD and age_s >= FORGET_S:
                del self._members[name]
                self._doubtful.discard(name)
                self._pending.pop(name, None)

    def _others(self, *, data_centre: str | None = None) -> list[Peer]:
        return [
            peer
            for peer in self.alive(data_centre=data_centre)
            if peer.name != self.me.name
        ]


def _fingerprint(member: Member) -> int:
    if member.state >= State.DEAD:
        # The dead are forgotten at different times in different places.
        return 0
    return xxhash.xxh64_intdigest(f"{member.peer.name} {member.incarnation}".encode())


def _delegate_rank(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())


def _seed_record(seed: Peer) -> PeerRecord:
    # Incarnation 0 is below any that a live member gives itself.
    return PeerRecord(
        seed.name, seed.host, seed.port, seed.data_centre, 0, int(State.ALIVE)
    )
