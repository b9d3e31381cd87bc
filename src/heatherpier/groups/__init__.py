"""Database groups: terms, positions, the control protocol of their instances."""

from heatherpier.groups._control import (
    adopt_term,
    fetch_last_commit,
    fetch_status,
    follow_primary,
    promote,
    wait_for_position,
)
from heatherpier.groups._errors import (
    GroupError,
    NoPrimaryError,
    NotAcknowledgedError,
    UnexpectedAnswerError,
)
from heatherpier.groups._group import Group, GroupSpec
from heatherpier.groups._types import (
    Adoption,
    InstanceStatus,
    LogPosition,
    Role,
)

__all__ = [
    "Adoption",
    "Group",
    "GroupError",
    "GroupSpec",
    "InstanceStatus",
    "LogPosition",
    "NoPrimaryError",
    "NotAcknowledgedError",
    "Role",
    "UnexpectedAnswerError",
    "adopt_term",
    "fetch_last_commit",
    "fetch_status",
    "follow_primary",
    "promote",
    "wait_for_position",
]
