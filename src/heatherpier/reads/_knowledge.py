"""What earlier answers of a group's instances prove about later reads."""

from dataclasses import dataclass

from heatherpier.groups import Group, InstanceStatus, LogPosition, Role
from heatherpier.reads._freshness import AtLeast, Freshness, Latest, NotOlder, is_fresh

MS_PER_S = 1000
TERMS_KEPT = 8
# Beyond this share of a stated age, a new answer is asked for: the read itself
# takes time too.
AGE_SHARE = 0.5
# The primary and one replica are a majority of up to three instances.
PAIR = 2


@dataclass(frozen=True, slots=True)
class Proof:
    """A status and the monotonic time in seconds when it was asked for."""

    status: InstanceStatus
    asked_at: float

    def age_ms(self, now: float) -> float:
        """Returns the largest age that the instance's data can have at ``now``.

        Its data never go back, so they age at most as fast as time passes.
        """
        return self.status.age_ms + (now - self.asked_at) * MS_PER_S


class GroupKnowledge:
    """Statuses with their times, and the entries that can't vanish.

    Args:
        group: The group that it is about.
    """

    def __init__(self, group: Group) -> None:
        self._group = group
        self._proofs: dict[str, Proof] = {}
        self._kept: dict[int, int] = {}

    def take(self, status: InstanceStatus, *, asked_at: float) -> Proof:
        """Takes in a status and returns it as a proof."""
        proof = Proof(status, asked_at)
        self._proofs[status.instance] = proof
        self._group.learn(status)
        self._note_kept(status)
        return proof

    def proof(self, name: str, freshness: Freshness, *, now: float) -> Proof | None:
        """Returns an earlier answer of ``name`` that proves ``freshness``, if any.

        An entry at or below a minimum position is on a majority, so no change of primary
        drops it from a log that has it; and adopted terms only rise. So a minimum position
        once reached stays reached. An age has to be reckoned up to now.
        """
        status = self._group.statuses.get(name)
        if status is None or not is_fresh(status, freshness):
            return None
        proof = self._proofs.get(name)
        if proof is None or proof.status is not status:
            # Learnt elsewhere: its time is unknown, but it is in the past.
            proof = Proof(status, now)
        match freshness:
            case Latest() | AtLeast():
                return proof
            case NotOlder(max_age_ms=max_age_ms):
                timed = proof is self._proofs.get(name)
                usable = timed and proof.age_ms(now) <= max_age_ms * AGE_SHARE
                return proof if usable and not status.leads() else None

    def can_vanish(self, status: InstanceStatus) -> bool:
        """Tells whether a replica's last entry may yet be dropped everywhere.

        An entry that a replica holds in the entry's own term is on the primary
        too. A replica that has adopted a later term may hold an entry that the
        new primary's log replaces, unless it was seen to be kept before.
        """
        for known in self._group.statuses.values():
            self._note_kept(known)
        self._note_kept(status)
        position = status.position
        return position.index > self._kept.get(position.term, 0)

    def note_min_position(self, min_position: LogPosition) -> None:
        """Takes in a session's minimum position: an entry that was acknowledged or kept."""
        self._keep(min_position)

    def _note_kept(self, status: InstanceStatus) -> None:
        position = status.position
        follows = status.primary not in ("", status.instance)
        held_in_term = (
            status.role is Role.REPLICA
            and follows
            and status.adopted_term == position.term
        )
        if held_in_term and self._group.spec.majority <= PAIR:
            self._keep(position)

    def _keep(self, position: LogPosition) -> None:
        known = self._kept.get(position.term, 0)
        self._kept[position.term] = max(known, position.index)
        while len(self._kept) > TERMS_KEPT:
            del self._kept[min(self._kept)]
