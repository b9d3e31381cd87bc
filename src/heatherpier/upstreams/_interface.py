"""What the rest of the proxy needs from a connection to an instance."""

from dataclasses import dataclass
from typing import Any, Protocol


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """Address and place of one database instance.

    Attributes:
        name: Name that is unique in the deployment.
        host: IP address.
        port: TCP port.
        data_centre: Data centre that the instance is in.
        database: Schema that statements run in.
        leaving: Whether the instance must get no new work.
    """

    name: str
    host: str
    port: int
    data_centre: str
    database: str = ""
    leaving: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Column:
    """Name and MySQL type number of a result column."""

    name: str
    type_code: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Answer to one statement.

    Attributes:
        columns: Empty for a statement that returns no rows.
        rows: One tuple for each row.
        affected_rows: Count of changed rows, for a statement without columns.
        last_insert_id: Generated id, or 0.
    """

    columns: tuple[Column, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    affected_rows: int = 0
    last_insert_id: int = 0


class Connection(Protocol):
    """One connection. At most one statement runs on it at a time."""

    async def execute(self, sql: str) -> Result:
        """Runs one statement.

        Raises:
            StatementError: The instance refused it.
            ConnectionLostError: The answer did not arrive.
        """

    def has_unread(self) -> bool:
        """Tells whether something has arrived that no statement waits for."""

    def abort(self) -> None:
        """Closes the connection at once, without a goodbye."""


class Connector(Protocol):
    """Opens connections to instances."""

    async def connect(self, instance: Instance) -> Connection:
        """Opens a connection.

        Raises:
            ConnectError: Nothing answers at the address, or it refused.
            TooManyConnectionsError: The instance's limit is reached.
        """
