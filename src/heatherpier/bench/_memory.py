"""Connections in memory between users of a `Connector` and stand-in instances."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from heatherpier.bench._instance import Instance
from heatherpier.bench._memory_connection import MemoryConnection
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    ConnectError,
    Connection,
    TooManyConnectionsError,
)
from heatherpier.upstreams import Instance as Address


class MemoryNetwork:
    """Connects named peers to stand-in instances under virtual time.

    Args:
        timers: Timer service.
        delay_s: One-way delay of each message, in seconds.
        connect_s: Time that a new connection takes, in seconds.

    Attributes:
        data_centres: Data centre of each peer and instance. A peer without one counts
            as in the data centre of the instance.
        remote_delay_s: One-way delay between two data centres, in seconds. None: it
            is ``delay_s``, as within a data centre.
        instances: Instances by name.
        open: Open connections of each instance.
    """

    def __init__(
        self, *, timers: Timers, delay_s: float = 0.001, connect_s: float = 0.012
    ) -> None:
        self.timers = timers
        self.delay_s = delay_s
        self.connect_s = connect_s
        self.remote_delay_s: float | None = None
        self.data_centres: dict[str, str] = {}
        self.instances: dict[str, Instance] = {}
        # Dicts, since they keep the order in which connections were opened: tests that
        # iterate over them replay exactly from a seed.
        self.open: dict[str, dict[MemoryConnection, None]] = {}
        self._cuts: set[frozenset[str]] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, instance: Instance) -> None:
        """Makes ``instance`` reachable."""
        self.instances[instance.name] = instance
        self.open[instance.name] = {}
        self.data_centres[instance.name] = instance.address.data_centre

    def one_way_s(self, peer: str, target: Instance) -> float:
        """Returns the one-way delay of a message, in seconds."""
        return (
            self.delay_s
            if self._is_same_data_centre(peer, target)
            else self.remote_delay_s or 0.0
        )

    def connect_delay_s(self, peer: str, target: Instance | None) -> float:
        """Returns the time that a new connection takes, in seconds."""
        if target is None or self._is_same_data_centre(peer, target):
            return self.connect_s
        return self.connect_s + 2 * self.one_way_s(peer, target)

    def _is_same_data_centre(self, peer: str, target: Instance) -> bool:
        data_centre = target.address.data_centre
        return (
            self.remote_delay_s is None
            or self.data_centres.get(peer, data_centre) == data_centre
        )

    def spawn(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs ``coro`` in a task of its own that the network keeps alive."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def remove_connection(self, instance: str, conn: MemoryConnection) -> None:
        """Removes a closed connection from the open ones."""
        self.open[instance].pop(conn, None)

    def connector(self, peer: str) -> "MemoryConnector":
        """Returns a connector that opens connections from ``peer``."""
        return MemoryConnector(self, peer)

    def cut(self, peer: str, instance: str) -> None:
        """Loses all messages between ``peer`` and ``instance`` until `heal`."""
        self._cuts.add(frozenset({peer, instance}))

    def heal(self, peer: str, instance: str) -> None:
        """Undoes `cut`."""
        self._cuts.discard(frozenset({peer, instance}))

    def is_cut(self, peer: str, instance: str) -> bool:
        """Returns whether messages between the two are lost."""
        return frozenset({peer, instance}) in self._cuts

    def crash(self, name: str) -> None:
        """Closes all connections of an instance and refuses new ones."""
        self.instances[name].faults.refuse_connections = True
        for conn in list(self.open[name]):
            conn.reset()

    def restart(self, name: str) -> None:
        """Lets an instance accept connections again, with its log, term and vote."""
        self.instances[name].faults.refuse_connections = False


class MemoryConnector:
    """Implements `Connector` over a `MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, peer: str) -> None:
        self._network = network
        self._peer = peer

    async def connect(self, instance: Address) -> Connection:
        """Opens a connection; waits forever if the path to the instance is cut."""
        network = self._network
        target = network.instances.get(instance.name)
        await network.timers.sleep(network.connect_delay_s(self._peer, target))
        if target is None or target.faults.refuse_connections:
            raise ConnectError(f"{instance.name}: connection refused")
        if network.is_cut(self._peer, instance.name):
            await asyncio.Event().wait()
        await target.wait_until_resumed()
        if len(network.open[instance.name]) >= target.connection_limit:
            raise TooManyConnectionsError(f"{instance.name}: too many connections")
        conn = MemoryConnection(network, peer=self._peer, target=target)
        network.open[instance.name][conn] = None
        return conn
