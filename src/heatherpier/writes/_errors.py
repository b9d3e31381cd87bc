"""Errors of write attempts, which the writer converts to final answers."""

from heatherpier.positions import LogPosition
from heatherpier.upstreams import StatementError


class WriteError(Exception):
    """Base of all errors of this package."""


class AttemptLostError(WriteError):
    """An attempt ended without effect, and never takes effect later.

    Its COMMIT was not sent, the instance refused the COMMIT, or the data that
    the instance decided on may be lost.
    """


class ContendedError(AttemptLostError):
    """An attempt failed on a healthy instance, for example by a lock wait timeout."""


class CommitUnknownError(WriteError):
    """A COMMIT was sent, and it is not known yet whether it takes effect."""


class RecordExistsError(WriteError):
    """The attempt can't be claimed because of the records of its key.

    The attempt has a record already, or an earlier attempt has no refusal.
    """


class MissingTableError(WriteError):
    """The table of request records does not exist yet."""


class UnresolvedError(WriteError):
    """The outcome of an attempt could not be determined by the deadline."""


class RejectedError(WriteError):
    """The instance rejected the caller's statement, which was rolled back.

    Attributes:
        cause: Error that the instance answered.
        position: Position that covers the data that led to the rejection.
    """

    def __init__(self, cause: StatementError, *, position: LogPosition) -> None:
        super().__init__(str(cause))
        self.cause = cause
        self.position = position
