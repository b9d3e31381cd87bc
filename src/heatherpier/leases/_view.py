"""Members and leaders, as the store's table of the fleet has them."""

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
# Table of members and leaders.
FLEET_TABLE = "fleet"
MEMBER_PREFIX = "member/"
# Members that watch primaries and support leases. The messages of a member don't grow
# with the fleet beyond it, and three of its members may be lost at once.
MAX_VOTERS = 7
LEADER_PREFIX = "leader/"


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """A registered proxy.

    Attributes:
        peer: Its name and address.
        version: Version of its row.
    """

    peer: Peer
    version: int


class FleetView:
    """Decodes the copy of the fleet's table.

    Args:
        copy: The copy.
        timers: Timer service.

    Attributes:
        copy: The copy.
        history: Earlier voter sets and removals.
        leaders: Leadership by service.
        members: Registered proxies by name.
    """

    def __init__(self, copy: TableCopy, *, timers: Timers) -> None:
        self.copy = copy
        self.history = VoterHistory(copy, timers=timers)
        self.leaders: dict[str, LeadershipRecord] = {}
        self.members: dict[str, MemberRecord] = {}
        self._listeners: list[Callable[[str], None]] = []
        copy.subscribe(self._take)

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Has ``listener`` called with each service whose leadership changes.

        It is called before the change counts.
        """
        self._listeners.append(listener)

    def peers(self) -> list[Peer]:
        """Returns all registered proxies."""
        return [item.peer for item in self.members.values()]

    def voters(self) -> frozenset[str]:
        """Returns the names of the members that registered first."""
        oldest = sorted(self.members.values(), key=lambda item: item.version)
        return frozenset(item.peer.name for item in oldest[:MAX_VOTERS])

    def _take(self, row: Row) -> None:
        if row.key.startswith(MEMBER_PREFIX):
            self._take_member(row.key.removeprefix(MEMBER_PREFIX), row)
        elif row.key.startswith(LEADER_PREFIX):
            self._take_leader(row.key.removeprefix(LEADER_PREFIX), row)

    def _take_member(self, name: str, row: Row) -> None:
        if row.body is None:
            self._remove_member(name, row)
            return
        try:
            peer = decode_member(name, row.body)
        except msgspec.MsgspecError as exc:
            _report(row, exc)
            return
        if self.members.pop(name, None) is not None:
            # Its earlier row may have been removed in between.
            self.history.note_voters(self.voters())
        self.members[name] = MemberRecord(peer=peer, version=row.version)
        self.history.note_voters(self.voters())
        log.info("member known", member=name, version=row.version)

    def _remove_member(self, name: str, row: Row) -> None:
        if self.members.pop(name, None) is None:
            self.history.note_gap(row.version)
        self.history.note_removal()
        self.history.note_voters(self.voters())
        log.info("member removed", member=name, version=row.version)

    def _take_leader(self, service: str, row: Row) -> None:
        for listener in self._listeners:
            listener(service)
        if row.body is None:
            self.leaders.pop(service, None)
            return
        try:
            state = decode_leadership(row.body)
        except msgspec.MsgspecError as exc:
            _report(row, exc)
            return
        self.leaders[service] = LeadershipRecord(state=state, version=row.version)
        log.info(
            "leadership known",
            service=service,
            state=msgspec.to_builtins(state),
            version=row.version,
        )


def _report(row: Row, exc: msgspec.MsgspecError) -> None:
    log.warning(
        "row of the fleet can't be read",
        key=row.key,
        version=row.version,
        reason=str(exc),
    )
