"""Voter sets that were current recently, and the time of the last removal."""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass

from heatherpier.fleet import Peer
from heatherpier.leases._messages import PastVoters
from heatherpier.tables import TableCopy
from heatherpier.timers import Timers

# Retention of past voter sets; longer than any grant may rest on one of them.
RETENTION_S = 30.0

# When the voter set ended, by `Timers.elapsed`, and the names of the voters.
PastVoterSet = tuple[float, frozenset[str]]


@dataclass(frozen=True, slots=True, kw_only=True)
class _PeerHistory:
    """A peer's history of the time before this proxy's own history starts.

    Times are in seconds by `Timers.elapsed`.

    Attributes:
        local_start: Time and table version at which this proxy's own history started
            when the peer's history was added. If it starts elsewhere now, there is a
            gap between the two histories.
        known_since: Time since which the peer knows all voter sets and removals.
        removed_at: Time of the last removal of a member, as far as the peer knows.
        voter_sets: The peer's voter sets.
    """

    local_start: tuple[float, int]
    known_since: float
    removed_at: float
    voter_sets: tuple[PastVoterSet, ...]


class VoterHistory:
    """Keeps past voter sets for as long as a grant may rest on them.

    A proxy that relies on grants counts them in the voter set that it knows, which may
    be a past one. A proxy that replaces a primary therefore needs every recent voter
    set.

    All times are in seconds by `Timers.elapsed`.

    Args:
        copy: Copy of the fleet's table.
        timers: Timer service.
    """

    def __init__(self, copy: TableCopy, *, timers: Timers) -> None:
        self._copy = copy
        self._timers = timers
        self._current: frozenset[str] = frozenset()
        # Past voter sets in the order in which they ended.
        self._past: deque[PastVoterSet] = deque()
        # Time of the last removal of each member that was removed recently.
        self._removed_at: dict[Peer, float] = {}
        self._gap_at = float("-inf")
        self._gap_version = 0
        self._peer_history: _PeerHistory | None = None

    def note_voters(self, voters: frozenset[str]) -> None:
        """Records the voter set that is current from now on."""
        if voters == self._current:
            return
        now = self._timers.elapsed()
        self._past.append((now, self._current))
        self._current = voters
        while self._past[0][0] < now - RETENTION_S:
            self._past.popleft()

    def note_removal(self, peer: Peer) -> None:
        """Records that a member is removed now."""
        now = self._timers.elapsed()
        self._removed_at[peer] = now
        self._removed_at = {
            item: at for item, at in self._removed_at.items() if at >= now - RETENTION_S
        }

    def note_gap(self, version: int) -> None:
        """Records that a voter set may have been current without being seen here.

        The known history starts anew at this time.

        Args:
            version: Version of the fleet's table at which that voter set had ended.
        """
        self._gap_at = self._timers.elapsed()
        self._gap_version = version

    def known_since(self) -> float:
        """Returns the time since which all voter sets and removals are known."""
        earlier = self._valid_peer_history()
        return self._local_start()[0] if earlier is None else earlier.known_since

    def last_removal(self, *, ignored: Collection[Peer] = ()) -> float:
        """Returns the latest time at which a member may have been removed.

        A removal before the known history can't be excluded, so the result is never
        earlier than the start of that history.

        Args:
            ignored: Members whose removal does not count.
        """
        earlier = self._valid_peer_history()
        earlier_removal = float("-inf") if earlier is None else earlier.removed_at
        removals = (at for peer, at in self._removed_at.items() if peer not in ignored)
        return max(*removals, earlier_removal, self.known_since())

    def voter_sets_since(self, since: float) -> list[frozenset[str]] | None:
        """Returns each voter set that was current at some time since ``since``.

        Args:
            since: Time, at most `RETENTION_S` ago.

        Returns:
            The sets of names, or None if the known history starts after ``since``.
        """
        if since < self.known_since():
            return None
        earlier = self._valid_peer_history()
        earlier_sets = () if earlier is None else earlier.voter_sets
        past = [
            names for ended, names in (*earlier_sets, *self._past) if ended >= since
        ]
        return [*past, self._current]

    def to_message(self) -> PastVoters:
        """Returns the known history, for a peer whose history starts later."""
        now = self._timers.elapsed()
        earlier = self._valid_peer_history()
        earlier_sets = () if earlier is None else earlier.voter_sets
        return PastVoters(
            version=self._copy.version,
            known_s=min(now - self.known_since(), RETENTION_S),
            removed_s=min(now - self.last_removal(), RETENTION_S),
            panels=[
                (now - ended, sorted(names))
                for ended, names in (*earlier_sets, *self._past, (now, self._current))
            ],
        )

    def extend_from_peer(self, message: PastVoters) -> None:
        """Extends the known history into the past by that of a peer.

        The peer's history is ignored if it reaches less far back. It is also ignored
        if it ends at an earlier version than the one at which this proxy's own history
        starts: voter sets in between would be missing.
        """
        if message.version < self._local_start()[1]:
            return
        # The ages were measured when the peer answered. Counted from now, they give
        # later times by the network delay: the history seems to start, voter sets to
        # end and removals to happen later than they did. The fence then waits longer.
        now = self._timers.elapsed()
        if now - message.known_s >= self.known_since():
            return
        self._peer_history = _PeerHistory(
            local_start=self._local_start(),
            known_since=now - message.known_s,
            removed_at=now - message.removed_s,
            voter_sets=tuple(
                (now - age_s, frozenset(names)) for age_s, names in message.panels
            ),
        )

    def _local_start(self) -> tuple[float, int]:
        """Returns the time and table version since which this proxy has seen it all."""
        copy = self._copy
        return (
            max(copy.followed_since, self._gap_at),
            max(copy.read_version, self._gap_version),
        )

    def _valid_peer_history(self) -> _PeerHistory | None:
        """Returns the peer's history, or None if a gap has opened after it."""
        if (
            self._peer_history is None
            or self._peer_history.local_start != self._local_start()
        ):
            return None
        return self._peer_history
