"""Joins the protocol library's session to the proxy's."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from mysql_mimic import ColumnType, ResultColumn, ResultSet
from mysql_mimic.errors import MysqlError
from mysql_mimic.session import BaseSession
from mysql_mimic.variables import GlobalVariables, SessionVariables

from heatherpier.callers._packets import PacketAdapter
from heatherpier.requests import FinalError
from heatherpier.upstreams import Result


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


class SessionAdapter(BaseSession):
    """The session of one caller's connection.

    Args:
        open_session: Makes the session of a new caller from its user name.
    """

    def __init__(self, open_session: Callable[[str], CallerSession]) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.username: str | None = None
        self.database: str | None = None
        self._open_session = open_session
        self._session: CallerSession | None = None
        self._packets: PacketAdapter | None = None

    @property
    def in_transaction(self) -> bool:
        """Whether the caller has an open transaction."""
        return self._session is not None and self._session.in_transaction

    async def init(self, connection: Any) -> None:
        """Opens the session of the caller that has authenticated."""
        self._session = self._open_session(self.username or "")

    def attach(self, packets: PacketAdapter) -> None:
        """Fills the answers' counts and flags through ``packets``."""
        self._packets = packets
        self._set_status()

    async def close(self) -> None:
        """Ends the session."""
        if self._session is not None:
            session, self._session = self._session, None
            await session.close()

    async def use(self, database: str) -> None:
        """Chooses the database of the coming statements."""
        self.database = database

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> Any:
        """Runs one statement."""
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
