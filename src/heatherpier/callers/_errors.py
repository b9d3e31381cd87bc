"""Errors that close a caller's connection."""


class CallerError(Exception):
    """Closes a caller's connection with an error packet.

    Attributes:
        code: MySQL error number.
        sqlstate: Five-character SQLSTATE.
        message: Error text that the caller receives.
    """

    code = 1835
    sqlstate = "HY000"

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class MalformedPacketError(CallerError):
    """A packet violates the protocol."""


class PacketTooLargeError(CallerError):
    """A statement, or its parameters, exceeds the size limit and was not run."""

    code = 1153
    sqlstate = "08S01"


class IdleTimeoutError(CallerError):
    """The caller sent no command, or no complete one, within the time limit."""

    code = 4031
    sqlstate = "HY000"


class ShutdownError(CallerError):
    """The proxy is stopping. It runs no statement that arrives after this error."""

    code = 1053
    sqlstate = "08S01"


class AccessDeniedError(CallerError):
    """The user is unknown or its password is wrong."""

    code = 1045
    sqlstate = "28000"


class UnknownDatabaseError(CallerError):
    """The user has no such database."""

    code = 1049
    sqlstate = "42000"


class BadHandshakeError(CallerError):
    """The packets of the handshake violate the protocol."""

    code = 1043
    sqlstate = "08S01"
