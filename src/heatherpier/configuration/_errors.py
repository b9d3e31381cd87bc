"""Errors of configuration."""

from collections.abc import Sequence


class ConfigurationError(Exception):
    """Base of all errors of this package."""


class SectionMissingError(ConfigurationError):
    """A section could not be had from peers or the object store."""


class SubmissionConflictError(ConfigurationError):
    """Another document was accepted first; this one was not.

    Attributes:
        version: Version that is active.
        author: Who submitted it.
        services: Services whose section differs from the one edited.
    """

    def __init__(self, *, version: int, author: str, services: Sequence[str]) -> None:
        self.version = version
        self.author = author
        self.services = tuple(services)
        changed = ", ".join(self.services) or "nothing"
        super().__init__(
            f"version {version} by {author!r} was accepted first and changed {changed}"
        )


class SubmissionUnknownError(ConfigurationError):
    """Whether the document was accepted is unknown.

    Attributes:
        submission: Id by which to ask again.
    """

    def __init__(self, submission: str) -> None:
        self.submission = submission
        super().__init__(
            f"whether submission {submission!r} was accepted is unknown;"
            " submit it again with the same id"
        )
