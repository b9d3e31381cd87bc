"""Interfaces of connections to instances, and their data types."""

from dataclasses import dataclass
from typing import Any, Protocol


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """Address and location of one database instance.

    Attributes:
        name: Name of the instance, unique in the deployment.
        host: IP address of the instance.
        port: TCP port of the MySQL protocol.
        data_centre: Data centre that the instance is in.
        database: Default schema of its connections, or empty for none.
        leaving: Whether the instance is being removed and must get no new work.
    """

    name: str
    host: str
    port: int
    data_centre: str
    database: str = ""
    leaving: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Column:
    """Name and MySQL type code of a result column."""

    name: str
    type_code: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Answer to one statement.

    Attributes:
        columns: Columns of the rows, empty for a statement that returns no rows.
        rows: Rows, each with one value per column.
        affected_rows: Count of changed rows, for a statement without columns.
        last_insert_id: Generated AUTO_INCREMENT value, or 0 if there is none.
    """

    columns: tuple[Column, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    affected_rows: int = 0
    last_insert_id: int = 0


class Connection(Protocol):
    """A connection to an instance, which runs one statement at a time."""

    async def execute(self, sql: str) -> Result:
        """Runs one statement.

        Raises:
            StatementError: The instance answered with an error.
            ConnectionLostError: No answer arrived.
        """

    def has_unread(self) -> bool:
        """Returns whether data has arrived that no statement waits for."""

    def abort(self) -> None:
        """Closes the connection immediately, without notifying the instance first."""


class Connector(Protocol):
    """Opens connections to instances."""

    async def connect(self, instance: Instance) -> Connection:
        """Opens a connection.

        Raises:
            ConnectError: The instance is unreachable or rejected the connection.
            TooManyConnectionsError: The connection limit of the instance is reached.
        """
