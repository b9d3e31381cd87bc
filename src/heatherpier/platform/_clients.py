"""Serves callers' connections by the line protocol."""

import asyncio
from collections.abc import Awaitable, Callable

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
from heatherpier.serving import IDLE_TOO_LONG, STOPPING, CallerSession
from heatherpier.statements import (
    Begin,
    Code,
    Done,
    Failed,
    Query,
    Reply,
    SessionState,
)
from heatherpier.telemetry import get_logger

log = get_logger("callers")
# Answer to new callers and statements late in a planned stop: they might not finish
# before the process is killed.
STOPPING_FAILURE = Failed(
    code=Code.OVERLOADED, reason=f"{STOPPING}; not run", retry_after_ms=0
)
# Length of the queue of connections to be accepted. A full queue delays callers by
# seconds.
ACCEPT_BACKLOG = 1024

# Takes the database and the key of a caller.
OpenSession = Callable[[str, str], CallerSession | Failed]
WaitUntilKnown = Callable[[], Awaitable[None]]


class LineListener:
    """Accepts callers and serves their sessions.

    Args:
        open_session: Opens a session for a database and a key, or returns the failure
            that the caller is answered with.
        limits: Returns the active limits.
        wait_until_known: Returns once databases and instances are known, or
            will not be soon.
    """

    def __init__(
        self,
        *,
        open_session: OpenSession,
        limits: Callable[[], CallerLimits],
        wait_until_known: WaitUntilKnown,
    ) -> None:
        self._open_session = open_session
        self._limits = limits
        self._wait_until_known = wait_until_known
        self._server: asyncio.Server | None = None
        self._sessions: set[LineSession] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._closes_when_idle = False
        self._ends_transactions = False
        self._rejects_new = False

    async def start(self, *, host: str, port: int) -> None:
        """Starts listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, host, port, backlog=ACCEPT_BACKLOG
        )

    @property
    def sessions(self) -> int:
        """Number of open sessions."""
        return len(self._sessions)

    def _accept(self) -> LineChannel:
        channel = LineChannel()
        session = LineSession(
            channel,
            open_session=self._open_session,
            limits=self._limits,
            wait_until_known=self._wait_until_known,
        )
        if self._closes_when_idle:
            session.close_when_idle()
        if self._ends_transactions:
            session.end_transactions()
        if self._rejects_new:
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
        """Ends each session as soon as it is idle and outside of a transaction.

        New callers are still accepted, and their first statement or transaction is
        served.
        """
        self._closes_when_idle = True
        for session in list(self._sessions):
            session.close_when_idle()

    def refuse_new(self) -> None:
        """Rejects new callers, and new statements outside of transactions.

        Running statements and open transactions continue.
        """
        self._rejects_new = True
        self.close_when_idle()
        for session in list(self._sessions):
            session.refuse_new()

    def close_unused(self) -> None:
        """Ends sessions whose callers have not sent a statement yet."""
        for session in list(self._sessions):
            session.close_unused()

    def end_transactions(self) -> None:
        """Rolls back open transactions, each once no statement of it is running.

        The next statement of each is answered with the end of the transaction, and no
        transaction begins any more.
        """
        self._ends_transactions = True
        for session in list(self._sessions):
            session.end_transactions()

    async def close(self) -> None:
        """Stops listening and cuts all sessions.

        Each statement that has arrived is answered: one that is still running with what
        is certain of its outcome, the others as not run.
        """
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class LineSession:
    """One caller's connection and its session.

    Args:
        channel: Connection to the caller.
        open_session: Opens a session for a database and a key, or returns the failure
            that the caller is answered with.
        limits: Returns the active limits.
        wait_until_known: Returns once databases and instances are known, or
            will not be soon.
    """

    def __init__(
        self,
        channel: LineChannel,
        *,
        open_session: OpenSession,
        limits: Callable[[], CallerLimits],
        wait_until_known: WaitUntilKnown,
    ) -> None:
        self._channel = channel
        self._open_session = open_session
        self._limits = limits
        self._wait_until_known = wait_until_known
        self._session: CallerSession | None = None
        self._awaits_message = False
        self._closes_when_idle = False
        self._ends_transactions = False
        self._has_answered = False
        self._rejects_new = False

    async def run(self) -> None:
        """Serves the connection until the session ends, then closes it.

        It is cancelled at the end of a planned stop.
        """
        try:
            await self._serve()
        except asyncio.CancelledError:
            self._refuse_unread()
            raise
        except ChannelClosedError:
            # The caller has closed the connection, so no answer can be sent.
            pass
        except SilentPeerError as exc:
            log.info("caller timed out", reason=str(exc), partial=exc.partial)
        except MessageTooLargeError as exc:
            self._reject(Failed(code=Code.TOO_LARGE, reason=str(exc)))
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
        word, _, fields = line.partition(" ")
        database, _, key = fields.partition(" ")
        if word != "START" or not database:
            # The rest of the line may hold a key, which no answer or log shows.
            self._reject(
                Failed(
                    code=Code.MALFORMED,
                    reason=f"expected START with a database, got {word!r:.10}",
                )
            )
            return
        await self._wait_until_known()
        session = (
            STOPPING_FAILURE if self._rejects_new else self._open_session(database, key)
        )
        if isinstance(session, Failed):
            self._reject(session)
            return
        self._session = session
        self._channel.write(format_ready(SessionState.IDLE, None) + "\r\n")
        while await self._serve_next(session):
            pass

    async def _serve_next(self, session: CallerSession) -> bool:
        """Serves one message; returns whether the session continues."""
        limits = self._limits()
        if self._may_close(session):
            return False
        line = await self._read_next(session, limits)
        if line is None:
            return True
        word, _, fields = line.partition(" ")
        if word == "BYE":
            return False
        id_, _, text = fields.partition(" ")
        if word != "QUERY" or not id_ or not text:
            self._reject(
                Failed(
                    code=Code.MALFORMED,
                    reason=f"expected QUERY with id and text, or BYE, got {line!r:.40}",
                )
            )
            return False
        query = Query(id=id_, text=text, statement=parse_statement(text))
        if self._must_refuse(query, session):
            self._refuse(line)
            self._refuse_unread()
            return False
        reply = await self._execute(query, session)
        self._has_answered = True
        self._channel.write(_format_reply(reply))
        if self._ends_transactions:
            session.end_transaction(reason=STOPPING)
        await self._channel.drain()
        return True

    def _must_refuse(self, query: Query, session: CallerSession) -> bool:
        """Returns whether a planned stop leaves no time for a statement."""
        if session.in_transaction:
            return False
        begins = isinstance(query.statement, Begin)
        return self._rejects_new or (self._ends_transactions and begins)

    async def _execute(self, query: Query, session: CallerSession) -> Reply:
        """Runs a statement; if it is cancelled, answers with what is certain of it."""
        try:
            return await session.execute(query)
        except asyncio.CancelledError:
            reply = session.interrupted_reply(query)
            log.warning(
                "running statement cut",
                id=query.id,
                database=session.database,
                answer=_answer_word(reply),
            )
            self._channel.write(_format_reply(reply))
            raise

    def _refuse_unread(self) -> None:
        """Answers the statements that have arrived and will not be run."""
        if self._session is None:
            return
        for line in self._channel.take_unread():
            if line.startswith("QUERY "):
                self._refuse(line)

    def _refuse(self, line: str) -> None:
        """Answers a statement as not run because of a planned stop."""
        self._reject(STOPPING_FAILURE, id_=line.split(" ", 2)[1])
        self._channel.write(format_ready(SessionState.IDLE, None) + "\r\n")

    def _may_close(self, session: CallerSession) -> bool:
        """Returns whether the session may be ended now for a planned stop.

        A session that was not used yet continues, because the caller's first statement
        is on the way.
        """
        is_between_operations = self._has_answered and not session.in_transaction
        return (
            self._closes_when_idle
            and is_between_operations
            and not self._channel.has_unread()
        )

    async def _read_next(
        self, session: CallerSession, limits: CallerLimits
    ) -> str | None:
        """Returns the next message, or None if it ended an idle transaction instead.

        Raises:
            SilentPeerError: The message is incomplete, or the caller is idle outside of
                a transaction or after its transaction was ended.
        """
        idle_s = limits.idle_timeout_s
        if session.in_transaction:
            idle_s = limits.transaction_idle_s
        self._awaits_message = True
        try:
            return await self._channel.read(
                idle_s=idle_s, remainder_s=limits.message_timeout_s
            )
        except SilentPeerError as exc:
            if exc.partial or not session.in_transaction or session.transaction_ended:
                raise
            session.end_transaction(reason=IDLE_TOO_LONG)
            return None
        finally:
            self._awaits_message = False

    def _reject(self, failure: Failed, *, id_: str | None = None) -> None:
        log.info(
            "caller request rejected",
            id=id_,
            database=None if self._session is None else self._session.database,
            answer=failure.code.value,
            reason=failure.reason,
        )
        self._channel.write(format_failure(failure) + "\r\n")

    def close_when_idle(self) -> None:
        """Ends the session as soon as it is idle and outside of a transaction."""
        self._closes_when_idle = True
        session = self._session
        if session is not None and self._awaits_message and self._may_close(session):
            self._channel.close()

    def close_unused(self) -> None:
        """Ends the session if it still waits for its first statement."""
        if self._session is None or self._has_answered:
            return
        if self._awaits_message and not self._channel.has_unread():
            self._channel.close()

    def refuse_new(self) -> None:
        """Rejects new statements outside of a transaction from now on."""
        self._rejects_new = True

    def end_transactions(self) -> None:
        """Rolls back an open transaction once no statement of it is running.

        Its next statement is answered with its end, and no other one may begin.
        """
        self._ends_transactions = True
        if self._session is not None and self._awaits_message:
            self._session.end_transaction(reason=STOPPING)


def _answer_word(reply: Reply) -> str:
    return reply.outcome.code.value if isinstance(reply.outcome, Failed) else "done"


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
