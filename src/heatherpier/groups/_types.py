"""Terms, positions and what an instance tells about itself."""

from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """What an instance does in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True, slots=True, order=True)
class LogPosition:
    """Place of an entry in a group's log.

    Positions compare by the term that wrote the entry first, then by index.

    Attributes:
        term: Term of the primary that wrote the entry.
        index: Count of entries up to and including this one.
    """

    term: int
    index: int


ORIGIN = LogPosition(0, 0)


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceStatus:
    """What an instance tells about itself in one answer.

    Attributes:
        instance: Name of the instance.
        role: Its role in the adopted term.
        adopted_term: Highest term it has adopted. This one fences.
        proposer: Who proposed the adopted term.
        primary: Name of the primary it follows, or empty.
        position: Its last applied entry. This one is compared with floors.
        age_ms: Age of its data in milliseconds: time since it last knew that it
            held all of its primary's log. 0 on a primary.
        contact_ms: Time in milliseconds since it last heard from its primary.
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
        """Tells whether it is the primary of its adopted term."""
        return self.role is Role.PRIMARY


@dataclass(frozen=True, slots=True, kw_only=True)
class Adoption:
    """Answer of an instance that was asked to adopt a term.

    Attributes:
        granted: Whether the term is adopted for this proposer.
        status: The instance's status after the decision.
    """

    granted: bool
    status: InstanceStatus
