"""What the members' table shows of this proxy's standing in the fleet."""

from heatherpier.fleet import Peer
from heatherpier.leases import MEMBER_PREFIX, FleetView
from heatherpier.quotas._allocators import (
    MAX_VIEW_AGE_S,
    REMOVED_RETENTION_S,
    Standing,
    first_allocators,
    proving_members,
)
from heatherpier.tables import Row, number_of
from heatherpier.timers import Timers

# Rows that say which version of a member's row has stood for `MAX_VIEW_AGE_S`.
STOOD_PREFIX = "stood/"
# End of the content of such a row that was written again `FIRST_VIEW_AGE_S` later.
SETTLED = b" settled"
# Time for which the row has stood when its proof is written. With the first proof, the
# shorter times that apply in a new deployment end; members that joined within 3 s of
# the first one need no pause then.
PROOF_AFTER_S = MAX_VIEW_AGE_S + 3.0
# Time after which a new member counts, with a margin for slow clocks.
JOINING_S = PROOF_AFTER_S - 0.25
# Age of the copy up to which a restore of the store leaves the standing of this
# proxy's row as it is. Up to this age, those that saw a removal which the restore undid
# count the row as present for as long as their copies may be used.
MAX_AGE_AT_RESTORE_S = REMOVED_RETENTION_S - MAX_VIEW_AGE_S


class FleetRows:
    """Follows members, their removals and this proxy's own row.

    It has to be created before the first read of the table. All times are in seconds
    by `Timers.elapsed`.

    Args:
        me: This proxy.
        view: Members of the fleet.
        timers: Timer service.
    """

    def __init__(self, me: Peer, *, view: FleetView, timers: Timers) -> None:
        self._me = me
        self._view = view
        self._timers = timers
        self._began = timers.elapsed()
        # Time of the removal of each recently removed member.
        self._removed_at: dict[str, float] = {}
        # Versions of the members' rows, without the epoch.
        self._versions: dict[str, int] = {}
        # Times until which members that have joined certainly create no rights.
        self._joining_until: dict[str, float] = {}
        # Since when all removals are known; None until the first read.
        self._followed_since: float | None = None
        self._own_version = 0
        self._proven_since = float("inf")
        self._own_since = float("inf")
        self._restored_at = float("-inf")
        # Lowest version of a proof of any member, without the epoch; infinite as long
        # as no member's row was ever proven to have stood long enough.
        self._first_proof = float("inf")
        self._first: tuple[str, ...] | None = None
        self._proving: tuple[str, ...] = ()
        view.copy.subscribe(self._apply)
        view.copy.subscribe_to_whole_reads(self._note_whole_read)
        view.copy.subscribe_to_epochs(self._note_restore)

    def standing(self) -> Standing:
        """Returns what this proxy knows of the fleet now."""
        now = self._timers.elapsed()
        view_age_s = self._view.copy.age_s()
        since = self._followed_since
        if since is None:
            # The first rows were changes, and no whole read has come since.
            since = self._view.copy.followed_since
        return Standing(
            view_age_s=view_age_s,
            row_stood_s=self._row_stood_s(now - view_age_s),
            followed_s=now - since,
            running_s=now - self._began,
            proven=self.is_proven() and self._restored_for_s() >= MAX_VIEW_AGE_S,
            settled=self.is_settled() and self._view.copy.epoch == 0,
            none_proven=self._first_proof == float("inf")
            and since == float("-inf")
            and self._view.copy.epoch == 0,
        )

    def _row_stood_s(self, as_of: float) -> float:
        """Returns for how long the own row had surely stood when the copy was complete.

        A row that an earlier incarnation of this proxy has seen stand for long enough
        counts as old from the first read on.
        """
        record = self._view.members.get(self._me.name)
        if record is None or record.peer != self._me:
            return float("-inf")
        since = float("-inf") if self.is_proven() else self._own_since
        return as_of - max(since, self._restored_at)

    def is_proven(self) -> bool:
        """Returns whether a row says that this proxy's row has stood long enough."""
        return self._own_proof().removesuffix(SETTLED) == self._proof_body()

    def is_settled(self) -> bool:
        """Returns whether the proof was written some time after the first one."""
        return self._own_proof() == self._proof_body() + SETTLED

    def proven_s(self) -> float:
        """Returns for how long the copy has shown the proof, in seconds."""
        if not self.is_proven():
            return 0.0
        return self._timers.elapsed() - self._proven_since

    def _own_proof(self) -> bytes:
        proof = self._view.copy.get(STOOD_PREFIX + self._me.name)
        return b"" if proof is None or proof.body is None else proof.body

    def _proof_body(self) -> bytes:
        return str(number_of(self._own_version)).encode()

    def _restored_for_s(self) -> float:
        """Returns the age of the last restore that may have undone a removal."""
        as_of = self._timers.elapsed() - self._view.copy.age_s()
        return as_of - self._restored_at

    def old_proofs(self) -> list[Row]:
        """Returns the proofs of members that were removed for `REMOVED_RETENTION_S`."""
        if self.standing().followed_s < REMOVED_RETENTION_S:
            return []
        present = self._view.members.keys() | self._removed_at.keys()
        return [
            row
            for row in self._view.copy.rows()
            if row.key.startswith(STOOD_PREFIX)
            and row.key.removeprefix(STOOD_PREFIX) not in present
        ]

    def proof_row(self) -> tuple[str, bytes, int]:
        """Returns key, content and expected version of the row for `is_proven`."""
        key = STOOD_PREFIX + self._me.name
        known = self._view.copy.get(key)
        body = self._proof_body() + (SETTLED if self.is_proven() else b"")
        return key, body, 0 if known is None else known.version

    def first(self) -> tuple[str, ...]:
        """Returns the first members, counting recently removed ones as present.

        Those that have just joined don't count yet: they take no place before they
        create rights.
        """
        now = self._timers.elapsed()
        expired = [
            name
            for name, at in self._removed_at.items()
            if now - at > REMOVED_RETENTION_S
        ]
        for name in expired:
            del self._removed_at[name]
        joined = [name for name, at in self._joining_until.items() if now >= at]
        for name in joined:
            del self._joining_until[name]
        if self._first is None or expired or joined:
            names = self._view.members.keys() | self._removed_at.keys()
            names -= self._joining_until.keys()
            self._first = first_allocators(names)
            self._proving = proving_members(names)
        return self._first

    def proving(self) -> tuple[str, ...]:
        """Returns the allocators and their standbys, which prove their rows."""
        self.first()
        return self._proving

    def members(self) -> dict[str, Peer]:
        """Returns the addresses of the first members that are present."""
        members = self._view.members
        return {name: members[name].peer for name in self.first() if name in members}

    def _apply(self, row: Row) -> None:
        if row.key.startswith(STOOD_PREFIX):
            self._note_proof(row)
        if not row.key.startswith(MEMBER_PREFIX):
            return
        self._first = None
        name = row.key.removeprefix(MEMBER_PREFIX)
        if row.body is None:
            # Also a member that joined and was removed unseen, which may not know yet
            # that it was removed.
            self._removed_at[name] = self._timers.elapsed()
            self._joining_until.pop(name, None)
            self._versions.pop(name, None)
        elif self._versions.get(name) != number_of(row.version):
            self._versions[name] = number_of(row.version)
            self._note_joined(row)
        if name == self._me.name:
            self._apply_own(row)

    def _note_joined(self, row: Row) -> None:
        """Leaves a new member out of the first ones until it may create rights.

        It joined after the copy was complete without it, and writes its proof
        `PROOF_AFTER_S` later at the earliest. Members of a new deployment create sooner;
        an earlier proof, which every copy with this row shows, tells that it is none.

        A member that was removed registers again once it knows of that, and has ceased
        to create rights then.
        """
        name = row.key.removeprefix(MEMBER_PREFIX)
        complete_at = self._timers.elapsed() - self._view.copy.age_s()
        is_later = self._first_proof < number_of(row.version)
        if is_later and self._view.copy.epoch == 0:
            self._joining_until[name] = complete_at + JOINING_S
            self._removed_at.pop(name, None)

    def _note_proof(self, row: Row) -> None:
        self._first_proof = min(self._first_proof, number_of(row.version))
        name = row.key.removeprefix(STOOD_PREFIX)
        if name == self._me.name:
            self._proven_since = min(self._proven_since, self._timers.elapsed())
        elif row.body is not None and name in self._joining_until:
            del self._joining_until[name]
            self._first = None
        elif row.body is not None and name not in self._view.members:
            # A whole read shows no removals. Members with a proof are all that may
            # still create rights without knowing of their removal.
            self._note_removed(name)

    def _note_removed(self, name: str) -> None:
        self._removed_at[name] = self._timers.elapsed()
        self._first = None

    def _apply_own(self, row: Row) -> None:
        if row.body is None:
            self._own_version, self._own_since = 0, float("inf")
            return
        known = self._own_version
        self._own_version = row.version
        # After a restore of the store the same row has a version of a later epoch.
        if not known or number_of(known) != number_of(row.version):
            self._own_since = self._timers.elapsed()

    def _note_whole_read(self, age_s: float) -> None:
        if age_s <= MAX_VIEW_AGE_S and self._followed_since is None:
            self._followed_since = self._view.copy.followed_since
        if age_s > MAX_VIEW_AGE_S:
            # A member may have been an allocator unseen and not know of its removal.
            self._followed_since = self._timers.elapsed()

    def _note_restore(self) -> None:
        if self._view.copy.age_s() > MAX_AGE_AT_RESTORE_S:
            self._restored_at = self._timers.elapsed()
