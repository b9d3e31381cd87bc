"""Membership of the fleet: failure detection by probes, spread by gossip (SWIM)."""

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
# Members that are asked to ping one that did not answer.
INDIRECT_PROBES = 2
# Members that a leaving proxy notifies directly.
LEAVE_NOTICES = 3
# Gossip spreads an update within this time. If the digest of another data centre
# differs for longer, its complete member table is fetched.
FULL_SYNC_AFTER_S = 15.0


class Ping(Message, frozen=True, tag="ping"):
    """Asks a member whether it is alive.

    Attributes:
        updates: Records that the sender gossips.
        version: Active configuration version at the sender.
        digest: Digest of the sender's live members.
        full: Whether the answer must list all members.
    """

    updates: tuple[PeerRecord, ...]
    version: int
    digest: int = 0
    full: bool = False


class Pong(Message, frozen=True, tag="pong"):
    """Answers a `Ping` or a `PingRequest`.

    Attributes:
        updates: Records that the answering member gossips, or all of its records
            if the ping asked for them.
        version: Active configuration version at the answering member.
        digest: Digest of the answering member's live members.
    """

    updates: tuple[PeerRecord, ...]
    version: int
    digest: int = 0


class PingRequest(Message, frozen=True, tag="ping_request"):
    """Asks a member to ping another one (SWIM's indirect probe).

    Attributes:
        target: Name of the member to ping.
    """

    target: str


MEMBERSHIP_MESSAGES: tuple[type[Message], ...] = (Ping, Pong, PingRequest)


class Membership:
    """Probes the members of the own data centre and gossips changes of members.

    The state of a member is decided in its own data centre only, so that a network
    partition between data centres makes no member suspect. Delegates of each data
    centre exchange updates with other data centres.

    Attributes:
        me: Address of this proxy.
        table: Known members.

    Args:
        me: Address of this proxy.
        network: Sends messages to peers.
        timers: Timer service.
        rng: Random source.
        incarnation: Initial incarnation of this proxy, which must grow with each
            restart.
        version: Returns the active configuration version of this proxy.
        on_version: Called with a peer and the configuration version active there.
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
        self._probe_queue: list[str] = []
        # Monotonic time in seconds since which the digest of each data centre differs
        # from the own one.
        self._differs_since: dict[str, float] = {}
        network.handle(Ping, self._on_ping)
        network.handle(PingRequest, self._on_ping_request)

    def alive(self, *, data_centre: str | None = None) -> list[Peer]:
        """Returns the members in state ALIVE or SUSPECT, including this proxy.

        Args:
            data_centre: Data centre of the members, or None for all.
        """
        return self.table.alive(data_centre=data_centre)

    async def join(self, seeds: Iterable[Peer]) -> None:
        """Fetches the member tables of ``seeds`` and merges them.

        A seed that is unknown enters the table as ALIVE before it has answered.
        """
        for seed in seeds:
            if seed.name == self.me.name:
                continue
            self.table.merge(_seed_record(seed), spread=False)
            await self._ping(seed, full=True, spread=False)

    async def run(self) -> None:
        """Probes and gossips once a period until the task is cancelled."""
        async for _ in self._timers.every(PROBE_PERIOD_S):
            self.table.expire()
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._probe_next())
                if self.table.is_delegate():
                    tasks.create_task(self._exchange_with_other_data_centre())

    async def leave(self) -> None:
        """Marks this proxy as LEFT and notifies `LEAVE_NOTICES` members directly."""
        own = self.table.own()
        self.table.set(self.me, incarnation=own.incarnation, state=MemberState.LEFT)
        local = self.table.others(data_centre=self.me.data_centre)
        targets = self._rng.sample(local, min(len(local), LEAVE_NOTICES))
        await asyncio.gather(*(self._ping(peer) for peer in targets))

    async def _probe_next(self) -> None:
        peer = self._next_target()
        if peer is None or await self._ping(peer):
            return
        if await self._ping_indirectly(peer):
            return
        member = self.table.get(peer.name)
        if member is not None and member.state is MemberState.ALIVE:
            log.warning(
                "member suspected, direct and indirect probes failed", member=peer.name
            )
            self.table.set(
                peer, incarnation=member.incarnation, state=MemberState.SUSPECT
            )

    def _next_target(self) -> Peer | None:
        local = {p.name: p for p in self.table.others(data_centre=self.me.data_centre)}
        while self._probe_queue:
            name = self._probe_queue.pop()
            if name in local:
                return local[name]
        # Probing in shuffled rounds, instead of drawing each target at random,
        # bounds the time between two probes of a member to less than two rounds.
        self._probe_queue = list(local)
        self._rng.shuffle(self._probe_queue)
        return local[self._probe_queue.pop()] if self._probe_queue else None

    async def _ping(
        self, peer: Peer, *, full: bool = False, spread: bool = True
    ) -> bool:
        updates = self.table.take_updates()
        member = self.table.get(peer.name)
        if member is not None and member.state is MemberState.SUSPECT:
            # A suspect can refute the suspicion only if it receives it.
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
        self._process_answer(peer, answer, spread=spread)
        return True

    async def _ping_indirectly(self, peer: Peer) -> bool:
        candidates = [
            other
            for other in self.table.others(data_centre=self.me.data_centre)
            if other.name != peer.name
        ]
        helpers = self._rng.sample(candidates, min(len(candidates), INDIRECT_PROBES))
        request = PingRequest(target=peer.name)
        # The helper's own ping may take PROBE_TIMEOUT_S before it answers.
        answers = await asyncio.gather(
            *(
                self._network.request(helper, request, timeout_s=2 * PROBE_TIMEOUT_S)
                for helper in helpers
            ),
            return_exceptions=True,
        )
        return any(isinstance(answer, Pong) for answer in answers)

    async def _exchange_with_other_data_centre(self) -> None:
        data_centres = self.table.other_data_centres()
        if not data_centres:
            return
        data_centre = self._rng.choice(data_centres)
        peer = self._rng.choice(self.table.alive(data_centre=data_centre))
        since = self._differs_since.get(data_centre)
        full = since is not None and self._timers.now() - since >= FULL_SYNC_AFTER_S
        if await self._ping(peer, full=full) and full:
            self._differs_since.pop(data_centre, None)

    def _compare_digest(self, data_centre: str, digest: int) -> None:
        if digest == self.table.digest:
            self._differs_since.pop(data_centre, None)
        else:
            self._differs_since.setdefault(data_centre, self._timers.now())

    async def _on_ping(self, sender: str, ping: Ping) -> Message:
        self.table.merge_all(ping.updates)
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

    def _process_answer(self, peer: Peer, answer: Message, *, spread: bool) -> None:
        match answer:
            case Pong(updates=updates, version=version, digest=digest):
                self.table.merge_all(updates, spread=spread)
                self._compare_digest(peer.data_centre, digest)
                self._on_version(peer, version)


def _seed_record(seed: Peer) -> PeerRecord:
    # A live member starts above incarnation 0, so its own record always overrides
    # this one.
    return PeerRecord(
        seed.name, seed.host, seed.port, seed.data_centre, 0, int(MemberState.ALIVE)
    )
