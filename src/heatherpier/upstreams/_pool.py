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

# An idle connection older than this proves that it still works before it is lent.
IDLE_CHECK_S = 1.0
IDLE_CHECK_TIMEOUT_S = 0.25
CONNECT_TIMEOUT_S = 1.0


class PooledConnection:
    """A lent connection. Each statement has a time limit.

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

    def abort(self) -> None:
        """Closes the connection so that a late answer can reach nobody."""
        self.usable = False
        self._conn.abort()


class Pool:
    """Lends connections to one instance, at most ``limit`` at a time.

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
        self._closed = False

    @asynccontextmanager
    async def borrow(self, *, timeout_s: float) -> AsyncIterator[PooledConnection]:
        """Lends a connection for the duration of the context.

        A connection that leaves the context after an error other than
        `StatementError`, or inside a transaction, is closed, never lent again.

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
            conn = await self._checkout(timeout_s=timeout_s)
            try:
                yield conn
            except StatementError:
                raise
            except BaseException:
                conn.abort()
                raise
            finally:
                self._checkin(conn)
        finally:
            self._free.release()

    async def _checkout(self, *, timeout_s: float) -> PooledConnection:
        while self._idle:
            idle_since, conn = self._idle.pop()
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

    def _checkin(self, conn: PooledConnection) -> None:
        if not conn.usable:
            return
        if self._closed or conn.in_transaction:
            conn.abort()
            return
        self._idle.append((self._timers.now(), conn))

    def close(self) -> None:
        """Closes idle connections now and lent ones when they come back."""
        self._closed = True
        for _, conn in self._idle:
            conn.abort()
        self._idle.clear()
