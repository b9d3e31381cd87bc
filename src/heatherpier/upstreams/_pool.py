"""A bounded pool of connections to one instance."""

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
from heatherpier.upstreams._state import leaves_state

# An idle connection older than this proves that it still works before it is acquired.
IDLE_CHECK_S = 1.0
IDLE_CHECK_TIMEOUT_S = 0.25
CONNECT_TIMEOUT_S = 1.0


class PooledConnection:
    """An acquired connection. Each statement has a time limit.

    Attributes:
        name: Name of the instance.
        usable: Whether it may run another statement.
        in_transaction: Set between BEGIN and the answer to COMMIT or ROLLBACK.
    """

    def __init__(self, conn: Connection, *, timers: Timers, name: str) -> None:
        self._conn = conn
        self._timers = timers
        self.name = name
        self.usable = True
        self.in_transaction = False
        # Set once a statement has left state that the next user would meet.
        self.dirty = False

    async def execute(self, sql: str, *, timeout_s: float) -> Result:
        """Runs one statement.

        Args:
            sql: One statement.
            timeout_s: Longest wait for the answer, in seconds.

        Raises:
            StatementError: The instance refused it.
            ConnectionLostError: The answer did not arrive; the outcome is unknown.
        """
        if not self.usable:
            raise ConnectionLostError(f"{self.name}: the connection was closed before")
        if self.has_unread():
            self.abort()
            raise ConnectionLostError(f"{self.name}: an answer to nothing arrived")
        self.dirty = self.dirty or leaves_state(sql)
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
        """Tells whether an answer has arrived that no statement waits for."""
        return self._conn.has_unread()

    def abort(self) -> None:
        """Closes the connection so that a late answer can reach nobody."""
        self.usable = False
        self._conn.abort()


class Pool:
    """Hands out connections to one instance, at most ``limit`` at a time.

    Args:
        instance: The instance.
        connector: Opens connections.
        timers: Timer service.
        limit: Most connections that may be open.
    """

    def __init__(
        self, instance: Instance, *, connector: Connector, timers: Timers, limit: int
    ) -> None:
        self.instance = instance
        self._connector = connector
        self._timers = timers
        self._free = asyncio.Semaphore(limit)
        self._idle: list[tuple[float, PooledConnection]] = []
        self._lent = 0
        self._closed = False

    @property
    def open_connections(self) -> int:
        """Count of connections that are acquired or idle."""
        return self._lent + len(self._idle)

    @asynccontextmanager
    async def acquire(self, *, timeout_s: float) -> AsyncIterator[PooledConnection]:
        """Acquires a connection for the duration of the context.

        A connection that leaves the context after an error other than
        `StatementError`, inside a transaction, or with state of its user is
        closed, never reused.

        Args:
            timeout_s: Longest wait for a free connection, in seconds.

        Raises:
            ConnectError: No connection could be had in time. Nothing was sent.
        """
        try:
            async with self._timers.timeout(timeout_s):
                await self._free.acquire()
        except TimeoutError as exc:
            raise PoolBusyError(f"{self.instance.name}: all connections busy") from exc
        try:
            conn = await self._acquire(timeout_s=timeout_s)
            self._lent += 1
            try:
                yield conn
            except StatementError:
                raise
            except BaseException:
                conn.abort()
                raise
            finally:
                self._lent -= 1
                self._release(conn)
        finally:
            self._free.release()

    async def _acquire(self, *, timeout_s: float) -> PooledConnection:
        while self._idle:
            idle_since, conn = self._idle.pop()
            if conn.has_unread():
                conn.abort()
                continue
            if self._timers.now() - idle_since < IDLE_CHECK_S:
                return conn
            if await self._still_works(conn):
                return conn
        return await self._open(timeout_s=min(timeout_s, CONNECT_TIMEOUT_S))

    async def _still_works(self, conn: PooledConnection) -> bool:
        try:
            await conn.execute("SELECT 1", timeout_s=IDLE_CHECK_TIMEOUT_S)
        except UpstreamError:
            conn.abort()
            return False
        return True

    async def _open(self, *, timeout_s: float) -> PooledConnection:
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
        if self._closed or conn.in_transaction or conn.dirty:
            conn.abort()
            return
        self._idle.append((self._timers.now(), conn))

    def close(self) -> None:
        """Closes idle connections now and acquired ones when they come back."""
        self._closed = True
        for _, conn in self._idle:
            conn.abort()
        self._idle.clear()
