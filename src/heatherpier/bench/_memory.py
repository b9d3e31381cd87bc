"""A network in memory between callers of `Connector` and stand-in instances."""

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import Any

from heatherpier.bench._dialog import Dialog
from heatherpier.bench._instance import Instance
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    ConnectError,
    Connection,
    ConnectionLostError,
    Result,
    StatementError,
    TooManyConnectionsError,
)
from heatherpier.upstreams import Instance as Address


class MemoryNetwork:
    """Connects named peers to instances under virtual time.

    Args:
        timers: Timer service.
        delay_s: One-way delay of each message.
        connect_s: Time that a new connection takes.
    """

    def __init__(
        self, *, timers: Timers, delay_s: float = 0.001, connect_s: float = 0.012
    ) -> None:
        self.timers = timers
        self.delay_s = delay_s
        self.connect_s = connect_s
        self.instances: dict[str, Instance] = {}
        self.open: dict[str, set[_MemoryConnection]] = {}
        self._cuts: set[frozenset[str]] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, instance: Instance) -> None:
        """Makes ``instance`` reachable."""
        self.instances[instance.name] = instance
        self.open[instance.name] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs ``work`` apart from the connection that caused it."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def connector(self, peer: str) -> "MemoryConnector":
        """Returns a connector that acts for ``peer``."""
        return MemoryConnector(self, peer)

    def cut(self, peer: str, instance: str) -> None:
        """Loses all messages between ``peer`` and ``instance`` from now on."""
        self._cuts.add(frozenset({peer, instance}))

    def heal(self, peer: str, instance: str) -> None:
        """Undoes `cut`."""
        self._cuts.discard(frozenset({peer, instance}))

    def is_cut(self, peer: str, instance: str) -> bool:
        """Tells whether messages between the two are lost."""
        return frozenset({peer, instance}) in self._cuts

    def crash(self, name: str) -> None:
        """Closes all connections of an instance and refuses new ones."""
        self.instances[name].faults.refuse_connections = True
        for conn in list(self.open[name]):
            conn.break_off()

    def restart(self, name: str) -> None:
        """Accepts connections again. Log, term and vote are as they were."""
        self.instances[name].faults.refuse_connections = False


class MemoryConnector:
    """Implements `Connector` over a `MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, peer: str) -> None:
        self._network = network
        self._peer = peer

    async def connect(self, instance: Address) -> Connection:
        """Opens a connection."""
        network = self._network
        await network.timers.sleep(network.connect_s)
        target = network.instances.get(instance.name)
        if target is None or target.faults.refuse_connections:
            raise ConnectError(f"{instance.name}: connection refused")
        if network.is_cut(self._peer, instance.name):
            await asyncio.Event().wait()
        await target.until_resumed()
        if len(network.open[instance.name]) >= target.connection_limit:
            raise TooManyConnectionsError(f"{instance.name}: too many connections")
        conn = _MemoryConnection(network, peer=self._peer, target=target)
        network.open[instance.name].add(conn)
        return conn


class _MemoryConnection:
    """One connection in memory."""

    def __init__(self, network: MemoryNetwork, *, peer: str, target: Instance) -> None:
        self._network = network
        self._peer = peer
        self._target = target
        self._dialog = Dialog(target)
        self._broken = asyncio.Event()
        self.silent = False

    async def execute(self, sql: str) -> Result:
        await self._travel()
        if sql.startswith("COMMIT") and self._target.faults.late_commit_ms:
            self._commit_late()
            raise ConnectionLostError(f"{self._target.name}: connection reset")
        work = asyncio.ensure_future(self._dialog.execute(sql))
        broken = asyncio.ensure_future(self._broken.wait())
        try:
            await asyncio.wait({work, broken}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                raise ConnectionLostError(f"{self._target.name}: connection reset")
            if sql.startswith("COMMIT") and self._target.faults.drop_answers:
                self._target.faults.drop_answers -= 1
                await work
                self.break_off()
            result = work.result()
        finally:
            work.cancel()
            broken.cancel()
        await self._travel()
        return result

    def _commit_late(self) -> None:
        faults = self._target.faults
        delay_s, faults.late_commit_ms = faults.late_commit_ms / 1000, 0
        self._network.spawn(self._commit_after(delay_s, dialog=self._dialog))
        self._dialog = Dialog(self._target)

    async def _commit_after(self, delay_s: float, *, dialog: Dialog) -> None:
        await self._network.timers.sleep(delay_s)
        with contextlib.suppress(StatementError):
            await dialog.execute("COMMIT")

    async def _travel(self) -> None:
        await self._network.timers.sleep(self._network.delay_s)
        if self.silent or self._network.is_cut(self._peer, self._target.name):
            await self._broken.wait()
        if self._broken.is_set():
            raise ConnectionLostError(f"{self._target.name}: connection reset")

    def break_off(self) -> None:
        """Closes the connection from the instance's side."""
        self._broken.set()
        self._dialog.rollback()
        self._network.open[self._target.name].discard(self)

    def abort(self) -> None:
        if not self._broken.is_set():
            self.break_off()
