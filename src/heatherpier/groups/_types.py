"""Roles and statuses of instances."""

from dataclasses import dataclass
from enum import Enum

from heatherpier.positions import LogPosition


class Role(Enum):
    """Role of an instance in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceStatus:
    """Status that an instance reports in one answer.

    Attributes:
        instance: Name of the instance.
        role: Its role in the adopted term.
        adopted_term: Highest term it has adopted. It accepts no entries and no
            commits of lower terms.
        proposer: Proposer for which it adopted the term.
        primary: Name of the primary it follows, or empty.
        position: Position of its last applied entry, which is compared with the
            minimum positions of reads.
        age_ms: Age of its data in milliseconds: time since it last knew that it
            held all of its primary's log. 0 on a primary.
        contact_ms: Time in milliseconds since it last heard from its primary. 0 on
            a primary.
    """

    instance: str
    role: Role
    adopted_term: int
    proposer: str
    primary: str
    position: LogPosition
    age_ms: int
    contact_ms: int

    def leads(self) -> bool:
        """Returns whether the instance is the primary of its adopted term."""
        return self.role is Role.PRIMARY

    def leads_before(self, position: LogPosition) -> bool:
        """Returns whether the instance leads a lower term than that of a position.

        In the log that holds the position durably, no majority confirms such a term.
        If one does, the group has another log now, and the position is in no log.
        """
        return self.leads() and self.adopted_term < position.term


@dataclass(frozen=True, slots=True, kw_only=True)
class Adoption:
    """Answer of an instance that was asked to adopt a term.

    Attributes:
        granted: Whether the instance has adopted the term for this proposer.
        status: The instance's status after the decision.
    """

    granted: bool
    status: InstanceStatus
