"""Outcomes of an attempt on one instance, and the final error for the caller."""

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

# A replica that heard from its primary within this time may still catch up.
RECENT_CONTACT_MS = 2000
# Ages from this value on mean that the instance has never caught up.
UNKNOWN_AGE_MS = 2**31
RETRY_AFTER_MS = 500


@dataclass(frozen=True, slots=True)
class Served:
    """The instance served the read, and its answer is proved."""

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
    """The instance served the read, but its data may be discarded or too old."""

    reason: str


@dataclass(frozen=True, slots=True)
class Overloaded:
    """The instance has no capacity for this read now."""

    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The instance gave no usable answer."""

    reason: str


Failure = TooStale | Unproven | Overloaded | Unreachable
Outcome = Served | Rejected | Failure


def may_improve(failures: Sequence[Failure], spec: GroupSpec) -> bool:
    """Returns whether another round over the instances may serve the read.

    It may if a replica that is too stale still hears from its primary, or if a
    majority answers, so that there is a primary or one can be promoted. It is not
    expected to if an instance is overloaded, since a slot there would come too late.
    """
    for failure in failures:
        match failure:
            case TooStale(status=status) if status.contact_ms < RECENT_CONTACT_MS:
                return True
    if any(isinstance(item, Overloaded) for item in failures):
        return False
    answered = [item for item in failures if not isinstance(item, Unreachable)]
    return len(answered) >= spec.majority


def final_error(failures: Sequence[Failure], *, group: str) -> FinalError:
    """Returns the final error of a read that no instance served."""
    too_stale = [item.status for item in failures if isinstance(item, TooStale)]
    overloaded = [
        item.retry_after_ms for item in failures if isinstance(item, Overloaded)
    ]
    if overloaded:
        return OverloadedError(
            f"no instance of {group} has capacity for the read",
            retry_after_ms=min(overloaded),
        )
    if too_stale:
        age_ms = min(status.age_ms for status in too_stale)
        return TooStaleError(
            f"no instance of {group} that answers is fresh enough",
            available_age_ms=age_ms if age_ms < UNKNOWN_AGE_MS else None,
            retry_after_ms=RETRY_AFTER_MS,
        )
    reasons = "; ".join(dict.fromkeys(_reason(item) for item in failures))
    return NotRunError(
        f"no instance of {group} could serve the read ({reasons or 'none was asked'})",
        retry_after_ms=RETRY_AFTER_MS,
    )


def _reason(failure: Failure) -> str:
    match failure:
        case Unproven(reason=reason) | Unreachable(reason=reason):
            return reason
        case _:
            return ""
