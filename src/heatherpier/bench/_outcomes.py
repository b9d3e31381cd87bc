"""Conclusions that a caller draws from an error about its statement."""

from heatherpier.bench._caller import SERVER_SHUTDOWN
from heatherpier.bench._driver import AnsweredError, CallerError, UnreachableError
from heatherpier.bench._history import Outcome
from heatherpier.requests import (
    AlreadyRunError,
    NotRunError,
    OutcomeUnknownError,
    OverloadedError,
    ReadOnlyError,
    TooStaleError,
)

UNKNOWN_OUTCOME_CODES = frozenset(
    {OutcomeUnknownError.code, AlreadyRunError.code, SERVER_SHUTDOWN}
)
RETRIABLE_READ_CODES = frozenset({NotRunError.code, TooStaleError.code})
RETRIABLE_CODES = frozenset(
    {
        OutcomeUnknownError.code,
        OverloadedError.code,
        ReadOnlyError.code,
        SERVER_SHUTDOWN,
    }
)


def outcome_after(previous: Outcome, exc: CallerError) -> tuple[Outcome, int]:
    """Returns the outcome of a write that a caller concludes from ``exc``.

    Args:
        previous: Outcome that the caller concluded from the attempts so far.
        exc: Error of the last attempt.

    Returns:
        The outcome, and the error number, or 0 if the proxy did not answer.
    """
    match exc:
        case UnreachableError():
            return previous, 0
        case AnsweredError(code=code) if code == NotRunError.code:
            return Outcome.NOT_RUN, code
        case AnsweredError(code=code) if code not in UNKNOWN_OUTCOME_CODES:
            # Only this attempt did not run; an earlier one may have taken effect.
            return previous, code
        case AnsweredError(code=code):
            return Outcome.UNKNOWN, code
        case _:
            return Outcome.UNKNOWN, 0


def is_final(exc: CallerError) -> bool:
    """Returns whether another attempt of the same statement could change nothing."""
    return isinstance(exc, AnsweredError) and exc.code not in RETRIABLE_CODES
