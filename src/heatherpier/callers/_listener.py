"""Listens for callers and hands their statements to a dispatcher."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from mysql_mimic import ColumnType, MysqlServer, ResultColumn, ResultSet
from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User
from mysql_mimic.errors import MysqlError
from mysql_mimic.session import BaseSession
from mysql_mimic.variables import GlobalVariables, SessionVariables

from heatherpier.callers._packets import PacketAdapter
from heatherpier.requests import FinalError
from heatherpier.telemetry import get_logger
from heatherpier.upstreams import Result

log = get_logger("callers")


class CallerSession(Protocol):
    """What one caller's connection needs from the proxy."""

    in_transaction: bool
    autocommit: bool

    async def execute(
        self, sql: str, *, database: str | None, hints: Mapping[str, str]
    ) -> Result:
        """Runs one statement.

        Raises:
            FinalError: The final answer is not a result.
        """

    async def close(self) -> None:
        """Ends the session; an open transaction is rolled back."""


class Listener:
    """Serves the MySQL protocol.

    Args:
        open_session: Makes the session of a new caller from its user name.
        password_hashes: Hash of each user's password, by user name.
    """

    def __init__(
        self,
        *,
        open_session: Callable[[str], CallerSession],
        password_hashes: Mapping[str, str],
    ) -> None:
        self._open_session = open_session
        self._server = MysqlServer(
            session_factory=lambda: _Connection(self._open_session),
            identity_provider=_Users(password_hashes),
        )

    async def start(self, *, host: str, port: int) -> None:
        """Starts to accept connections."""
        await self._server.start_server(host=host, port=port)

    async def close(self) -> None:
        """Stops accepting connections."""
        self._server.close()


class _Users(IdentityProvider):
    """Checks passwords against the hashes of the settings."""

    def __init__(self, password_hashes: Mapping[str, str]) -> None:
        self._password_hashes = password_hashes

    async def get_user(self, username: str) -> User | None:
        password_hash = self._password_hashes.get(username)
        if password_hash is None:
            return None
        return User(
            name=username,
            auth_string=password_hash,
            auth_plugin=NativePasswordAuthPlugin.name,
        )


class _Connection(BaseSession):
    """One caller's connection."""

    def __init__(self, open_session: Callable[[str], CallerSession]) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.username = None
        self.database: str | None = None
        self._open_session = open_session
        self._session: CallerSession | None = None
        self._packets: PacketAdapter | None = None

    async def init(self, connection: Any) -> None:
        self._packets = PacketAdapter(connection)
        self._session = self._open_session(self.username or "")
        self._set_status()

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def use(self, database: str) -> None:
        self.database = database

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> Any:
        assert self._session is not None
        assert self._packets is not None
        try:
            result = await self._session.execute(
                sql, database=self.database, hints=attrs
            )
        except FinalError as exc:
            self._packets.set_sqlstate(exc.sqlstate)
            raise MysqlError(exc.message, exc.code) from exc
        finally:
            self._set_status()
        if not result.columns:
            self._packets.set_result(
                affected_rows=result.affected_rows,
                last_insert_id=result.last_insert_id,
            )
            return None
        return ResultSet(rows=result.rows, columns=_columns(result))

    def _set_status(self) -> None:
        if self._packets is not None and self._session is not None:
            self._packets.set_status(
                in_transaction=self._session.in_transaction,
                autocommit=self._session.autocommit,
            )


def _columns(result: Result) -> list[ResultColumn]:
    return [
        ResultColumn(name=column.name, type=ColumnType(column.type_code))
        for column in result.columns
    ]
