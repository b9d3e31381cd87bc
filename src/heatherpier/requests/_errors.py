"""Final answers other than a result, each with a stable code."""


class FinalError(Exception):
    """Base of the errors that a caller sees.

    Attributes:
        code: MySQL error number, stable over releases.
        sqlstate: Five-character SQLSTATE, stable over releases.
        label: Words that open the message.
        retry_after_ms: When to come back, in milliseconds, or None.
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
        """The sentence that the caller gets."""
        if self.retry_after_ms is None:
            return f"{self.label}: {self.reason}"
        return f"{self.label}: {self.reason}; retry after {self.retry_after_ms} ms"


class NotRunError(FinalError):
    """The statement had no effect and never will; it is safe to send again."""

    code = 7001
    sqlstate = "HP001"
    label = "not run"


class OutcomeUnknownError(FinalError):
    """The statement may have taken effect.

    Attributes:
        key: Idempotency key by which to ask again, or empty for a statement
            that can carry none.
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
    """The statement was not run because there is too much work."""

    code = 7003
    sqlstate = "HP003"
    label = "overloaded"


class RefusedError(FinalError):
    """The request is wrong and was not run; the message names the value."""

    code = 7004
    sqlstate = "HP004"
    label = "refused"


class StatementRejectedError(RefusedError):
    """The instance rejected the statement, which had no effect.

    The caller gets the instance's own error number, SQLSTATE and sentence.

    Args:
        code: MySQL error number, such as 1062 for a duplicate key.
        sqlstate: Five-character SQLSTATE.
        message: The instance's sentence.
    """

    def __init__(self, *, code: int, sqlstate: str, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.sqlstate = sqlstate

    @property
    def message(self) -> str:
        """The instance's sentence."""
        return self.reason


class AlreadyRunError(RefusedError):
    """The key has run before, and its answer can't be given again."""

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
        available_age_ms: Age in milliseconds that could be had, or None.
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
