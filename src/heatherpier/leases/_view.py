"""Members and leaders, decoded from the copy of the fleet's table."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from heatherpier.decoding import DECODE_ERRORS
from heatherpier.fleet import Peer
from heatherpier.leases._history import VoterHistory
from heatherpier.leases._records import (
    Confirming,
    LeadershipRecord,
    Led,
    decode_leadership,
    decode_member,
)
from heatherpier.tables import Row, TableCopy
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# Table of the store with the rows of members and leaderships.
FLEET_TABLE = "fleet"
MEMBER_PREFIX = "member/"
# Number of members that watch primaries and give grants. The limit keeps a member's
# messages from growing with the fleet, and 7 voters tolerate the loss of 3 at once.
MAX_VOTERS = 7
LEADER_PREFIX = "leader/"


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """A registered proxy.

    Attributes:
        peer: Name and address of the proxy.
        version: Version of the member's row.
        capacity: Relative capacity of its VM; 1 if its row lacks it.
    """

    peer: Peer
    version: int
    capacity: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ViewBeforeRestore:
    """The last view of the epoch before a restore of the store.

    Attributes:
        epoch: The epoch.
        as_of: Time in seconds by `Timers.elapsed` at which the view was complete.
        leaders: Leadership row by service.
        voters: The voters.
    """

    epoch: int
    as_of: float
    leaders: dict[str, LeadershipRecord]
    voters: tuple[Peer, ...]

    def primary(self, service: str) -> Led | None:
        """Returns who led a service, or None if that changed or was not recorded."""
        record = self.leaders.get(service)
        if record is None or not isinstance(record.state, Led):
            return None
        return record.state

    def has_primary(self, service: str) -> bool:
        """Returns whether a service had a primary that no change was replacing."""
        never_changed = self.epoch == 0 and service not in self.leaders
        return never_changed or self.primary(service) is not None

    def version(self, service: str) -> int:
        """Returns the version of a service's leadership row, or 0 if there was none."""
        record = self.leaders.get(service)
        return 0 if record is None else record.version


class FleetView:
    """Members, voters and leaders in this proxy's copy of the fleet's table.

    Args:
        copy: Copy of the fleet's table.
        timers: Timer service.

    Attributes:
        copy: Copy of the fleet's table.
        history: Past voter sets and removals.
        leaders: Leadership row by service, without rows that don't count in the
            present epoch of the store.
        unconfirmed: Version of the row that doesn't count, by service.
        members: Registered proxies by name.
        before_restore: The last view of the previous epoch, or None if this process
            has seen no other epoch.
    """

    def __init__(self, copy: TableCopy, *, timers: Timers) -> None:
        self.copy = copy
        self.history = VoterHistory(copy, timers=timers)
        self.leaders: dict[str, LeadershipRecord] = {}
        self.unconfirmed: dict[str, int] = {}
        self.members: dict[str, MemberRecord] = {}
        self.before_restore: ViewBeforeRestore | None = None
        self._timers = timers
        self._voters: frozenset[str] | None = None
        self._listeners: list[Callable[[str], None]] = []
        copy.subscribe(self._apply)
        copy.subscribe_to_epochs(self._keep_view)

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Registers a function to call with each service whose leadership changes.

        It is called before the change is applied, so it still sees the old leadership.
        """
        self._listeners.append(listener)

    def needs_confirmation(self, service: str) -> bool:
        """Returns whether no row of the present epoch says who leads a service.

        Before the first restore, a service without a row was never changed. After one,
        its row may have been discarded.
        """
        record = self.leaders.get(service)
        if record is None:
            return self.copy.epoch > 0 or service in self.unconfirmed
        return isinstance(record.state, Confirming)

    def leadership_version(self, service: str) -> int:
        """Returns the version of a service's leadership row, or 0 if there is none."""
        record = self.leaders.get(service)
        if record is not None:
            return record.version
        return self.unconfirmed.get(service, 0)

    def _keep_view(self) -> None:
        names = self.voters()
        self.before_restore = ViewBeforeRestore(
            epoch=self.copy.epoch,
            as_of=self._timers.elapsed() - self.copy.age_s(),
            leaders=dict(self.leaders),
            voters=tuple(peer for peer in self.peers() if peer.name in names),
        )

    def peers(self) -> list[Peer]:
        """Returns all registered proxies."""
        return [item.peer for item in self.members.values()]

    def voters(self) -> frozenset[str]:
        """Returns the names of the `MAX_VOTERS` members that registered first."""
        if self._voters is None:
            # Each check of a lease needs the voters, and several are made for each
            # statement, so they are kept until the members change.
            oldest = sorted(self.members.values(), key=lambda item: item.version)
            self._voters = frozenset(item.peer.name for item in oldest[:MAX_VOTERS])
        return self._voters

    def _apply(self, row: Row) -> None:
        if row.key.startswith(MEMBER_PREFIX):
            self._apply_member(row.key.removeprefix(MEMBER_PREFIX), row)
        elif row.key.startswith(LEADER_PREFIX):
            self._apply_leadership(row.key.removeprefix(LEADER_PREFIX), row)

    def _apply_member(self, name: str, row: Row) -> None:
        if row.body is None:
            self._remove_member(name, row)
            return
        try:
            peer, capacity = decode_member(name, row.body)
        except DECODE_ERRORS as exc:
            _log_undecodable(row, exc)
            return
        self._voters = None
        if self.members.pop(name, None) is not None:
            # The member's row may have been removed and written again in between. The
            # voter set without the member then was current, so it is recorded.
            self.history.note_voters(self.voters())
        self._voters = None
        self.members[name] = MemberRecord(
            peer=peer, version=row.version, capacity=capacity
        )
        self.history.note_voters(self.voters())
        log.info("member row received", member=name, version=row.version)

    def _remove_member(self, name: str, row: Row) -> None:
        self._voters = None
        removed = self.members.pop(name, None)
        if removed is None:
            # The member joined and was removed unseen. It may have been a voter.
            self.history.note_gap(row.version)
        else:
            self.history.note_removal(removed.peer)
        self.history.note_voters(self.voters())
        log.info("member removed", member=name, version=row.version)

    def _apply_leadership(self, service: str, row: Row) -> None:
        for listener in self._listeners:
            listener(service)
        self.unconfirmed.pop(service, None)
        if row.body is None:
            self.leaders.pop(service, None)
            return
        try:
            state = decode_leadership(row.body)
        except DECODE_ERRORS as exc:
            # Another build may have written a state that this one does not know. The
            # row before it no longer says who leads.
            _log_undecodable(row, exc)
            self.leaders.pop(service, None)
            self.unconfirmed[service] = row.version
            return
        record = LeadershipRecord(state=state, version=row.version)
        if record.counts:
            self.leaders[service] = record
        else:
            self.leaders.pop(service, None)
            self.unconfirmed[service] = row.version
        log.info(
            "leadership row received",
            service=service,
            state=msgspec.to_builtins(state),
            version=row.version,
            counts=record.counts,
        )


def _log_undecodable(row: Row, exc: Exception) -> None:
    log.warning(
        "fleet row can't be decoded",
        key=row.key,
        version=row.version,
        reason=str(exc),
    )
