"""The members that one proxy knows, and what it has yet to pass on."""

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

import xxhash

from heatherpier.fleet._interface import Peer
from heatherpier.fleet._messages import PeerRecord
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("fleet")

SUSPECT_S = 3.0
FORGET_S = 600.0
DELEGATES = 2
UPDATES_PER_MESSAGE = 8
# Each update is sent this many times the logarithm of the fleet's size.
RETRANSMIT_FACTOR = 3


class MemberState(IntEnum):
    """What is known of a member. A higher value wins at the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


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
    state: MemberState
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


class MemberTable:
    """Members by name, with the newest record of each.

    Args:
        me: Own address.
        timers: Timer service.
        incarnation: First own incarnation.
    """

    def __init__(self, me: Peer, *, timers: Timers, incarnation: int) -> None:
        self.me = me
        self.digest = 0
        self._timers = timers
        self._members: dict[str, Member] = {}
        # Live members by data centre, and those not known to be well, so that
        # the work of a period does not grow with the fleet.
        self._alive: dict[str, dict[str, Peer]] = {}
        self._doubtful: set[str] = set()
        self._pending: dict[str, int] = {}
        self.set(me, incarnation=incarnation, state=MemberState.ALIVE)

    def members(self) -> list[Member]:
        """Returns all members, the dead and this proxy included."""
        return list(self._members.values())

    def state_of(self, name: str) -> MemberState:
        """Returns what is known of a member; one not heard of is dead."""
        member = self._members.get(name)
        return MemberState.DEAD if member is None else member.state

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

    def get(self, name: str) -> Member | None:
        """Returns a member, or None if it was not heard of."""
        return self._members.get(name)

    def own(self) -> Member:
        """Returns this proxy as a member."""
        return self._members[self.me.name]

    def others(self, *, data_centre: str | None = None) -> list[Peer]:
        """Returns members that may be alive, without this proxy."""
        return [
            peer
            for peer in self.alive(data_centre=data_centre)
            if peer.name != self.me.name
        ]

    def other_places(self) -> list[str]:
        """Returns the other data centres that have a live member."""
        return sorted(
            place
            for place, peers in self._alive.items()
            if peers and place != self.me.data_centre
        )

    def records(self) -> tuple[PeerRecord, ...]:
        """Returns all members as messages carry them."""
        return tuple(member.record() for member in self._members.values())

    def is_delegate(self) -> bool:
        """Tells whether this proxy speaks for its data centre."""
        near = self._alive.get(self.me.data_centre, {})
        first = heapq.nsmallest(DELEGATES, near, key=_delegate_rank)
        return self.me.name in first

    def absorb(self, updates: Iterable[PeerRecord], *, spread: bool = True) -> None:
        """Takes in what a peer told.

        Args:
            updates: Records of members.
            spread: Whether news among them are to be passed on.
        """
        for update in updates:
            self.learn(update, spread=spread)

    def learn(self, update: PeerRecord, *, spread: bool) -> None:
        """Takes in one record, unless a newer one is known."""
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
        self.set(
            peer,
            incarnation=update.incarnation,
            state=MemberState(update.state),
            spread=spread,
        )

    def _refute(self, update: PeerRecord) -> None:
        own = self.own()
        if own.state is MemberState.LEFT or update.incarnation < own.incarnation:
            return
        if update.state == MemberState.ALIVE and update.incarnation == own.incarnation:
            return
        self.set(self.me, incarnation=update.incarnation + 1, state=MemberState.ALIVE)

    def set(
        self, peer: Peer, *, incarnation: int, state: MemberState, spread: bool = True
    ) -> None:
        """Sets what is known of a member."""
        known = self._members.get(peer.name)
        if known is not None:
            self.digest ^= _fingerprint(known)
        member = Member(
            peer=peer,
            incarnation=incarnation,
            state=state,
            changed_at=self._timers.now(),
        )
        self._members[peer.name] = member
        self.digest ^= _fingerprint(member)
        self._index(peer, state=state)
        # A member that joins learns what all others know already.
        if not spread:
            return
        self._pending[peer.name] = RETRANSMIT_FACTOR * math.ceil(
            math.log2(len(self._members) + 1)
        )

    def _index(self, peer: Peer, *, state: MemberState) -> None:
        for place in self._alive.values():
            place.pop(peer.name, None)
        if state <= MemberState.SUSPECT:
            self._alive.setdefault(peer.data_centre, {})[peer.name] = peer
        if state is MemberState.ALIVE:
            self._doubtful.discard(peer.name)
        else:
            self._doubtful.add(peer.name)

    def take_updates(self) -> tuple[PeerRecord, ...]:
        """Returns the records that the next message carries."""
        chosen = sorted(self._pending, key=self._pending.__getitem__, reverse=True)
        chosen = chosen[:UPDATES_PER_MESSAGE]
        for name in chosen:
            self._pending[name] -= 1
            if self._pending[name] <= 0:
                del self._pending[name]
        return tuple(self._members[name].record() for name in chosen)

    def expire(self) -> None:
        """Declares near suspects dead in time, and forgets the long dead."""
        now = self._timers.now()
        for name in list(self._doubtful):
            member = self._members[name]
            age_s = now - member.changed_at
            near = member.peer.data_centre == self.me.data_centre
            if member.state is MemberState.SUSPECT and near and age_s >= SUSPECT_S:
                log.warning("member is dead", member=name)
                self.set(
                    member.peer, incarnation=member.incarnation, state=MemberState.DEAD
                )
            if member.state >= MemberState.DEAD and age_s >= FORGET_S:
                del self._members[name]
                self._doubtful.discard(name)
                self._pending.pop(name, None)


def _fingerprint(member: Member) -> int:
    if member.state >= MemberState.DEAD:
        # The dead are forgotten at different times in different places.
        return 0
    return xxhash.xxh64_intdigest(f"{member.peer.name} {member.incarnation}".encode())


def _delegate_rank(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
