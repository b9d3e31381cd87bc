"""Callers' connections by the line protocol."""

import asyncio
from collections.abc import Callable

from heatherpier.platform._channel import (
    ChannelClosedError,
    LineChannel,
    MessageTooLargeError,
    SilentPeerError,
)
from heatherpier.platform._line import (
    format_failure,
    format_ready,
    parse_statement,
)
from heatherpier.routing import CallerLimits
from heatherpier.serving import CallerSession
from heatherpier.statements import (
    Code,
    Done,
    Failed,
    Query,
    Reply,
    SessionState,
)
from heatherpier.telemetry import get_logger

log = get_logger("callers")
# What is said late in a planned stop, when a statement might not end in time.
STOPPING = Failed(
    code=Code.OVERLOADED, reason="the proxy is stopping; not run", retry_after_ms=0
)
# Connections that wait to be accepted; a full queue delays callers by seconds.
BACKLOG = 1024

OpenSession = Callable[[str], CallerSession | Failed]


class LineListener:
    """Accepts callers and serves their sessions.

    Args:
        open_session: Makes the session of a database, or says why there is none.
        limits: Returns the active limits.
    """

    def __init__(
        self, *, open_session: OpenSession, limits: Callable[[], CallerLimits]
    ) -> None:
        self._open_session = open_session
        self._limits = limits
        self._server: asyncio.Server | None = None
        self._sessions: set[LineSession] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing = False
        self._refusing = False

    async def start(self, *, host: str, port: int) -> None:
        """Starts to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, host, port, backlog=BACKLOG
        )

    @property
    def sessions(self) -> int:
        """Count of open sessions."""
        return len(self._sessions)

    def _accept(self) -> LineChannel:
        channel = LineChannel()
        session = LineSession(
            channel, open_session=self._open_session, limits=self._limits
        )
        if self._closing:
            session.close_when_idle()
        if self._refusing:
            session.refuse_new()
        task = asyncio.create_task(self._serve(session))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return channel

    async def _serve(self, session: "LineSession") -> None:
        self._sessions.add(session)
        try:
            await session.run()
        finally:
            self._sessions.discard(session)

    def close_when_idle(self) -> None:
        """Has each session end as soon as it is outside of a transaction and idle.

        New callers are still accepted, and served one operation each.
        """
        self._closing = True
        for session in list(self._sessions):
            session.close_when_idle()

    def refuse_new(self) -> None:
        """Has statements and callers that come from now on refused.

        Running statements and open transactions go on.
        """
        self._refusing = True
        self.close_when_idle()
        for session in list(self._sessions):
            session.refuse_new()

    def close_unused(self) -> None:
        """Ends sessions whose callers have sent no statement since they came."""
        for session in list(self._sessions):
            session.close_unused()

    def end_transactions(self) -> None:
        """Rolls back the transactions that are open; their callers are told."""
        for session in list(self._sessions):
            session.expire_transaction()

    async def close(self) -> None:
        """Stops listening and ends all sessions."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class LineSession:
    """One caller's connection.

    Args:
        channel: The connection.
        open_session: Makes the session of a database, or says why there is none.
        limits: Returns the active limits.
    """

    def __init__(
        self,
        channel: LineChannel,
        *,
        open_session: OpenSession,
        limits: Callable[[], CallerLimits],
    ) -> None:
        self._channel = channel
        self._open_session = open_session
        self._limits = limits
        self._session: CallerSession | None = None
        self._waiting = False
        self._closing = False
        self._served = False
        self._refusing = False

    async def run(self) -> None:
        """Serves the session until its end."""
        try:
            await self._serve()
        except ChannelClosedError:
            # The caller has left; nothing is owed.
            pass
        except SilentPeerError as exc:
            log.info("caller closed", reason=str(exc), partial=exc.partial)
        except MessageTooLargeError as exc:
            self._refuse(Failed(code=Code.TOO_LARGE, reason=str(exc)))
        finally:
            if self._session is not None:
                self._session.close()
            self._channel.close()

    async def _serve(self) -> None:
        limits = self._limits()
        self._channel.max_bytes = limits.message_bytes
        line = await self._channel.read(
            idle_s=limits.message_timeout_s, remainder_s=limits.message_timeout_s
        )
        # The user behind the database tells nothing that serving rests on.
        word, _, fields = line.partition(" ")
        database, _, _ = fields.partition(" ")
        if word != "START" or not database:
            self._refuse(
                Failed(code=Code.MALFORMED, reason=f"expected START, got {line!r:.40}")
            )
            return
        session = STOPPING if self._refusing else self._open_session(database)
        if isinstance(session, Failed):
            self._refuse(session)
            return
        self._session = session
        self._channel.write(format_ready(SessionState.IDLE, None) + "\r\n")
        while await self._serve_next(session):
            pass

    async def _serve_next(self, session: CallerSession) -> bool:
        """Serves one message and tells whether the session goes on."""
        limits = self._limits()
        if self._may_close(session):
            return False
        line = await self._next_line(session, limits)
        if line is None:
            return True
        word, _, fields = line.partition(" ")
        if word == "BYE":
            return False
        id_, _, text = fields.partition(" ")
        if word != "QUERY" or not id_ or not text:
            self._refuse(
                Failed(code=Code.MALFORMED, reason=f"not a message: {line!r:.40}")
            )
            return False
        if self._refusing and not session.in_transaction:
            self._refuse(STOPPING)
            self._channel.write(format_ready(SessionState.IDLE, None) + "\r\n")
            return False
        query = Query(id=id_, text=text, statement=parse_statement(text))
        reply = await session.execute(query)
        self._served = True
        self._channel.write(_format_reply(reply))
        await self._channel.drain()
        return True

    def _may_close(self, session: CallerSession) -> bool:
        """Tells whether a planned stop may end the session here.

        A caller that has just come is served once: its statement is on the way.
        """
        between = self._served and not session.in_transaction
        return self._closing and between and not self._channel.has_unread()

    async def _next_line(
        self, session: CallerSession, limits: CallerLimits
    ) -> str | None:
        """Returns the next message, or None if an idle transaction was ended."""
        idle_s = limits.idle_timeout_s
        if session.in_transaction:
            idle_s = limits.transaction_idle_s
        self._waiting = True
        try:
            return await self._channel.read(
                idle_s=idle_s, remainder_s=limits.message_timeout_s
            )
        except SilentPeerError as exc:
            if exc.partial or not session.in_transaction or session.transaction_ended:
                raise
            session.expire_transaction()
            return None
        finally:
            self._waiting = False

    def _refuse(self, failure: Failed) -> None:
        log.info(
            "caller refused",
            database=None if self._session is None else self._session.database,
            answer=failure.code.value,
            reason=failure.reason,
        )
        self._channel.write(format_failure(failure) + "\r\n")

    def close_when_idle(self) -> None:
        """Has the session end when it is idle and outside of a transaction."""
        self._closing = True
        session = self._session
        if session is not None and self._waiting and self._may_close(session):
            self._channel.close()

    def close_unused(self) -> None:
        """Has the session end if it waits for its first statement."""
        if self._session is None or self._served:
            return
        if self._waiting and not self._channel.has_unread():
            self._channel.close()

    def refuse_new(self) -> None:
        """Has statements outside of a transaction refused from now on."""
        self._refusing = True

    def expire_transaction(self) -> None:
        """Rolls back an open transaction; its caller is told at its next statement."""
        if self._session is not None and self._waiting:
            self._session.expire_transaction()


def _format_reply(reply: Reply) -> str:
    lines: list[str] = []
    match reply.outcome:
        case Done(rows=rows, signature=signature):
            lines.extend(f"ROW {row}" for row in rows)
            lines.append(f"DONE {signature or '-'}")
        case Failed() as failure:
            lines.append(format_failure(failure))
    lines.append(format_ready(reply.state, reply.position))
    return "\r\n".join(lines) + "\r\n"
