"""MySQL connections to instances through the ``asyncmy`` driver.

The package does not import this module, so that processes on the users' platform, which
speak another protocol, start without the driver.
"""

import asyncio
import socket
import ssl
from typing import Any

import asyncmy
from asyncmy import errors as driver_errors

from heatherpier.upstreams._errors import (
    ConnectError,
    ConnectionLostError,
    StatementError,
    TooManyConnectionsError,
)
from heatherpier.upstreams._interface import Column, Connection, Instance, Result

CONNECT_TIMEOUT_S = 2
# The kernel closes a socket whose data stays unacknowledged for this long, so a
# broken network path is also detected below the protocol.
TCP_USER_TIMEOUT_MS = 5000

# MySQL error number ER_CON_COUNT_ERROR.
TOO_MANY_CONNECTIONS = 1040
# Errors with numbers in this range come from the driver, not from the instance.
FIRST_CLIENT_ERROR = 2000
LAST_CLIENT_ERROR = 2999


class MysqlConnector:
    """Opens MySQL connections, all as the same user.

    Args:
        user: User name on the instances.
        password: The user's password.
        program_name: Connection attribute that instances show in process lists.
        tls_ca: Path of a PEM file with the CA certificate. If set, connections use
            TLS, and the instance's certificate must be signed by this CA for the
            instance's IP address. None turns TLS off.
    """

    def __init__(
        self,
        *,
        user: str,
        password: str,
        program_name: str,
        tls_ca: str | None = None,
    ) -> None:
        self._ssl = ssl.create_default_context(cafile=tls_ca) if tls_ca else None
        self._user = user
        self._password = password
        self._program_name = program_name

    async def connect(self, instance: Instance) -> Connection:
        """Opens a connection in the instance's default autocommit mode.

        Raises:
            ConnectError: The instance is unreachable or rejected the connection.
            TooManyConnectionsError: The connection limit of the instance is reached.
        """
        if self._ssl is not None:
            # The driver opens the socket itself. On a socket that it is given, it
            # would start TLS immediately instead of requesting it by the protocol.
            return await self._handshake(
                instance, host=instance.host, port=instance.port, ssl=self._ssl
            )
        sock = await _open_socket(instance)
        try:
            return await self._handshake(instance, sock=sock)
        except BaseException:
            sock.close()
            raise

    async def _handshake(self, instance: Instance, **target: Any) -> Connection:
        try:
            conn = await asyncmy.connect(
                user=self._user,
                password=self._password,
                database=instance.database or None,
                autocommit=None,
                connect_timeout=CONNECT_TIMEOUT_S,
                program_name=self._program_name,
                **target,
            )
        except (OSError, driver_errors.MySQLError, EOFError) as exc:
            if exc.args and exc.args[0] == TOO_MANY_CONNECTIONS:
                raise TooManyConnectionsError(f"{instance.name}: {exc}") from exc
            raise ConnectError(f"{instance.name}: {exc}") from exc
        return _MysqlConnection(conn, name=instance.name)


async def _open_socket(instance: Instance) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    address = (instance.host, instance.port)
    try:
        await asyncio.get_running_loop().sock_connect(sock, address)
    except OSError as exc:
        sock.close()
        raise ConnectError(f"{instance.name} at {address}: {exc.strerror}") from exc
    except asyncio.CancelledError:
        sock.close()
        raise
    return sock


class _MysqlConnection:
    """Implements `Connection` by an ``asyncmy`` connection."""

    def __init__(self, conn: Any, *, name: str) -> None:
        self._conn = conn
        self._name = name

    async def execute(self, sql: str) -> Result:
        try:
            async with self._conn.cursor() as cursor:
                await cursor.execute(sql)
                return _read_result(cursor, rows=await cursor.fetchall())
        except asyncio.CancelledError:
            # A late answer must not be read as that of the next statement.
            self.abort()
            raise
        except (OSError, EOFError, AttributeError) as exc:
            self.abort()
            raise ConnectionLostError(f"{self._name}: {exc}") from exc
        except driver_errors.MySQLError as exc:
            raise self._convert_error(exc) from exc

    def _convert_error(self, exc: Any) -> ConnectionLostError | StatementError:
        code = exc.args[0] if exc.args and isinstance(exc.args[0], int) else 0
        from_driver = code == 0 or FIRST_CLIENT_ERROR <= code <= LAST_CLIENT_ERROR
        if from_driver or not self._conn.connected:
            self.abort()
            return ConnectionLostError(f"{self._name}: {exc}")
        return StatementError(
            code=code, sqlstate=exc.sqlstate or "HY000", message=str(exc.args[1])
        )

    def has_unread(self) -> bool:
        # The driver would read buffered data as the answer to the next statement.
        proto = self._conn._proto
        return proto is not None and proto.length > proto.pos

    def abort(self) -> None:
        self._conn.close()


def _read_result(cursor: Any, *, rows: Any) -> Result:
    if cursor.description is None:
        return Result(
            affected_rows=max(cursor.rowcount, 0),
            last_insert_id=cursor.lastrowid or 0,
        )
    columns = tuple(
        Column(name=item[0], type_code=item[1]) for item in cursor.description
    )
    return Result(columns=columns, rows=tuple(rows))
