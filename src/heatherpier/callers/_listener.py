"""Listens for callers and drains them at a planned stop."""

import asyncio
from collections.abc import Callable, Mapping
from ssl import SSLContext

from mysql_mimic.control import LocalControl
from mysql_mimic.errors import ErrorCode
from mysql_mimic.packets import make_error
from mysql_mimic.types import Capabilities

from heatherpier.callers._connection import CallerConnection
from heatherpier.callers._limits import CallerLimits
from heatherpier.callers._session import CallerSession, SessionAdapter
from heatherpier.callers._stream import CallerStream
from heatherpier.callers._users import Users
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("callers")

BACKLOG = 512


class Listener:
    """Serves the MySQL protocol.

    Args:
        open_session: Makes the session of a new caller from its user name.
        password_hashes: Hash of each user's password, by user name.
        timers: Timer service.
        limits: Limits of the listener and of each connection.
        ssl: Offered to callers, or None.
    """

    def __init__(
        self,
        *,
        open_session: Callable[[str], CallerSession],
        password_hashes: Mapping[str, str],
        timers: Timers,
        limits: CallerLimits | None = None,
        ssl: SSLContext | None = None,
    ) -> None:
        self._open_session = open_session
        self._users = Users(password_hashes)
        self._timers = timers
        self._limits = limits or CallerLimits()
        self._ssl = ssl
        self._control = LocalControl()
        self._server: asyncio.Server | None = None
        self._connections: dict[CallerConnection, asyncio.Task[None]] = {}
        self._draining = False

    @property
    def connected(self) -> int:
        """Count of callers that are connected."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """TCP port that it listens at."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self, *, host: str, port: int) -> None:
        """Starts to accept connections."""
        self._server = await asyncio.start_server(
            self._accept, host=host, port=port, backlog=BACKLOG
        )

    async def close(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()

    async def drain(self, *, transactions_s: float, statements_s: float) -> int:
        """Closes all callers between statements.

        Args:
            transactions_s: Time in seconds for open transactions to finish.
            statements_s: Time in seconds after that for running statements.

        Returns:
            Count of connections that had to be cut.
        """
        self._draining = True
        for conn in self._connections:
            conn.drain()
        await self._wait(transactions_s)
        for conn in self._connections:
            conn.end_transaction()
        await self._wait(statements_s)
        cut = dict(self._connections)
        for conn in cut:
            conn.abort()
        await asyncio.gather(*cut.values(), return_exceptions=True)
        return len(cut)

    async def _wait(self, limit_s: float) -> None:
        if self._connections:
            await asyncio.wait(self._connections.values(), timeout=limit_s)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._connections) >= self._limits.connections:
            self._refuse(writer)
            return
        conn = self._make_connection(reader, writer)
        conn.connection_id = await self._control.add(conn)
        task = asyncio.current_task()
        assert task is not None
        self._connections[conn] = task
        if self._draining:
            conn.drain()
        try:
            await conn.serve()
        finally:
            del self._connections[conn]
            await self._control.remove(conn.connection_id)

    def _make_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> CallerConnection:
        stream = CallerStream(reader, writer, limits=self._limits, timers=self._timers)
        return CallerConnection(
            stream,
            session=SessionAdapter(self._open_session),
            control=self._control,
            users=self._users,
            ssl=self._ssl,
            limits=self._limits,
            timers=self._timers,
        )

    def _refuse(self, writer: asyncio.StreamWriter) -> None:
        packet = make_error(
            capabilities=Capabilities(0),
            msg="too many connections",
            code=ErrorCode.CON_COUNT_ERROR,
        )
        writer.write(len(packet).to_bytes(3, "little") + b"\0" + packet)
        writer.close()
        log.warning("connection refused", connections=len(self._connections))
