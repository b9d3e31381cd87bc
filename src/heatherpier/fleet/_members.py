"""Member table of one proxy, with the updates that it still has to gossip."""

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

# A suspect member that does not refute within this time is declared dead.
SUSPECT_TIMEOUT_S = 3.0
# Dead members and those that left are removed from the table after this time.
DEAD_RETENTION_S = 600.0
DELEGATES_PER_DATA_CENTRE = 2
MAX_UPDATES_PER_MESSAGE = 8
# Each update is sent RETRANSMIT_FACTOR * ceil(log2(members + 1)) times.
RETRANSMIT_FACTOR = 3


class MemberState(IntEnum):
    """State of a member. At the same incarnation the higher value overrides."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """What this proxy knows of one member.

    Attributes:
        peer: Address of the member.
        incarnation: Highest incarnation received.
        state: Latest state at that incarnation.
        changed_at: Monotonic time in seconds of the last change of state.
    """

    peer: Peer
    incarnation: int
    state: MemberState
    changed_at: float

    def record(self) -> PeerRecord:
        """Returns the record that messages carry of the member."""
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

    Attributes:
        me: Address of this proxy.
        digest: XOR of the hashes of the live members' names and incarnations, so
            that tables with the same live members have equal digests.

    Args:
        me: Address of this proxy.
        timers: Timer service.
        incarnation: Initial incarnation of this proxy.
    """

    def __init__(self, me: Peer, *, timers: Timers, incarnation: int) -> None:
        self.me = me
        self.digest = 0
        self._timers = timers
        self._members: dict[str, Member] = {}
        # These two indexes, live members by data centre and names of members that
        # are not ALIVE, keep the work of a probe period independent of the size
        # of the fleet.
        self._alive: dict[str, dict[str, Peer]] = {}
        self._not_alive: set[str] = set()
        # Number of messages that still have to carry each updated member.
        self._pending: dict[str, int] = {}
        self.set(me, incarnation=incarnation, state=MemberState.ALIVE)

    def members(self) -> list[Member]:
        """Returns all members, including dead ones and this proxy."""
        return list(self._members.values())

    def state_of(self, name: str) -> MemberState:
        """Returns the state of a member, which is DEAD for an unknown one."""
        member = self._members.get(name)
        return MemberState.DEAD if member is None else member.state

    def alive(self, *, data_centre: str | None = None) -> list[Peer]:
        """Returns the members in state ALIVE or SUSPECT, including this proxy.

        Args:
            data_centre: Data centre of the members, or None for all.
        """
        if data_centre is not None:
            return list(self._alive.get(data_centre, {}).values())
        return [peer for peers in self._alive.values() for peer in peers.values()]

    @property
    def pending_update_count(self) -> int:
        """Number of updates that still have to be gossiped."""
        return len(self._pending)

    def get(self, name: str) -> Member | None:
        """Returns a member, or None if it is unknown."""
        return self._members.get(name)

    def own(self) -> Member:
        """Returns this proxy's own entry."""
        return self._members[self.me.name]

    def others(self, *, data_centre: str | None = None) -> list[Peer]:
        """Returns the members in state ALIVE or SUSPECT, without this proxy.

        Args:
            data_centre: Data centre of the members, or None for all.
        """
        return [
            peer
            for peer in self.alive(data_centre=data_centre)
            if peer.name != self.me.name
        ]

    def other_data_centres(self) -> list[str]:
        """Returns the other data centres that have a live member."""
        return sorted(
            data_centre
            for data_centre, peers in self._alive.items()
            if peers and data_centre != self.me.data_centre
        )

    def records(self) -> tuple[PeerRecord, ...]:
        """Returns the records of all members."""
        return tuple(member.record() for member in self._members.values())

    def is_delegate(self) -> bool:
        """Returns whether this proxy gossips with other data centres.

        The delegates are the live members with the lowest hashes of their names,
        so that proxies with equal tables agree on them without messages.
        """
        local = self._alive.get(self.me.data_centre, {})
        delegates = heapq.nsmallest(
            DELEGATES_PER_DATA_CENTRE, local, key=_delegate_rank
        )
        return self.me.name in delegates

    def merge_all(self, updates: Iterable[PeerRecord], *, spread: bool = True) -> None:
        """Merges the records that a peer sent.

        Args:
            updates: Records of members.
            spread: Whether to gossip those that change the table.
        """
        for update in updates:
            self.merge(update, spread=spread)

    def merge(self, update: PeerRecord, *, spread: bool) -> None:
        """Merges one record; ignores it unless it is newer than the known one.

        Args:
            update: Record of a member. One of this proxy itself is refuted.
            spread: Whether to gossip the record if it changes the table.
        """
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
        """Overrides a record of this proxy that others hold, unless it is leaving.

        A record counts as wrong if its incarnation is higher than the own one, as
        after a restart, or if it is equal and the state is not ALIVE.
        """
        own = self.own()
        if own.state is MemberState.LEFT or update.incarnation < own.incarnation:
            return
        if update.state == MemberState.ALIVE and update.incarnation == own.incarnation:
            return
        self.set(self.me, incarnation=update.incarnation + 1, state=MemberState.ALIVE)

    def set(
        self, peer: Peer, *, incarnation: int, state: MemberState, spread: bool = True
    ) -> None:
        """Replaces the entry of a member.

        Args:
            peer: Address of the member.
            incarnation: Its incarnation.
            state: Its state.
            spread: Whether to gossip the new entry.
        """
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
        # A joining proxy receives records that all others have already, so it does
        # not gossip them.
        if not spread:
            return
        self._pending[peer.name] = RETRANSMIT_FACTOR * math.ceil(
            math.log2(len(self._members) + 1)
        )

    def _index(self, peer: Peer, *, state: MemberState) -> None:
        for peers in self._alive.values():
            peers.pop(peer.name, None)
        if state <= MemberState.SUSPECT:
            self._alive.setdefault(peer.data_centre, {})[peer.name] = peer
        if state is MemberState.ALIVE:
            self._not_alive.discard(peer.name)
        else:
            self._not_alive.add(peer.name)

    def take_updates(self) -> tuple[PeerRecord, ...]:
        """Returns the records for the next message and counts them as sent once.

        Those with the most transmissions left come first.
        """
        chosen = sorted(self._pending, key=self._pending.__getitem__, reverse=True)
        chosen = chosen[:MAX_UPDATES_PER_MESSAGE]
        for name in chosen:
            self._pending[name] -= 1
            if self._pending[name] <= 0:
                del self._pending[name]
        return tuple(self._members[name].record() for name in chosen)

    def expire(self) -> None:
        """Declares overdue suspects dead and removes members that are long dead.

        Only suspects of the own data centre are declared dead here; the state of
        other members is decided in their data centres.
        """
        now = self._timers.now()
        for name in list(self._not_alive):
            member = self._members[name]
            age_s = now - member.changed_at
            local = member.peer.data_centre == self.me.data_centre
            if (
                member.state is MemberState.SUSPECT
                and local
                and age_s >= SUSPECT_TIMEOUT_S
            ):
                log.warning("suspect member declared dead", member=name)
                self.set(
                    member.peer, incarnation=member.incarnation, state=MemberState.DEAD
                )
            if member.state >= MemberState.DEAD and age_s >= DEAD_RETENTION_S:
                del self._members[name]
                self._not_alive.discard(name)
                self._pending.pop(name, None)


def _fingerprint(member: Member) -> int:
    if member.state >= MemberState.DEAD:
        # Proxies remove dead members at different times, which must not make
        # their digests differ.
        return 0
    return xxhash.xxh64_intdigest(f"{member.peer.name} {member.incarnation}".encode())


def _delegate_rank(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
