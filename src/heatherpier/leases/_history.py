"""Which voter sets were current lately, and when a member was last removed."""

from collections import deque
from dataclasses import dataclass

from heatherpier.leases._messages import PastVoters
from heatherpier.tables import TableCopy
from heatherpier.timers import Timers

# How long earlier voter sets are remembered; longer than any promise between proxies.
MEMORY_S = 30.0

PastVoterSet = tuple[float, frozenset[str]]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Learned:
    """What a peer told of the time before this proxy's own knowledge.

    Attributes:
        joins: Start of the own knowledge that it reaches up to, and its version.
        since: Time since which the peer knows all voter sets.
        removed_at: When a member was last removed, as far as the peer knows.
        voter_sets: When each of its voter sets ended, and the names.
    """

    joins: tuple[float, int]
    since: float
    removed_at: float
    voter_sets: tuple[PastVoterSet, ...]


class VoterHistory:
    """Remembers voter sets for as long as a promise may rest on them.

    All times are in seconds by `Timers.elapsed`.

    Args:
        copy: Copy of the fleet's table.
        timers: Timer service.
    """

    def __init__(self, copy: TableCopy, *, timers: Timers) -> None:
        self._copy = copy
        self._timers = timers
        self._current: frozenset[str] = frozenset()
        # When each earlier voter set ended, the oldest first.
        self._past: deque[PastVoterSet] = deque()
        self._removed_at = float("-inf")
        self._gap_at = float("-inf")
        self._gap_version = 0
        self._learned: _Learned | None = None

    def note_voters(self, voters: frozenset[str]) -> None:
        """Takes in the voters that are current from now on."""
        if voters == self._current:
            return
        now = self._timers.elapsed()
        self._past.append((now, self._current))
        self._current = voters
        while self._past[0][0] < now - MEMORY_S:
            self._past.popleft()

    def note_removal(self) -> None:
        """Takes in that a member was removed."""
        self._removed_at = self._timers.elapsed()

    def note_gap(self, version: int) -> None:
        """Takes in that a voter set came and went unseen.

        Args:
            version: Version of the fleet's table at which that was over.
        """
        self._gap_at = self._timers.elapsed()
        self._gap_version = version

    def known_since(self) -> float:
        """Returns the time since which all voter sets and removals are known."""
        learned = self._valid()
        return self._beginning()[0] if learned is None else learned.since

    def last_removal(self) -> float:
        """Returns when the last member may have been removed."""
        learned = self._valid()
        told = float("-inf") if learned is None else learned.removed_at
        return max(self._removed_at, told, self.known_since())

    def voter_sets_since(self, moment: float) -> list[frozenset[str]] | None:
        """Returns each voter set that was current at some time since then.

        Args:
            moment: The time, at most `MEMORY_S` ago.

        Returns:
            The sets of names, or None if they are not known for so long.
        """
        if moment < self.known_since():
            return None
        learned = self._valid()
        told = () if learned is None else learned.voter_sets
        past = [names for ended, names in (*told, *self._past) if ended >= moment]
        return [*past, self._current]

    # Exchange with peers

    def describe(self) -> PastVoters:
        """Returns what is known here, for a peer that began later."""
        now = self._timers.elapsed()
        learned = self._valid()
        told = () if learned is None else learned.voter_sets
        return PastVoters(
            version=self._copy.version,
            known_s=min(now - self.known_since(), MEMORY_S),
            removed_s=min(now - self.last_removal(), MEMORY_S),
            panels=[
                (now - ended, sorted(names))
                for ended, names in (*told, *self._past, (now, self._current))
            ],
        )

    def learn(self, told: PastVoters) -> None:
        """Takes in what a peer knows of the time before this proxy's knowledge."""
        if told.version < self._beginning()[1]:
            # Between the peer's knowledge and the own one something may be missing.
            return
        # The answer's way makes these times later than they were, which is safe.
        now = self._timers.elapsed()
        if now - told.known_s >= self.known_since():
            return
        self._learned = _Learned(
            joins=self._beginning(),
            since=now - told.known_s,
            removed_at=now - told.removed_s,
            voter_sets=tuple(
                (now - age_s, frozenset(names)) for age_s, names in told.panels
            ),
        )

    def _beginning(self) -> tuple[float, int]:
        """Returns the time and version since which this proxy has seen all itself."""
        copy = self._copy
        return (
            max(copy.followed_since, self._gap_at),
            max(copy.read_version, self._gap_version),
        )

    def _valid(self) -> _Learned | None:
        """Returns what a peer told, unless there is a gap after it."""
        if self._learned is None or self._learned.joins != self._beginning():
            return None
        return self._learned
