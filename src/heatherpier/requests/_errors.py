"""Errors that callers get as final answers, each with a stable code."""


class FinalError(Exception):
    """Base of the errors that a caller gets.

    Attributes:
        code: MySQL error number, stable across releases.
        sqlstate: Five-character SQLSTATE, stable across releases.
        label: Words with which the message starts.
        reason: Explanation for people.
        retry_after_ms: Time in milliseconds after which a retry makes sense, or None
            if it is unknown.
    """

    code = 7000
    sqlstate = "HP000"
    label = "failed"

    def __init__(self, reason: str, *, retry_after_ms: int | None = None) -> None:
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        super().__init__(self.message)

    @property
    def message(self) -> str:
        """The message that the caller gets."""
        if self.retry_after_ms is None:
            return f"{self.label}: {self.reason}"
        return f"{self.label}: {self.reason}; retry after {self.retry_after_ms} ms"


class NotRunError(FinalError):
    """The statement had no effect and never will; it can safely be sent again."""

    code = 7001
    sqlstate = "HP001"
    label = "not run"


class OutcomeUnknownError(FinalError):
    """The statement may have taken effect.

    Attributes:
        key: Idempotency key with which to ask for the outcome, or empty for a
            statement that cannot have one.
    """

    code = 7002
    sqlstate = "HP002"
    label = "outcome unknown"

    def __init__(
        self, reason: str, *, key: str = "", retry_after_ms: int | None = None
    ) -> None:
        self.key = key
        if key:
            reason = f"{reason}; ask again with key {key!r}"
        super().__init__(reason, retry_after_ms=retry_after_ms)


class OverloadedError(FinalError):
    """The statement was not run because of overload."""

    code = 7003
    sqlstate = "HP003"
    label = "overloaded"


class RefusedError(FinalError):
    """The request is invalid and was not run; the message names the invalid value."""

    code = 7004
    sqlstate = "HP004"
    label = "refused"


class StatementRejectedError(RefusedError):
    """The instance rejected the statement, which had no effect.

    The caller gets the error number, SQLSTATE and message of the instance.

    Args:
        code: MySQL error number, such as 1062 for a duplicate key.
        sqlstate: Five-character SQLSTATE.
        message: Message of the instance.
    """

    def __init__(self, *, code: int, sqlstate: str, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.sqlstate = sqlstate

    @property
    def message(self) -> str:
        """The message of the instance, without a label."""
        return self.reason


class AlreadyRunError(RefusedError):
    """A statement with this key ran before, and its answer is no longer available."""

    code = 7007
    sqlstate = "HP007"
    label = "already run"


class ReadOnlyError(FinalError):
    """The statement was not run because the group has no primary."""

    code = 7005
    sqlstate = "HP005"
    label = "read only"


class TooStaleError(FinalError):
    """The read was not run because no instance is fresh enough.

    Attributes:
        available_age_ms: Age in milliseconds of the freshest data that an instance
            offered, or None if it is unknown.
    """

    code = 7006
    sqlstate = "HP006"
    label = "too stale"

    def __init__(
        self,
        reason: str,
        *,
        available_age_ms: int | None,
        retry_after_ms: int | None = None,
    ) -> None:
        self.available_age_ms = available_age_ms
        if available_age_ms is not None:
            reason = f"{reason}; an age of {available_age_ms} ms can be had"
        super().__init__(reason, retry_after_ms=retry_after_ms)
