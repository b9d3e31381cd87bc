"""Database groups: terms, log positions, control statements, change of primary."""

from heatherpier.groups._control import (
    adopt_term,
    fetch_last_commit,
    fetch_status,
    follow_primary,
    promote,
    wait_for_position,
)
from heatherpier.groups._directory import Directory, DirectoryRecord
from heatherpier.groups._errors import (
    DirectoryError,
    GroupError,
    NoPrimaryError,
    NotAcknowledgedError,
    NotFencedError,
    PromotionError,
    UnexpectedAnswerError,
)
from heatherpier.groups._group import Group
from heatherpier.groups._promoter import Promoter, Promotion
from heatherpier.groups._rank import proposer_rank
from heatherpier.groups._spec import GroupSpec, connection_share
from heatherpier.groups._types import (
    Adoption,
    InstanceStatus,
    Role,
)
from heatherpier.groups._watcher import Watcher, start_watcher

__all__ = [
    "Adoption",
    "Directory",
    "DirectoryError",
    "DirectoryRecord",
    "Group",
    "GroupError",
    "GroupSpec",
    "InstanceStatus",
    "NoPrimaryError",
    "NotAcknowledgedError",
    "NotFencedError",
    "Promoter",
    "Promotion",
    "PromotionError",
    "Role",
    "UnexpectedAnswerError",
    "Watcher",
    "adopt_term",
    "connection_share",
    "fetch_last_commit",
    "fetch_status",
    "follow_primary",
    "promote",
    "proposer_rank",
    "start_watcher",
    "wait_for_position",
]
