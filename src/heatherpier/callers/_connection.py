"""One caller's connection, from the handshake to the last answer."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from ssl import SSLContext
from typing import Any

from mysql_mimic.connection import Connection
from mysql_mimic.control import LocalControl
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.stream import ConnectionClosed
from mysql_mimic.types import Commands

from heatherpier.callers._errors import (
    AccessDeniedError,
    CallerError,
    MalformedPacketError,
    ShutdownError,
)
from heatherpier.callers._limits import CallerLimits
from heatherpier.callers._packets import PacketAdapter
from heatherpier.callers._session import SessionAdapter
from heatherpier.callers._stream import CallerStream
from heatherpier.callers._users import Users
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("callers")

STOPPING = "the proxy is stopping; not run"

Handler = Callable[[bytes], Awaitable[None]]


class CallerConnection(Connection):
    """Serves the commands of one caller.

    The library's handlers are used; its command loop is replaced by one that
    ends at a statement boundary and never mixes an error into a result.

    Args:
        stream: Packets of the connection.
        session: The caller's session.
        control: Gives out connection numbers.
        users: Checks passwords.
        ssl: Offered to the caller, or None.
        limits: Limits of size and time.
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
        self._adapter = session
        self._limits = limits
        self._timers = timers
        self._packets = PacketAdapter(self)
        self._serving: asyncio.Task[Any] | None = None
        self._draining = False
        self._transactions_over = False
        self._handlers: dict[int, Handler] = {
            Commands.COM_QUERY: self.handle_query,
            Commands.COM_STMT_PREPARE: self.handle_stmt_prepare,
            Commands.COM_STMT_SEND_LONG_DATA: self.handle_stmt_send_long_data,
            Commands.COM_STMT_EXECUTE: self.handle_stmt_execute,
            Commands.COM_STMT_FETCH: self.handle_stmt_fetch,
            Commands.COM_STMT_RESET: self.handle_stmt_reset,
            Commands.COM_STMT_CLOSE: self.handle_stmt_close,
            Commands.COM_PING: self.handle_ping,
            Commands.COM_CHANGE_USER: self.handle_change_user,
            Commands.COM_RESET_CONNECTION: self.handle_reset_connection,
            Commands.COM_INIT_DB: self.handle_init_db,
        }

    async def serve(self) -> None:
        """Serves the caller until one side ends the connection."""
        self._serving = asyncio.current_task()
        try:
            await self._serve()
        except ConnectionClosed:
            pass
        except (OSError, TimeoutError) as exc:
            log.info("caller lost", connection=self.connection_id, reason=str(exc))
            self.stream.abort()
        except AccessDeniedError as exc:
            log.info("access denied", connection=self.connection_id, reason=str(exc))
            await self.stream.linger()
        except CallerError as exc:
            log.info("caller closed", connection=self.connection_id, reason=str(exc))
            await self._say_farewell(exc)
        finally:
            await self._adapter.close()
            self.stream.close()

    async def _serve(self) -> None:
        try:
            async with self._timers.timeout(self._limits.handshake_s):
                await self.connection_phase()
        except (CallerError, ConnectionClosed, OSError, TimeoutError):
            raise
        except MysqlError as exc:
            raise MalformedPacketError(f"bad handshake: {exc.msg}") from exc
        except Exception as exc:
            raise MalformedPacketError(f"bad handshake: {exc!r:.100}") from exc
        await self._adapter.init(self)
        self._adapter.attach(self._packets)
        while not self._must_close():
            if not await self._serve_command():
                return
        raise ShutdownError(STOPPING)

    async def _serve_command(self) -> bool:
        try:
            data = await self.stream.read_command()
        except asyncio.CancelledError:
            if not self._must_close():
                raise
            if self._serving is not None:
                self._serving.uncancel()
            raise ShutdownError(STOPPING) from None
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
        except (CallerError, ConnectionClosed, OSError, TimeoutError):
            raise
        except Exception as exc:
            # What is left are faults of parsing; the answer may have begun, so
            # the connection can't go on.
            log.info("bad command", connection=self.connection_id, reason=repr(exc))
            raise MalformedPacketError(f"malformed command {data[0]:#04x}") from exc

    async def authenticate(self, **fields: Any) -> None:
        """Checks the caller's password.

        The library answers a failure and then goes on to serve commands.

        Raises:
            AccessDeniedError: The password is wrong; the caller has been told.
        """
        self.session.username = None
        await super().authenticate(**fields)
        if self.session.username is None:
            raise AccessDeniedError(f"access denied for user {fields['username']!r}")

    async def _say_farewell(self, exc: CallerError) -> None:
        self._packets.set_sqlstate(exc.sqlstate)
        with contextlib.suppress(OSError, TimeoutError):
            await self.stream.write_farewell(self.error(msg=exc.message, code=exc.code))
            await self.stream.linger()

    def drain(self) -> None:
        """Closes the connection at its next statement boundary.

        An open transaction is let finish.
        """
        self._draining = True
        self._interrupt_idle()

    def end_transaction(self) -> None:
        """Closes a draining connection at its next boundary even in a transaction."""
        self._transactions_over = True
        self._interrupt_idle()

    def _must_close(self) -> bool:
        if not self._draining:
            return False
        return self._transactions_over or not self._adapter.in_transaction

    def _interrupt_idle(self) -> None:
        if self._serving and self._must_close() and self.stream.at_boundary:
            self._serving.cancel()

    def abort(self) -> None:
        """Closes the connection at once."""
        self.stream.abort()
        if self._serving is not None:
            self._serving.cancel()
