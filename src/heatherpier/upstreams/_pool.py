"""Bounded pool of connections to one instance."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from heatherpier.timers import Timers
from heatherpier.upstreams._errors import (
    AnswerTimeoutError,
    ConnectError,
    ConnectionLostError,
    PoolBusyError,
    StatementError,
    UpstreamError,
)
from heatherpier.upstreams._interface import Connection, Connector, Instance, Result
from heatherpier.upstreams._session_state import leaves_session_state

# A connection that was idle for longer is tested before it is used again.
IDLE_CHECK_S = 1.0
IDLE_CHECK_TIMEOUT_S = 0.25
CONNECT_TIMEOUT_S = 1.0


class PooledConnection:
    """Connection of a `Pool`, which runs each statement with a time limit.

    Attributes:
        name: Name of the instance.
        usable: Whether the connection may run another statement.
        in_transaction: Whether a transaction is open, from BEGIN until the answer to
            COMMIT or ROLLBACK. The user of the connection sets it.
    """

    def __init__(self, conn: Connection, *, timers: Timers, name: str) -> None:
        self._conn = conn
        self._timers = timers
        self.name = name
        self.usable = True
        self.in_transaction = False
        # Whether a statement has left session state that the next user would see.
        self.has_session_state = False

    async def execute(self, sql: str, *, timeout_s: float) -> Result:
        """Runs one statement.

        Args:
            sql: Text of the statement.
            timeout_s: Time limit for the answer, in seconds.

        Raises:
            StatementError: The instance answered with an error.
            ConnectionLostError: No answer arrived and the outcome is unknown, or the
                connection is already closed or holds an unexpected answer.
        """
        if not self.usable:
            raise ConnectionLostError(f"{self.name}: the connection is already closed")
        if self.has_unread():
            self.abort()
            raise ConnectionLostError(
                f"{self.name}: an answer arrived that no statement waited for"
            )
        self.has_session_state = self.has_session_state or leaves_session_state(sql)
        try:
            async with self._timers.timeout(timeout_s):
                return await self._conn.execute(sql)
        except StatementError:
            raise
        except TimeoutError as exc:
            self.abort()
            raise AnswerTimeoutError(
                f"{self.name}: no answer within {timeout_s:.3f} s"
            ) from exc
        except BaseException:
            self.abort()
            raise

    def has_unread(self) -> bool:
        """Returns whether an answer has arrived that no statement waits for."""
        return self._conn.has_unread()

    def abort(self) -> None:
        """Closes the connection, so that no later statement reads a late answer."""
        self.usable = False
        self._conn.abort()


class Pool:
    """Pool of connections to one instance, of which at most ``limit`` are open.

    Args:
        instance: Instance that the connections lead to.
        connector: Opens connections.
        timers: Clock and timeouts.
        limit: Maximum count of open connections.
    """

    def __init__(
        self, instance: Instance, *, connector: Connector, timers: Timers, limit: int
    ) -> None:
        self.instance = instance
        self._connector = connector
        self._timers = timers
        self._slots = asyncio.Semaphore(limit)
        self._idle: list[tuple[float, PooledConnection]] = []
        self._in_use = 0
        self._closed = False

    @property
    def open_connections(self) -> int:
        """Count of connections that are in use or idle."""
        return self._in_use + len(self._idle)

    @asynccontextmanager
    async def acquire(self, *, timeout_s: float) -> AsyncIterator[PooledConnection]:
        """Acquires a connection for the duration of the context.

        The connection is closed instead of reused if the context ends by an error
        other than `StatementError`, with a transaction open, or with session
        state of this user left on the connection.

        Args:
            timeout_s: Time limit for a free slot and, separately, for opening a
                connection, in seconds. The latter is at most `CONNECT_TIMEOUT_S`.

        Raises:
            ConnectError: No connection was available in time. No statement was sent.
        """
        try:
            async with self._timers.timeout(timeout_s):
                await self._slots.acquire()
        except TimeoutError as exc:
            raise PoolBusyError(
                f"{self.instance.name}: all connections are in use"
            ) from exc
        try:
            conn = await self._acquire(timeout_s=timeout_s)
            self._in_use += 1
            try:
                yield conn
            except StatementError:
                raise
            except BaseException:
                conn.abort()
                raise
            finally:
                self._in_use -= 1
                self._release(conn)
        finally:
            self._slots.release()

    async def _acquire(self, *, timeout_s: float) -> PooledConnection:
        while self._idle:
            idle_since, conn = self._idle.pop()
            if conn.has_unread():
                conn.abort()
                continue
            if self._timers.now() - idle_since < IDLE_CHECK_S:
                return conn
            if await self._is_alive(conn):
                return conn
        return await self._connect(timeout_s=min(timeout_s, CONNECT_TIMEOUT_S))

    async def _is_alive(self, conn: PooledConnection) -> bool:
        try:
            await conn.execute("SELECT 1", timeout_s=IDLE_CHECK_TIMEOUT_S)
        except UpstreamError:
            conn.abort()
            return False
        return True

    async def _connect(self, *, timeout_s: float) -> PooledConnection:
        try:
            async with self._timers.timeout(timeout_s):
                conn = await self._connector.connect(self.instance)
        except TimeoutError as exc:
            raise ConnectError(
                f"{self.instance.name}: no connection within {timeout_s:.3f} s"
            ) from exc
        return PooledConnection(conn, timers=self._timers, name=self.instance.name)

    def _release(self, conn: PooledConnection) -> None:
        if not conn.usable:
            return
        if self._closed or conn.in_transaction or conn.has_session_state:
            conn.abort()
            return
        self._idle.append((self._timers.now(), conn))

    def close(self) -> None:
        """Closes idle connections now and those in use when they are released."""
        self._closed = True
        for _, conn in self._idle:
            conn.abort()
        self._idle.clear()
