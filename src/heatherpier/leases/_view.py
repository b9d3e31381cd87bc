"""Members and leaders, decoded from the copy of the fleet's table."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from heatherpier.fleet import Peer
from heatherpier.leases._history import VoterHistory
from heatherpier.leases._records import (
    LeadershipRecord,
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
    """

    peer: Peer
    version: int


class FleetView:
    """Members, voters and leaders in this proxy's copy of the fleet's table.

    Args:
        copy: Copy of the fleet's table.
        timers: Timer service.

    Attributes:
        copy: Copy of the fleet's table.
        history: Past voter sets and removals.
        leaders: Leadership row by service.
        members: Registered proxies by name.
    """

    def __init__(self, copy: TableCopy, *, timers: Timers) -> None:
        self.copy = copy
        self.history = VoterHistory(copy, timers=timers)
        self.leaders: dict[str, LeadershipRecord] = {}
        self.members: dict[str, MemberRecord] = {}
        self._listeners: list[Callable[[str], None]] = []
        copy.subscribe(self._apply)

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Registers a function to call with each service whose leadership changes.

        It is called before the change is applied, so it still sees the old leadership.
        """
        self._listeners.append(listener)

    def peers(self) -> list[Peer]:
        """Returns all registered proxies."""
        return [item.peer for item in self.members.values()]

    def voters(self) -> frozenset[str]:
        """Returns the names of the `MAX_VOTERS` members that registered first."""
        oldest = sorted(self.members.values(), key=lambda item: item.version)
        return frozenset(item.peer.name for item in oldest[:MAX_VOTERS])

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
            peer = decode_member(name, row.body)
        except msgspec.MsgspecError as exc:
            _log_undecodable(row, exc)
            return
        if self.members.pop(name, None) is not None:
            # The member's row may have been removed and written again in between. The
            # voter set without the member then was current, so it is recorded.
            self.history.note_voters(self.voters())
        self.members[name] = MemberRecord(peer=peer, version=row.version)
        self.history.note_voters(self.voters())
        log.info("member row received", member=name, version=row.version)

    def _remove_member(self, name: str, row: Row) -> None:
        if self.members.pop(name, None) is None:
            # The member joined and was removed unseen. It may have been a voter.
            self.history.note_gap(row.version)
        self.history.note_removal()
        self.history.note_voters(self.voters())
        log.info("member removed", member=name, version=row.version)

    def _apply_leadership(self, service: str, row: Row) -> None:
        for listener in self._listeners:
            listener(service)
        if row.body is None:
            self.leaders.pop(service, None)
            return
        try:
            state = decode_leadership(row.body)
        except msgspec.MsgspecError as exc:
            _log_undecodable(row, exc)
            return
        self.leaders[service] = LeadershipRecord(state=state, version=row.version)
        log.info(
            "leadership row received",
            service=service,
            state=msgspec.to_builtins(state),
            version=row.version,
        )


def _log_undecodable(row: Row, exc: msgspec.MsgspecError) -> None:
    log.warning(
        "fleet row can't be decoded",
        key=row.key,
        version=row.version,
        reason=str(exc),
    )
