"""Serves one caller's connection, from the handshake to the last answer."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from ssl import SSLContext
from typing import Any

from mysql_mimic.auth import NativePasswordAuthPlugin
from mysql_mimic.connection import Connection
from mysql_mimic.control import LocalControl
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.packets import (
    make_auth_switch_request,
    make_binary_resultrow,
    make_column_definition_41,
)
from mysql_mimic.stream import ConnectionClosed
from mysql_mimic.types import Commands, uint_len

from heatherpier.callers._errors import (
    AccessDeniedError,
    BadHandshakeError,
    CallerError,
    MalformedPacketError,
    ShutdownError,
    UnknownDatabaseError,
)
from heatherpier.callers._limits import CallerLimits
from heatherpier.callers._packets import PacketAdapter
from heatherpier.callers._prepared import (
    PreparedStatement,
    PreparedStatements,
    TooManyStatementsError,
    UnknownStatementError,
)
from heatherpier.callers._rows import binary_columns
from heatherpier.callers._session import SessionAdapter
from heatherpier.callers._stream import STRING_TERMINATORS, CallerStream
from heatherpier.callers._users import Users
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers
from heatherpier.upstreams import Result

log = get_logger("callers")

ER_UNKNOWN_STMT_HANDLER = 1243
ER_MAX_PREPARED_STMT_COUNT_REACHED = 1461
SHUTDOWN_MESSAGE = "the proxy is stopping; not run"

CommandHandler = Callable[[bytes], Awaitable[None]]


class CallerConnection(Connection):
    """Serves the commands of one caller.

    The protocol library's command handlers are reused. Its command loop is
    replaced by one that can stop between two statements and never sends an
    error packet inside a result.

    Args:
        stream: Packets of the connection.
        session: Adapter to the caller's session in the proxy.
        control: Assigns connection ids.
        users: Checks passwords.
        ssl: TLS context offered to the caller. None disables TLS.
        limits: Size and time limits.
        timers: Timer service.
    """

    def __init__(
        self,
        stream: CallerStream,
        *,
        session: SessionAdapter,
        control: LocalControl,
        users: Users,
        ssl: SSLContext | None,
        limits: CallerLimits,
        timers: Timers,
    ) -> None:
        super().__init__(
            stream=stream,
            session=session,
            control=control,
            identity_provider=users,
            ssl=ssl,
        )
        self._session_adapter = session
        self._limits = limits
        self._timers = timers
        self._packet_adapter = PacketAdapter(self)
        self._prepared = PreparedStatements(limits)
        self._serve_task: asyncio.Task[Any] | None = None
        self._draining = False
        self._transaction_grace_ended = False
        self._handlers: dict[int, CommandHandler] = {
            Commands.COM_QUERY: self.handle_query,
            Commands.COM_STMT_PREPARE: self.handle_stmt_prepare,
            Commands.COM_STMT_SEND_LONG_DATA: self.handle_stmt_send_long_data,
            Commands.COM_STMT_EXECUTE: self.handle_stmt_execute,
            Commands.COM_STMT_RESET: self.handle_stmt_reset,
            Commands.COM_STMT_CLOSE: self.handle_stmt_close,
            Commands.COM_PING: self.handle_ping,
            Commands.COM_CHANGE_USER: self.handle_change_user,
            Commands.COM_RESET_CONNECTION: self.handle_reset_connection,
            Commands.COM_INIT_DB: self.handle_init_db,
        }

    async def serve(self) -> None:
        """Serves the caller until either side closes the connection."""
        self._serve_task = asyncio.current_task()
        try:
            await self._serve()
        except ConnectionClosed:
            pass
        except OSError as exc:
            log.info(
                "caller connection lost", connection=self.connection_id, reason=str(exc)
            )
            self.stream.abort()
        except CallerError as exc:
            log.info(
                "caller connection closed after an error",
                connection=self.connection_id,
                reason=str(exc),
            )
            await self._send_final_error(exc)
        finally:
            await self._session_adapter.close()
            self.stream.close()

    async def _serve(self) -> None:
        try:
            async with self._timers.timeout(self._limits.handshake_s):
                await self.connection_phase()
        except (CallerError, ConnectionClosed, OSError):
            raise
        except Exception as exc:
            raise BadHandshakeError(f"bad handshake: {exc!r:.100}") from exc
        while not self._must_close():
            if not await self._serve_command():
                return
        raise ShutdownError(SHUTDOWN_MESSAGE)

    async def _serve_command(self) -> bool:
        try:
            data = await self.stream.read_command()
        except asyncio.CancelledError:
            if not self._must_close():
                raise
            if self._serve_task is not None:
                self._serve_task.uncancel()
            raise ShutdownError(SHUTDOWN_MESSAGE) from None
        if not data:
            raise MalformedPacketError("a command packet is empty")
        if data[0] == Commands.COM_QUIT:
            return False
        try:
            await self._dispatch(data)
        finally:
            self.stream.reset_seq()
        return True

    async def _dispatch(self, data: bytes) -> None:
        handler = self._handlers.get(data[0])
        try:
            if handler is None:
                raise MysqlError(
                    f"unsupported command {data[0]:#04x}", ErrorCode.UNKNOWN_COM_ERROR
                )
            await handler(data[1:])
        except MysqlError as exc:
            await self.stream.write(self.error(msg=exc.msg, code=exc.code))
        except (CallerError, ConnectionClosed, OSError):
            raise
        except Exception as exc:
            # Any other exception comes from parsing the command. Part of the
            # answer may have been sent, so the connection can't be kept.
            log.info(
                "malformed command", connection=self.connection_id, reason=repr(exc)
            )
            raise MalformedPacketError(f"malformed command {data[0]:#04x}") from exc

    async def authenticate(
        self,
        username: str,
        auth_response: bytes,
        client_plugin_name: str | None,
        **_: Any,
    ) -> None:
        """Checks the caller's password and database, then sends an OK packet.

        This replaces the library's method, which answers a failed login with an
        error, but goes on to serve commands.

        Raises:
            AccessDeniedError: The user is unknown or the password is wrong.
            UnknownDatabaseError: The user has no such database.
        """
        plugin = NativePasswordAuthPlugin()
        if client_plugin_name not in (None, plugin.name):
            auth_response = await self._switch_auth_plugin(plugin.name)
        user = await self.identity_provider.get_user(username)
        nonce = (self.handshake_auth_data or b"").rstrip(b"\0")
        if not plugin.password_matches(user=user, scramble=auth_response, nonce=nonce):
            raise AccessDeniedError(f"access denied for user {username!r:.80}")
        await self._session_adapter.open(
            username, database=self.session.database, connection_id=self.connection_id
        )
        self._session_adapter.attach(self._packet_adapter)
        await self.stream.write(self.ok())

    async def _switch_auth_plugin(self, name: str) -> bytes:
        await self.stream.write(
            make_auth_switch_request(
                server_charset=self.server_charset,
                plugin_name=name,
                plugin_provided_data=self.handshake_auth_data,
            )
        )
        response: bytes = await self.stream.read_raw()
        return response

    async def handle_change_user(self, data: bytes) -> None:
        """Authenticates again and begins a new session.

        A failed authentication closes the connection.
        """
        self._prepared.clear()
        await super().handle_change_user(data + STRING_TERMINATORS)

    async def handle_reset_connection(self, data: bytes) -> None:
        """Replaces the session by a new one of the same user and database."""
        self._prepared.clear()
        await self._session_adapter.reopen()
        await self.stream.write(self.ok())

    async def handle_init_db(self, data: bytes) -> None:
        """Selects a database, or keeps the current one if the name is unknown."""
        try:
            await super().handle_init_db(data)
        except UnknownDatabaseError as exc:
            self._packet_adapter.set_sqlstate(exc.sqlstate)
            raise MysqlError(exc.message, exc.code) from exc

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Stores a prepared statement and answers with its id.

        The answer describes the parameters only, since the proxy knows the columns
        of the result only after a run.
        """
        try:
            statement = self._prepared.prepare(data.decode(self.client_charset.codec))
        except TooManyStatementsError as exc:
            raise MysqlError(str(exc), ER_MAX_PREPARED_STMT_COUNT_REACHED) from exc
        packets = [
            b"\0"
            + statement.id.to_bytes(4, "little")
            + b"\0\0"
            + statement.parameter_count.to_bytes(2, "little")
            + b"\0\0\0"
        ]
        placeholder = make_column_definition_41(
            server_charset=self.server_charset, name="?"
        )
        packets += [placeholder] * statement.parameter_count
        if statement.parameter_count and not self.deprecate_eof():
            packets.append(self.eof())
        self.stream.write_many(packets)
        await self.stream.drain()

    async def handle_stmt_send_long_data(self, data: bytes) -> None:
        """Buffers one chunk of a parameter. The protocol defines no answer."""
        self._prepared.add_long_data(data)

    async def handle_stmt_close(self, data: bytes) -> None:
        """Removes a prepared statement. The protocol defines no answer."""
        self._prepared.close(int.from_bytes(data[:4], "little"))

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Drops the parameter chunks that are buffered for a statement."""
        statement = self._find_prepared(int.from_bytes(data[:4], "little"))
        statement.long_data.clear()
        await self.stream.write(self.ok())

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Runs a prepared statement and answers in the binary protocol."""
        self._find_prepared(int.from_bytes(data[:4], "little"))
        bound = self._prepared.bind(
            data, capabilities=self.capabilities, charset=self.client_charset.codec
        )
        if bound.cursor_requested:
            raise MysqlError(
                "server-side cursors are not supported", ErrorCode.NOT_SUPPORTED_YET
            )
        result = await self._session_adapter.run(bound.sql, bound.attributes)
        if not result.columns:
            await self.stream.write(self.ok())
            return
        await self._write_binary(result)

    def _find_prepared(self, statement_id: int) -> PreparedStatement:
        try:
            return self._prepared.get(statement_id)
        except UnknownStatementError as exc:
            raise MysqlError(str(exc), ER_UNKNOWN_STMT_HANDLER) from exc

    async def _write_binary(self, result: Result) -> None:
        columns = binary_columns(result)
        packets = [uint_len(len(columns))]
        packets += [
            make_column_definition_41(
                server_charset=self.server_charset,
                name=column.name,
                column_type=column.type,
                character_set=column.character_set,
            )
            for column in columns
        ]
        if not self.deprecate_eof():
            packets.append(self.eof())
        packets += [make_binary_resultrow(row, columns) for row in result.rows]
        packets.append(self.ok_or_eof())
        self.stream.write_many(packets)
        await self.stream.drain()

    async def _send_final_error(self, exc: CallerError) -> None:
        self._packet_adapter.set_sqlstate(exc.sqlstate)
        with contextlib.suppress(OSError):
            await self.stream.write_final_error(
                self.error(msg=exc.message, code=exc.code)
            )
            await self.stream.linger()

    def drain(self) -> None:
        """Closes the connection between two statements.

        An open transaction may still finish, until `end_transaction_grace`.
        """
        self._draining = True
        self._cancel_idle_read()

    def end_transaction_grace(self) -> None:
        """Closes a draining connection between two statements, even in a transaction.

        The open transaction is rolled back.
        """
        self._transaction_grace_ended = True
        self._cancel_idle_read()

    def _must_close(self) -> bool:
        if not self._draining:
            return False
        return self._transaction_grace_ended or not self._session_adapter.in_transaction

    def _cancel_idle_read(self) -> None:
        if self._serve_task and self._must_close() and self.stream.at_packet_boundary:
            self._serve_task.cancel()

    def abort(self) -> None:
        """Closes the connection immediately, also during a statement."""
        self.stream.abort()
        if self._serve_task is not None:
            self._serve_task.cancel()
