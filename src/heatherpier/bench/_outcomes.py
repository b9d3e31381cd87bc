"""What an error tells a caller of its statement."""

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

MAYBE_RUN = frozenset({OutcomeUnknownError.code, AlreadyRunError.code, SERVER_SHUTDOWN})
REPEAT_READ = frozenset({NotRunError.code, TooStaleError.code})
TRY_AGAIN = frozenset(
    {
        OutcomeUnknownError.code,
        OverloadedError.code,
        ReadOnlyError.code,
        SERVER_SHUTDOWN,
    }
)


def outcome_after(before: Outcome, exc: CallerError) -> tuple[Outcome, int]:
    """Returns what a caller knows of its write after ``exc``, and the error's number.

    Args:
        before: What it knew after the tries before.
        exc: What the last try got.
    """
    match exc:
        case UnreachableError():
            return before, 0
        case AnsweredError(code=code) if code == NotRunError.code:
            return Outcome.NOT_RUN, code
        case AnsweredError(code=code) if code not in MAYBE_RUN:
            # True of this try; an earlier one may still have taken effect.
            return before, code
        case AnsweredError(code=code):
            return Outcome.UNKNOWN, code
        case _:
            return Outcome.UNKNOWN, 0


def is_final(exc: CallerError) -> bool:
    """Tells whether another try of the same write could change nothing."""
    return isinstance(exc, AnsweredError) and exc.code not in TRY_AGAIN
