"""Interfaces of the connections that the pools manage."""

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Protocol

from heatherpier.pooling._calls import Call
from heatherpier.statements import Reply
from heatherpier.upstreams import Instance

if TYPE_CHECKING:
    from heatherpier.pooling._connection import InstanceConnection
    from heatherpier.pooling._uses import ConnectionUse


class InstanceLink(Protocol):
    """One connection to an instance. It runs at most one exchange at a time."""

    async def exchange(self, calls: Sequence[Call]) -> list[Reply]:
        """Sends all calls at once and returns their answers in order.

        Raises:
            ConnectionLostError: The connection failed before all answers arrived.
        """

    def has_unread(self) -> bool:
        """Returns whether data has arrived that no call waits for."""

    def abort(self) -> None:
        """Closes the connection immediately."""


class InstanceConnector(Protocol):
    """Opens connections to instances."""

    async def connect(
        self, instance: Instance, *, service: str, organisation: str = ""
    ) -> InstanceLink:
        """Opens a connection to the instance of that name and service.

        Args:
            instance: The instance.
            service: Service that the instance belongs to.
            organisation: Name of the organisation whose statements will run on the
                connection, or empty if none is identified.

        Raises:
            ConnectError: Nothing answers at the address, or another instance does.
            TooManyConnectionsError: The instance is at its connection limit.
        """


class Pool(Protocol):
    """Hands out connections to one instance, direct ones or through another proxy."""

    @property
    def fair(self) -> bool:
        """Whether waiters are in fair order, so that they may wait until late."""

    @property
    def may_abandon(self) -> bool:
        """Whether ending an exchange early closes no connection to the instance."""

    @property
    def open_connections(self) -> int:
        """Number of connections that are acquired, idle or being opened."""

    def expected_wait_s(self) -> float:
        """Returns how long a new waiter would wait, in seconds."""

    async def acquire(
        self,
        values: Mapping[str, str],
        *,
        priority: int,
        deadline: float,
        organisation: str = "",
        use: "ConnectionUse | None" = None,
    ) -> "InstanceConnection":
        """Acquires a connection, to be returned by `release`.

        Args:
            values: Session values; a connection that has exactly them is preferred.
            organisation: Organisation that the connection has to belong to, or empty.
            priority: Priority of the waiter; lower numbers are served first.
            deadline: Monotonic time in seconds at which the wait ends.
            use: What the connection is for; None for a use with the deadline as its
                objective.

        Raises:
            OverloadedError: The waiter would not be served before its deadline.
            ConnectError: No connection can be opened.
        """

    def release(self, conn: "InstanceConnection", *, held_s: float) -> None:
        """Returns a connection to the pool; one in an unknown state is closed."""

    def roll_back_and_release(
        self, conn: "InstanceConnection", *, held_s: float
    ) -> None:
        """Rolls back a connection's transaction, then returns it to the pool."""
