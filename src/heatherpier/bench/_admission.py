"""Who may connect to a stand-in instance, and from how far away."""

from typing import Any

from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User
from mysql_mimic.control import LocalControl

TOO_MANY_CONNECTIONS = 1040
# These connect through a port of their own at a real instance.
EXEMPT_USERS = frozenset({"replication", "bench"})


class ConnectionLimitError(Exception):
    """The instance's limit is reached."""


class CountingControl(LocalControl):
    """Keeps the open connections and gives a refusal its proper error number."""

    async def add(self, connection: Any) -> int:
        """Takes in a new connection."""
        make_error = connection.error

        def error(**fields: Any) -> bytes:
            if isinstance(fields.get("msg"), ConnectionLimitError):
                fields["code"] = TOO_MANY_CONNECTIONS
            packet: bytes = make_error(**fields)
            return packet

        connection.error = error
        number: int = await super().add(connection)
        return number

    def count(self) -> int:
        """Returns the count of connections that the limit is for."""
        users = [
            conn.session.variables.get("external_user")
            for conn in self._connections.values()
        ]
        return sum(1 for user in users if user and user not in EXEMPT_USERS)


class LimitedUsers(IdentityProvider):
    """Accepts any user while the instance has connections left.

    Args:
        control: Knows the open connections.
        limit: Most connections, but for those of exempt users.
    """

    def __init__(self, control: CountingControl, *, limit: int) -> None:
        self._control = control
        self._limit = limit

    async def get_user(self, username: str) -> User:
        """Returns the user, or refuses the connection."""
        if username not in EXEMPT_USERS and self._control.count() > self._limit:
            raise ConnectionLimitError("Too many connections")
        return User(name=username, auth_plugin=NativePasswordAuthPlugin.name)


def data_centre_of(program_name: str) -> str | None:
    """Returns the data centre in a name such as ``heatherpier/north-a/proxy-1``."""
    parts = program_name.split("/")
    return parts[1] if len(parts) > 2 else None
