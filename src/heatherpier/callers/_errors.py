"""Errors of the border with callers."""


class CallerError(Exception):
    """Ends a caller's connection with a protocol error.

    Attributes:
        code: MySQL error number.
        sqlstate: Five-character SQLSTATE.
        message: The sentence that the caller gets.
    """

    code = 1835
    sqlstate = "HY000"

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class MalformedPacketError(CallerError):
    """A packet breaks the protocol."""


class PacketTooLargeError(CallerError):
    """A statement is longer than the limit. It was not run."""

    code = 1153
    sqlstate = "08S01"


class IdleTimeoutError(CallerError):
    """The caller sent nothing, or only part of a packet, for too long."""

    code = 4031
    sqlstate = "HY000"


class ShutdownError(CallerError):
    """The proxy is stopping. A statement that arrives now is not run."""

    code = 1053
    sqlstate = "08S01"


class AccessDeniedError(CallerError):
    """The user or its password is wrong; the caller has been told."""

    code = 1045
    sqlstate = "28000"
