"""Errors of connections to instances."""


class UpstreamError(Exception):
    """Base of all errors of this package."""


class ConnectError(UpstreamError):
    """No connection could be opened, so nothing was sent."""


class TooManyConnectionsError(ConnectError):
    """The instance refused a connection because its limit is reached."""


class PoolBusyError(ConnectError):
    """All connections that this proxy may open to the instance are acquired."""


class StatementError(UpstreamError):
    """The instance answered that a statement failed.

    The connection is still usable and the statement had no effect.

    Attributes:
        code: MySQL error number.
        sqlstate: Five-character SQLSTATE.
        message: The instance's own sentence.
    """

    def __init__(self, *, code: int, sqlstate: str, message: str) -> None:
        super().__init__(f"{code} ({sqlstate}): {message}")
        self.code = code
        self.sqlstate = sqlstate
        self.message = message


class ConnectionLostError(UpstreamError):
    """A statement was sent and its answer did not arrive: its outcome is unknown."""


class AnswerTimeoutError(ConnectionLostError):
    """No answer arrived in time. The connection is closed and never used again."""
