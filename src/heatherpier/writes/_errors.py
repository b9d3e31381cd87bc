"""Errors of attempts to write, turned into final answers by the writer."""

from heatherpier.groups import LogPosition
from heatherpier.upstreams import StatementError


class WriteError(Exception):
    """Base of all errors of this package."""


class AttemptLostError(WriteError):
    """An attempt ended before its COMMIT was sent, so it never takes effect."""


class ContendedError(AttemptLostError):
    """An attempt ended early though the instance works, as after a lock wait."""


class CommitUnknownError(WriteError):
    """A COMMIT was sent, and whether it takes effect is not known yet."""


class RecordExistsError(WriteError):
    """The request record of the attempt exists already."""


class MissingTableError(WriteError):
    """The table of request records does not exist yet."""


class UnresolvedError(WriteError):
    """What became of an attempt can't be told by the deadline."""


class RejectedError(WriteError):
    """The instance rejected the caller's statement, which was rolled back.

    Attributes:
        cause: What the instance answered.
        position: Position that covers the data it decided on.
    """

    def __init__(self, cause: StatementError, *, position: LogPosition) -> None:
        super().__init__(str(cause))
        self.cause = cause
        self.position = position
