"""One session of a caller: it roams between proxies and records what it saw."""

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
from heatherpier.bench._history import CutRecord, History
from heatherpier.upstreams import Result

ROAM_SHARE = 0.3
RETRY_S = 0.05
SERVER_SHUTDOWN = 1053


@dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """What a session's callers have in common.

    Attributes:
        group: Database group.
        database: Its schema.
        proxies: Proxies that callers may choose from.
        history: Where records go.
    """

    group: str
    database: str
    proxies: Sequence[ProxyEndpoint]
    history: History


@dataclass(slots=True)
class _Link:
    conn: CallerConnection
    token: str = ""


class CallerSession:
    """A session that keeps its token and its connections.

    Args:
        name: Name that is unique in the run.
        place: Where it runs.
        rng: Chooses proxies.

    Attributes:
        token: Last token that the session was given.
        proxy: Name of the proxy that served the last statement.
    """

    def __init__(self, name: str, *, place: Place, rng: random.Random) -> None:
        self.name = name
        self.token = ""
        self.place = place
        self.history = place.history
        self._rng = rng
        self._links: dict[str, _Link] = {}
        self._current: ProxyEndpoint = rng.choice(place.proxies)
        self._operations = 0

    @property
    def proxy(self) -> str:
        """Name of the proxy that serves the session now."""
        return self._current.name

    def next_op(self) -> str:
        """Returns a new name for a write."""
        self._operations += 1
        return f"{self.name}.{self._operations}"

    def maybe_roam(self) -> None:
        """Moves to another proxy once in a while."""
        if self._rng.random() < ROAM_SHARE:
            self.move()

    def move(self) -> None:
        """Moves to another proxy."""
        others = [item for item in self.place.proxies if item is not self._current]
        if others:
            self._current = self._rng.choice(others)

    async def execute(self, sql: str, **hints: str) -> Result:
        """Runs one statement on the current proxy, with the session's token.

        Args:
            sql: One statement.
            **hints: Hints of this statement, sent in a leading comment.

        Raises:
            AnsweredError: The answer is an error.
            NoAnswerError: It was sent and no answer came.
            UnreachableError: It was not sent.
        """
        link = await self._link()
        if self.token and link.token != self.token:
            await self._send(link, f"SET @heatherpier_token = '{self.token}'")
            link.token = self.token
        return await self._send(link, _with_hints(sql, hints))

    async def continue_transaction(self, sql: str) -> Result:
        """Runs one more statement of the transaction that `execute` opened.

        Raises:
            AnsweredError: The answer is an error.
            NoAnswerError: It was sent and no answer came.
            UnreachableError: The connection was closed inside the transaction.
        """
        try:
            link = await self._link(reopen=False)
        except UnreachableError as exc:
            self._record_cut(sql, f"in a transaction: {exc}")
            raise
        return await self._send(link, sql)

    async def refresh_token(self) -> None:
        """Asks the current proxy for the session's token.

        Raises:
            CallerError: No token came.
        """
        link = await self._link(reopen=False)
        result = await self._send(link, "SELECT @heatherpier_token")
        self.token = link.token = str(result.rows[0][0])

    def drop_link(self) -> None:
        """Closes the connection to the current proxy."""
        link = self._links.pop(self._current.name, None)
        if link is not None:
            link.conn.close()

    async def back_off(self, exc: CallerError) -> None:
        """Waits as the error says, and leaves a proxy that did not answer."""
        wait_s = RETRY_S
        if isinstance(exc, AnsweredError) and exc.retry_after_s is not None:
            wait_s = exc.retry_after_s
        else:
            self.move()
        await asyncio.sleep(wait_s * (0.5 + self._rng.random()))

    async def _link(self, *, reopen: bool = True) -> _Link:
        name = self._current.name
        link = self._links.get(name)
        if link is not None and not link.conn.closed():
            return link
        self.drop_link()
        if not reopen:
            raise UnreachableError(f"{name}: closed between statements")
        conn = await self._current.connect(self.place.database)
        self._links[name] = _Link(conn)
        return self._links[name]

    async def _send(self, link: _Link, sql: str) -> Result:
        self.history.sent += 1
        try:
            return await link.conn.execute(sql)
        except NoAnswerError as exc:
            self._record_cut(sql, str(exc))
            self.drop_link()
            raise
        except AnsweredError as exc:
            if exc.code == SERVER_SHUTDOWN:
                self.drop_link()
            raise

    def _record_cut(self, sql: str, reason: str) -> None:
        self.history.cuts.append(
            CutRecord(
                proxy=self._current.name,
                session=self.name,
                at=asyncio.get_running_loop().time(),
                sql=sql,
                reason=reason,
            )
        )

    def close(self) -> None:
        """Closes all connections."""
        for link in self._links.values():
            link.conn.close()
        self._links.clear()


def _with_hints(sql: str, hints: Mapping[str, str]) -> str:
    if not hints:
        return sql
    text = " ".join(f"{name}={value}" for name, value in hints.items())
    return f"/* heatherpier: {text} */ {sql}"
