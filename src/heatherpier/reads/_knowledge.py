"""Proofs of freshness and durability from earlier answers of a group's instances."""

from dataclasses import dataclass

from heatherpier.groups import Group, InstanceStatus, Role
from heatherpier.positions import LogPosition
from heatherpier.reads._freshness import AtLeast, Freshness, Latest, NotOlder, is_fresh

MS_PER_S = 1000
# Number of terms, the latest ones, whose durable entries are remembered.
MAX_DURABLE_TERMS = 8
# An earlier answer is reused only up to this fraction of the stated age, because the
# read itself takes time too.
MAX_PROOF_AGE_FRACTION = 0.5
# Count of a primary and one replica: a majority of up to three instances.
PRIMARY_AND_REPLICA = 2


@dataclass(frozen=True, slots=True)
class Proof:
    """An instance's status and when it was asked for.

    Attributes:
        status: The status that the instance reported.
        asked_at: Monotonic time in seconds when the proxy asked for it.
    """

    status: InstanceStatus
    asked_at: float

    def age_ms(self, now: float) -> float:
        """Returns the maximum age in milliseconds of the instance's data at ``now``.

        The instance never returns to older data, so they age at most as fast as time
        passes. Time counts from the question, since the instance stated the age later.
        """
        return self.status.age_ms + (now - self.asked_at) * MS_PER_S


class GroupKnowledge:
    """Keeps the latest statuses of a group's instances and the durable log entries.

    Args:
        group: The group that the statuses come from.
    """

    def __init__(self, group: Group) -> None:
        self._group = group
        self._proofs: dict[str, Proof] = {}
        # Highest index that is known to be durable, by term.
        self._durable: dict[int, int] = {}

    def record(self, status: InstanceStatus, *, asked_at: float) -> Proof:
        """Records a status and returns it as a proof."""
        proof = Proof(status, asked_at)
        self._proofs[status.instance] = proof
        self._group.learn(status)
        self._note_durable(status)
        return proof

    def find_proof(
        self, name: str, freshness: Freshness, *, now: float
    ) -> Proof | None:
        """Returns an earlier status of ``name`` that proves ``freshness``, or None.

        A minimum position once reached stays reached. Entries up to it are on a
        majority, so every later primary has them, and a change of primary removes from
        a log only entries that the new primary lacks. Adopted terms only rise.

        For a stated age, the time since the status was asked for counts as well. For
        `Latest`, the status must only precede the read; the rest is proved after it.
        """
        status = self._group.statuses.get(name)
        if status is None or not is_fresh(status, freshness):
            return None
        proof = self._proofs.get(name)
        if proof is None or proof.status is not status:
            # The group got this status at an unknown time in the past. That is enough
            # for a minimum position and for `Latest`; a stated age needs the time.
            proof = Proof(status, now)
        match freshness:
            case Latest() | AtLeast():
                return proof
            case NotOlder(max_age_ms=max_age_ms):
                has_time = proof is self._proofs.get(name)
                usable = (
                    has_time
                    and proof.age_ms(now) <= max_age_ms * MAX_PROOF_AGE_FRACTION
                )
                return proof if usable and not status.leads() else None

    def can_be_discarded(self, status: InstanceStatus) -> bool:
        """Returns whether a replica's last entry may still be lost on every instance.

        An entry that a replica holds while it has adopted the entry's own term is on
        that term's primary too, hence on a majority of up to three instances. A replica
        that has adopted a later term may hold an entry that only a minority has. The
        primary of the later term may lack it, and the replica drops it when it follows
        that primary. The entry is safe only if a status, then or earlier, or a minimum
        position has shown it to be durable.
        """
        for known in self._group.statuses.values():
            self._note_durable(known)
        self._note_durable(status)
        position = status.position
        return position.index > self._durable.get(position.term, 0)

    def note_min_position(self, min_position: LogPosition) -> None:
        """Records a session's minimum position as durable.

        The session's write at this position was acknowledged, or a read proved the
        entry durable.
        """
        self._record_durable(min_position)

    def _note_durable(self, status: InstanceStatus) -> None:
        position = status.position
        follows = status.primary not in ("", status.instance)
        held_in_term = (
            status.role is Role.REPLICA
            and follows
            and status.adopted_term == position.term
        )
        if held_in_term and self._group.spec.majority <= PRIMARY_AND_REPLICA:
            self._record_durable(position)

    def _record_durable(self, position: LogPosition) -> None:
        known = self._durable.get(position.term, 0)
        self._durable[position.term] = max(known, position.index)
        while len(self._durable) > MAX_DURABLE_TERMS:
            del self._durable[min(self._durable)]
