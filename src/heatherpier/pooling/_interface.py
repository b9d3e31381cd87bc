"""Interfaces of the connections that the pools manage."""

from collections.abc import Sequence
from typing import Protocol

from heatherpier.pooling._calls import Call
from heatherpier.statements import Reply
from heatherpier.upstreams import Instance


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
