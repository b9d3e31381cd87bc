"""Adapts the proxy's session to the session class of the protocol library."""

from collections.abc import Callable, Collection, Mapping
from typing import Any, Protocol

from mysql_mimic import ResultSet
from mysql_mimic.errors import MysqlError
from mysql_mimic.session import BaseSession
from mysql_mimic.variables import GlobalVariables, SessionVariables

from heatherpier.callers._errors import UnknownDatabaseError
from heatherpier.callers._kinds import Read, Write
from heatherpier.callers._local import (
    ConnectionState,
    Forward,
    LocalAnswer,
    SelectDatabase,
    reply_to,
)
from heatherpier.callers._packets import PacketAdapter
from heatherpier.callers._rows import text_columns
from heatherpier.callers._statements import classify
from heatherpier.callers._transactions import Begin, Commit, Rollback, Savepoint
from heatherpier.requests import FinalError
from heatherpier.telemetry import Metrics, bind_log_fields, get_logger
from heatherpier.timers import Timers
from heatherpier.upstreams import Result

log = get_logger("callers")


class CallerSession(Protocol):
    """Runs the statements of one caller's connection.

    This is the part of the proxy's session that the MySQL protocol needs. The
    class of this name in `serving` is the session of the line protocol.
    """

    @property
    def in_transaction(self) -> bool:
        """True while a transaction is open."""

    @property
    def autocommit(self) -> bool:
        """True if a statement outside a transaction commits automatically."""

    @property
    def databases(self) -> Collection[str]:
        """Names of the databases that the caller may use."""

    async def execute(
        self, sql: str, *, database: str | None, hints: Mapping[str, str]
    ) -> Result:
        """Runs one statement.

        Args:
            sql: The statement.
            database: Selected database, or None if none is.
            hints: Query attributes of the statement, by name.

        Raises:
            FinalError: The statement's final answer is an error.
        """

    async def close(self) -> None:
        """Ends the session and rolls back an open transaction."""


class SessionAdapter(BaseSession):
    """Holds the session and the local state of one caller's connection.

    Args:
        open_session: Returns a new session for a user name.
        timers: Timer service.
        metrics: Counts statements and their durations.
    """

    def __init__(
        self,
        open_session: Callable[[str], CallerSession],
        *,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self._timers = timers
        self._metrics = metrics
        self.variables = SessionVariables(GlobalVariables())
        self.username: str | None = None
        self.database: str | None = None
        self._open_session = open_session
        self._session: CallerSession | None = None
        self._packet_adapter: PacketAdapter | None = None
        self._state = ConnectionState()

    @property
    def in_transaction(self) -> bool:
        """True while the caller has an open transaction."""
        return self._session is not None and self._session.in_transaction

    async def open(
        self, username: str, *, database: str | None, connection_id: int = 0
    ) -> None:
        """Begins the session of an authenticated caller; a previous one is ended.

        Args:
            username: The caller's user name.
            database: Database to select, or None.
            connection_id: MySQL connection id.

        Raises:
            UnknownDatabaseError: The user has no such database.
        """
        await self.close()
        bind_log_fields(connection=str(connection_id), user=username)
        self.username = username
        self._session = self._open_session(username)
        self._state = ConnectionState(
            user=username,
            connection_id=connection_id,
            databases=self._session.databases,
        )
        self.database = None
        if database:
            await self.use(database)

    async def reopen(self) -> None:
        """Ends the session and begins a new one of the same user and database."""
        await self.open(
            self.username or "",
            database=self.database,
            connection_id=self._state.connection_id,
        )
        self._set_status()

    def attach(self, packets: PacketAdapter) -> None:
        """Sets the adapter that receives the counts and flags of answer packets."""
        self._packet_adapter = packets
        self._set_status()

    async def reset(self) -> None:
        """Does nothing.

        The library calls this after authentication, where `open` has begun a new
        session already.
        """

    async def close(self) -> None:
        """Ends the session, if one is open."""
        if self._session is not None:
            session, self._session = self._session, None
            await session.close()

    async def use(self, database: str) -> None:
        """Selects the database for the following statements.

        Raises:
            UnknownDatabaseError: The user has no such database.
        """
        assert self._session is not None
        if database not in self._session.databases:
            raise UnknownDatabaseError(f"unknown database {database!r:.80}")
        self.database = database
        self._state.database = database

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> Any:
        """Runs one statement and returns its rows for the text protocol."""
        result = await self.run(sql, attrs)
        if not result.columns:
            return None
        return ResultSet(rows=result.rows, columns=text_columns(result))

    async def run(self, sql: str, attrs: Mapping[str, Any]) -> Result:
        """Runs one statement, or answers it locally.

        Raises:
            MysqlError: The statement's final answer is an error.
        """
        assert self._session is not None
        assert self._packet_adapter is not None
        try:
            result = await self._answer(sql, attrs)
        except FinalError as exc:
            self._packet_adapter.set_sqlstate(exc.sqlstate)
            raise MysqlError(exc.message, exc.code) from exc
        except UnknownDatabaseError as exc:
            self._packet_adapter.set_sqlstate(exc.sqlstate)
            raise MysqlError(exc.message, exc.code) from exc
        except Exception as exc:
            log.exception(
                "internal error while running a statement", user=self.username
            )
            self._packet_adapter.set_sqlstate(FinalError.sqlstate)
            raise MysqlError("failed: internal error", FinalError.code) from exc
        finally:
            self._set_status()
        if not result.columns:
            self._packet_adapter.set_result(
                affected_rows=result.affected_rows,
                last_insert_id=result.last_insert_id,
            )
        return result

    async def _answer(self, sql: str, attrs: Mapping[str, Any]) -> Result:
        reply = reply_to(sql, self._state, in_transaction=self.in_transaction)
        match reply:
            case LocalAnswer(result=result):
                return result
            case SelectDatabase(name=name):
                await self.use(name)
                return Result()
            case Forward(sql=forwarded):
                return await self._forward(forwarded, attrs)

    async def _forward(self, sql: str, attrs: Mapping[str, Any]) -> Result:
        assert self._session is not None
        hints = {name: str(value) for name, value in attrs.items() if value is not None}
        code: int | None = FinalError.code
        started_at = self._timers.now()
        try:
            result = await self._session.execute(
                sql, database=self.database, hints=hints
            )
            code = None
        except FinalError as exc:
            code = exc.code
            raise
        finally:
            self._metrics.observe_statement(
                _statement_kind(sql), code=code, delay_s=self._timers.now() - started_at
            )
        self._state.row_count = -1 if result.columns else result.affected_rows
        self._state.found_rows = len(result.rows)
        if result.last_insert_id:
            self._state.last_insert_id = result.last_insert_id
        return result

    def _set_status(self) -> None:
        if self._packet_adapter is not None and self._session is not None:
            self._packet_adapter.set_status(
                in_transaction=self._session.in_transaction,
                autocommit=self._session.autocommit,
            )


def _statement_kind(sql: str) -> str:
    match classify(sql):
        case Read():
            return "read"
        case Write():
            return "write"
        case Begin() | Commit() | Rollback() | Savepoint():
            return "transaction"
        case _:
            return "other"
