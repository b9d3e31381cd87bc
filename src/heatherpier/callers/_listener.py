"""Accepts callers' connections and drains them when the proxy stops."""

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
from heatherpier.telemetry import Metrics, get_logger
from heatherpier.timers import Timers

log = get_logger("callers")

LISTEN_BACKLOG = 512


class Listener:
    """Listens for callers and serves them the MySQL protocol.

    Args:
        open_session: Returns a new session for a user name.
        password_hashes: Hash of each user's password, by user name.
        timers: Timer service.
        metrics: Counts callers and statements. None keeps metrics of its own.
        limits: Limits of the listener and of each connection. None stands for
            the defaults.
        ssl: TLS context offered to callers. None disables TLS.
    """

    def __init__(
        self,
        *,
        open_session: Callable[[str], CallerSession],
        password_hashes: Mapping[str, str],
        timers: Timers,
        metrics: Metrics | None = None,
        limits: CallerLimits | None = None,
        ssl: SSLContext | None = None,
    ) -> None:
        self._open_session = open_session
        self._users = Users(password_hashes)
        self._timers = timers
        self._metrics = metrics or Metrics()
        self._limits = limits or CallerLimits()
        self._ssl = ssl
        self._control = LocalControl()
        self._server: asyncio.Server | None = None
        self._connections: dict[CallerConnection, asyncio.Task[None]] = {}
        self._draining = False

    @property
    def connected(self) -> int:
        """Number of connected callers."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """TCP port that the listener is bound to."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self, *, host: str, port: int) -> None:
        """Binds the listening socket and starts to accept connections."""
        self._server = await asyncio.start_server(
            self._accept, host=host, port=port, backlog=LISTEN_BACKLOG
        )

    async def close(self) -> None:
        """Stops accepting connections. Open connections stay open."""
        if self._server is not None:
            self._server.close()

    async def drain(self, *, transactions_s: float, statements_s: float) -> int:
        """Closes all connections, each between two of its statements.

        Args:
            transactions_s: Time in seconds for open transactions to finish.
            statements_s: Further time in seconds for running statements to finish.

        Returns:
            Number of connections that were still open after both times and were
            aborted.
        """
        self._draining = True
        for conn in self._connections:
            conn.drain()
        await self._wait_until_closed(transactions_s)
        for conn in self._connections:
            conn.end_transaction_grace()
        await self._wait_until_closed(statements_s)
        aborted = dict(self._connections)
        for conn in aborted:
            conn.abort()
        await asyncio.gather(*aborted.values(), return_exceptions=True)
        return len(aborted)

    async def _wait_until_closed(self, limit_s: float) -> None:
        if self._connections:
            await asyncio.wait(self._connections.values(), timeout=limit_s)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._connections) >= self._limits.connections:
            self._reject(writer)
            return
        conn = self._make_connection(reader, writer)
        conn.connection_id = await self._control.add(conn)
        task = asyncio.current_task()
        assert task is not None
        self._connections[conn] = task
        self._metrics.callers.set(len(self._connections))
        if self._draining:
            conn.drain()
        try:
            await conn.serve()
        finally:
            del self._connections[conn]
            self._metrics.callers.set(len(self._connections))
            await self._control.remove(conn.connection_id)

    def _make_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> CallerConnection:
        stream = CallerStream(reader, writer, limits=self._limits, timers=self._timers)
        return CallerConnection(
            stream,
            session=SessionAdapter(
                self._open_session, timers=self._timers, metrics=self._metrics
            ),
            control=self._control,
            users=self._users,
            ssl=self._ssl,
            limits=self._limits,
            timers=self._timers,
        )

    def _reject(self, writer: asyncio.StreamWriter) -> None:
        packet = make_error(
            capabilities=Capabilities(0),
            msg="too many connections",
            code=ErrorCode.CON_COUNT_ERROR,
        )
        writer.write(len(packet).to_bytes(3, "little") + b"\0" + packet)
        writer.close()
        self._metrics.refused_callers.inc()
        log.warning(
            "connection rejected: connection limit reached",
            connections=len(self._connections),
        )
