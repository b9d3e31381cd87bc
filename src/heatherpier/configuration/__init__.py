"""Publishing of configuration documents and their distribution to all proxies."""

from heatherpier.configuration._errors import (
    ConfigurationError,
    SubmissionConflictError,
    SubmissionUnknownError,
)
from heatherpier.configuration._follower import Follower
from heatherpier.configuration._head import (
    Head,
    Manifest,
)
from heatherpier.configuration._messages import MESSAGES
from heatherpier.configuration._publisher import Publisher, Submission

__all__ = [
    "MESSAGES",
    "ConfigurationError",
    "Follower",
    "Head",
    "Manifest",
    "Publisher",
    "Submission",
    "SubmissionConflictError",
    "SubmissionUnknownError",
]
