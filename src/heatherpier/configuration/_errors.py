"""Errors of publishing and following the configuration."""

from collections.abc import Sequence


class ConfigurationError(Exception):
    """Base of all errors of this package."""


class SectionMissingError(ConfigurationError):
    """A section or manifest is missing or invalid, at peers and in the object store."""


class SubmissionConflictError(ConfigurationError):
    """Another document was accepted first, so the submitted one was not.

    Attributes:
        version: Accepted version.
        author: Author of the accepted version.
        services: Services whose sections differ between the accepted and the
            submitted document.
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
    """The platform did not confirm whether it accepted the document.

    Attributes:
        submission: Id with which to submit the document again.
    """

    def __init__(self, submission: str) -> None:
        self.submission = submission
        super().__init__(
            f"whether submission {submission!r} was accepted is unknown;"
            " submit it again with the same id"
        )
