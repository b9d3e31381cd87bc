"""Errors of connections to instances."""


class UpstreamError(Exception):
    """Base class of all errors of this package."""


class ConnectError(UpstreamError):
    """No connection was available, so no statement was sent."""


class TooManyConnectionsError(ConnectError):
    """The instance rejected a connection because its connection limit is reached."""


class InstanceUnreachableError(ConnectError):
    """Another proxy, which was to run the statement, can't connect to the instance."""


class InstanceLeavingError(ConnectError):
    """The instance leaves, and gets no new work any more."""


class PoolBusyError(ConnectError):
    """All connections that this proxy may open to the instance are in use."""


class StatementError(UpstreamError):
    """The instance answered a statement with an error.

    The connection is still usable and the statement had no effect.

    Attributes:
        code: MySQL error number.
        sqlstate: Five-character SQLSTATE.
        message: Error message of the instance.
    """

    def __init__(self, *, code: int, sqlstate: str, message: str) -> None:
        super().__init__(f"{code} ({sqlstate}): {message}")
        self.code = code
        self.sqlstate = sqlstate
        self.message = message


class ConnectionLostError(UpstreamError):
    """No answer to a sent statement arrived, so its outcome is unknown."""


class PathLostError(ConnectionLostError):
    """A proxy on the path to the instance gave no answer.

    This says nothing about the instance.
    """


class AnswerTimeoutError(ConnectionLostError):
    """No answer arrived in time. The connection is closed and not reused."""
