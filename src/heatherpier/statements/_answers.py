"""Answers to statements."""

from dataclasses import dataclass
from enum import Enum

from heatherpier.positions import LogPosition


class SessionState(Enum):
    """State of a session's transaction after an answer."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Code(Enum):
    """Reason why a statement did not succeed.

    An instance or a proxy that answers one of `NOT_RUN` did not run the statement;
    the other codes leave open whether it ran.
    """

    BUSY = "busy"
    ABORTED = "aborted"
    LAGGING = "lagging"
    READ_ONLY = "read only"
    WRONG_INSTANCE = "wrong instance"
    OVERLOADED = "overloaded"
    OUTCOME_UNKNOWN = "outcome unknown"
    TIMEOUT = "timeout"
    FAILED = "failed"
    UNKNOWN_STATEMENT = "unknown statement"
    UNKNOWN_DATABASE = "unknown database"
    UNKNOWN_KEY = "unknown key"
    TOO_LARGE = "too large"
    MALFORMED = "malformed"


# Codes by which an instance states that it did not run the statement.
NOT_RUN = frozenset(
    {
        Code.BUSY,
        Code.LAGGING,
        Code.READ_ONLY,
        Code.UNKNOWN_STATEMENT,
        Code.WRONG_INSTANCE,
        Code.OVERLOADED,
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Done:
    """Outcome of a statement that succeeded.

    Attributes:
        rows: Rows of the result, as the instance sent them.
        signature: Signature of the instance, or empty if the proxy answered itself.
    """

    rows: tuple[str, ...] = ()
    signature: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """Outcome of a statement that was rejected or failed.

    Attributes:
        code: Reason of the failure, for programs.
        reason: Reason of the failure, for people and logs.
        retry_after_ms: Time in milliseconds after which a retry makes sense, or None
            if it makes none.
    """

    code: Code
    reason: str
    retry_after_ms: int | None = None

    @property
    def not_run(self) -> bool:
        """Whether the attempt that got this answer surely did not run the statement."""
        return self.code in NOT_RUN

    @property
    def read_retryable(self) -> bool:
        """Whether a read may still succeed on another instance or later."""
        return self.not_run or self.code in (Code.FAILED, Code.TIMEOUT)


Outcome = Done | Failed


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """The whole answer to one statement.

    Attributes:
        outcome: Success or failure.
        state: State of the session after the statement.
        position: Log position of the instance that answered, or None.
    """

    outcome: Outcome
    state: SessionState
    position: LogPosition | None = None
