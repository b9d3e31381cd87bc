"""Connection limit of a stand-in instance, and the data centre of its clients."""

from typing import Any

from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User
from mysql_mimic.control import LocalControl

TOO_MANY_CONNECTIONS = 1040
# Users that the limit does not apply to: at a real instance, they connect through a
# separate port.
EXEMPT_USERS = frozenset({"replication", "bench"})


class ConnectionLimitError(Exception):
    """The instance has as many connections as it accepts."""


class CountingControl(LocalControl):
    """Tracks the open connections.

    A connection that `LimitedUsers` rejects gets the error number of MySQL for it.
    """

    async def add(self, connection: Any) -> int:
        """Registers a new connection and returns its id."""
        original_error = connection.error

        def error(**fields: Any) -> bytes:
            if isinstance(fields.get("msg"), ConnectionLimitError):
                fields["code"] = TOO_MANY_CONNECTIONS
            packet: bytes = original_error(**fields)
            return packet

        connection.error = error
        connection_id: int = await super().add(connection)
        return connection_id

    def count(self) -> int:
        """Returns the count of authenticated connections of non-exempt users."""
        users = [
            conn.session.variables.get("external_user")
            for conn in self._connections.values()
        ]
        return sum(1 for user in users if user and user not in EXEMPT_USERS)


class LimitedUsers(IdentityProvider):
    """Accepts any user while the instance has connections left.

    Args:
        control: Counts the open connections.
        limit: Maximum count of connections, without those of exempt users.
    """

    def __init__(self, control: CountingControl, *, limit: int) -> None:
        self._control = control
        self._limit = limit

    async def get_user(self, username: str) -> User:
        """Returns the user.

        Raises:
            ConnectionLimitError: No connection is left.
        """
        if username not in EXEMPT_USERS and self._control.count() > self._limit:
            raise ConnectionLimitError("Too many connections")
        return User(name=username, auth_plugin=NativePasswordAuthPlugin.name)


def data_centre_of(program_name: str) -> str | None:
    """Returns the data centre in a name such as ``heatherpier/north-a/proxy-1``.

    Returns None for a name of any other form.
    """
    parts = program_name.split("/")
    return parts[1] if len(parts) > 2 else None
