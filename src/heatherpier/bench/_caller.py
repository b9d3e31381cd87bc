"""A caller's session, which switches between proxies and records its statements."""

import asyncio
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from heatherpier.bench._driver import (
    AnsweredError,
    CallerConnection,
    CallerError,
    NoAnswerError,
    ProxyEndpoint,
    UnreachableError,
)
from heatherpier.bench._history import History, UnansweredStatement
from heatherpier.upstreams import Result

SWITCH_PROBABILITY = 0.3
RETRY_DELAY_S = 0.05
SERVER_SHUTDOWN = 1053


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionContext:
    """What the sessions of one database group share.

    Attributes:
        group: Database group.
        database: Name of its schema.
        proxies: Proxies that sessions choose from.
        history: Receives the records of all sessions.
    """

    group: str
    database: str
    proxies: Sequence[ProxyEndpoint]
    history: History


@dataclass(slots=True)
class _ProxyConnection:
    """A connection to one proxy, and the last token that was sent or read on it."""

    conn: CallerConnection
    token: str = ""


class CallerSession:
    """A session with its token and one connection to each proxy that it used.

    Args:
        name: Name that is unique in the run.
        context: What it shares with other sessions.
        rng: Chooses proxies and varies back-off times.

    Attributes:
        token: Last session token that was read, or empty before the first.
    """

    def __init__(
        self, name: str, *, context: SessionContext, rng: random.Random
    ) -> None:
        self.name = name
        self.token = ""
        self.context = context
        self.history = context.history
        self._rng = rng
        self._connections: dict[str, _ProxyConnection] = {}
        self._current: ProxyEndpoint = rng.choice(context.proxies)
        self._operations = 0

    @property
    def proxy(self) -> str:
        """Name of the proxy that the session currently uses."""
        return self._current.name

    def next_op(self) -> str:
        """Returns an id for a write or transaction, unique in the run."""
        self._operations += 1
        return f"{self.name}.{self._operations}"

    def maybe_switch_proxy(self) -> None:
        """Switches to another proxy with probability `SWITCH_PROBABILITY`."""
        if self._rng.random() < SWITCH_PROBABILITY:
            self.switch_proxy()

    def switch_proxy(self) -> None:
        """Switches to another proxy, chosen at random, if there is one."""
        others = [item for item in self.context.proxies if item is not self._current]
        if others:
            self._current = self._rng.choice(others)

    async def execute(self, sql: str, **hints: str) -> Result:
        """Runs one statement on the current proxy, with the session's token.

        Args:
            sql: One statement.
            **hints: Hints of this statement, sent in a leading comment.

        Raises:
            AnsweredError: The answer is an error.
            NoAnswerError: The statement was sent and no answer came.
            UnreachableError: The statement was not sent.
        """
        connection = await self._connection()
        if self.token and connection.token != self.token:
            await self._send(connection, f"SET @heatherpier_token = '{self.token}'")
            connection.token = self.token
        return await self._send(connection, _with_hints(sql, hints))

    async def continue_transaction(self, sql: str) -> Result:
        """Runs one more statement of the transaction that `execute` opened.

        Raises:
            AnsweredError: The answer is an error.
            NoAnswerError: The statement was sent and no answer came.
            UnreachableError: The connection was closed inside the transaction.
        """
        try:
            connection = await self._connection(reopen=False)
        except UnreachableError as exc:
            self._record_unanswered(sql, f"in a transaction: {exc}")
            raise
        return await self._send(connection, sql)

    async def refresh_token(self) -> None:
        """Reads the session's token from the current proxy.

        Raises:
            CallerError: The token could not be read.
        """
        connection = await self._connection(reopen=False)
        result = await self._send(connection, "SELECT @heatherpier_token")
        self.token = connection.token = str(result.rows[0][0])

    def close_connection(self) -> None:
        """Closes the connection to the current proxy."""
        connection = self._connections.pop(self._current.name, None)
        if connection is not None:
            connection.conn.close()

    async def back_off(self, exc: CallerError) -> None:
        """Waits before the next attempt.

        The wait is what the error asks for. If it asks for none, the wait is
        `RETRY_DELAY_S` and the session switches to another proxy. Both waits vary at
        random by half.
        """
        wait_s = RETRY_DELAY_S
        if isinstance(exc, AnsweredError) and exc.retry_after_s is not None:
            wait_s = exc.retry_after_s
        else:
            self.switch_proxy()
        await asyncio.sleep(wait_s * (0.5 + self._rng.random()))

    async def _connection(self, *, reopen: bool = True) -> _ProxyConnection:
        name = self._current.name
        connection = self._connections.get(name)
        if connection is not None and not connection.conn.closed():
            return connection
        self.close_connection()
        if not reopen:
            raise UnreachableError(f"{name}: connection closed between statements")
        conn = await self._current.connect(self.context.database)
        self._connections[name] = _ProxyConnection(conn)
        return self._connections[name]

    async def _send(self, connection: _ProxyConnection, sql: str) -> Result:
        proxy = self._current.name
        self.history.sent += 1
        self.history.in_flight[proxy] += 1
        try:
            return await connection.conn.execute(sql)
        except NoAnswerError as exc:
            self._record_unanswered(sql, str(exc))
            self.close_connection()
            raise
        except AnsweredError as exc:
            if exc.code == SERVER_SHUTDOWN:
                self.close_connection()
            raise
        finally:
            self.history.in_flight[proxy] -= 1

    def _record_unanswered(self, sql: str, reason: str) -> None:
        self.history.unanswered.append(
            UnansweredStatement(
                proxy=self._current.name,
                session=self.name,
                at=asyncio.get_running_loop().time(),
                sql=sql,
                reason=reason,
            )
        )

    def close(self) -> None:
        """Closes all connections."""
        for connection in self._connections.values():
            connection.conn.close()
        self._connections.clear()


def _with_hints(sql: str, hints: Mapping[str, str]) -> str:
    if not hints:
        return sql
    text = " ".join(f"{name}={value}" for name, value in hints.items())
    return f"/* heatherpier: {text} */ {sql}"
