"""What came of a try on one instance, and what the caller is told in the end."""

from collections.abc import Sequence
from dataclasses import dataclass

from heatherpier.groups import GroupSpec, InstanceStatus
from heatherpier.requests import (
    Answer,
    FinalError,
    NotRunError,
    OverloadedError,
    StatementRejectedError,
    TooStaleError,
)

# An instance that heard from its primary this recently may still catch up.
CONTACT_MS = 2000
# Ages from here on stand for "never caught up".
UNKNOWN_AGE_MS = 2**31
RETRY_AFTER_MS = 500


@dataclass(frozen=True, slots=True)
class Served:
    """The instance's answer holds."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class Rejected:
    """The instance rejected the statement itself."""

    error: StatementRejectedError


@dataclass(frozen=True, slots=True)
class TooStale:
    """The instance answers but is not fresh enough."""

    status: InstanceStatus


@dataclass(frozen=True, slots=True)
class Unproven:
    """The instance answered, but what it showed may vanish or be old."""

    reason: str


@dataclass(frozen=True, slots=True)
class Overloaded:
    """The instance has no room for this read now."""

    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No usable answer came."""

    reason: str


Failure = TooStale | Unproven | Overloaded | Unreachable
Outcome = Served | Rejected | Failure


def may_improve(failures: Sequence[Failure], spec: GroupSpec) -> bool:
    """Tells whether another round can end better than this one.

    It can while some instance still hears from its primary, or while a majority
    answers, so that there is a primary or one can be promoted. A full instance
    has said already that its turn would come too late.
    """
    for failure in failures:
        match failure:
            case TooStale(status=status) if status.contact_ms < CONTACT_MS:
                return True
    if any(isinstance(item, Overloaded) for item in failures):
        return False
    answered = [item for item in failures if not isinstance(item, Unreachable)]
    return len(answered) >= spec.majority


def final_error(failures: Sequence[Failure], *, group: str) -> FinalError:
    """Returns the answer for a read that no instance served."""
    behind = [item.status for item in failures if isinstance(item, TooStale)]
    full = [item.retry_after_ms for item in failures if isinstance(item, Overloaded)]
    if full:
        return OverloadedError(
            f"no instance of {group} has room for the read", retry_after_ms=min(full)
        )
    if behind:
        age_ms = min(status.age_ms for status in behind)
        return TooStaleError(
            f"no instance of {group} that answers is fresh enough",
            available_age_ms=age_ms if age_ms < UNKNOWN_AGE_MS else None,
            retry_after_ms=RETRY_AFTER_MS,
        )
    reasons = "; ".join(dict.fromkeys(_reason(item) for item in failures))
    return NotRunError(
        f"no instance of {group} could serve the read ({reasons or 'none in use'})",
        retry_after_ms=RETRY_AFTER_MS,
    )


def _reason(failure: Failure) -> str:
    match failure:
        case Unproven(reason=reason) | Unreachable(reason=reason):
            return reason
        case _:
            return ""
