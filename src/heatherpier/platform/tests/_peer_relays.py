"""Relays between real proxies, whose connections faults delay, cut, silence or reset.

Each proxy reaches each other one through a relay of its own, so that a fault can hit
one direction only. `redirect_peers` makes a proxy's process use them. A relay accepts
connections also while the process behind it does not run, so the check whether a peer
refuses connections (`ZmqPeers.refuses`) asks the peer as well.
"""

import asyncio
import contextlib
import dataclasses
import json
from collections.abc import AsyncIterator, Iterator
from pathlib import Path
from typing import Any, ClassVar
from unittest import mock

from heatherpier import _platform_proxy
from heatherpier.fleet import Peer, ZmqPeers
from heatherpier.timers import Timers

HOST = "127.0.0.1"
CHUNK_BYTES = 65536
# Key of the settings file under which the ports of a proxy's relays stand.
RELAYS_KEY = "peerRelays"


class PeerRelay:
    """Forwards connections from one proxy to another.

    Args:
        host: Address of the proxy that is reached.
        port: Its port for other proxies.
        timers: Timer service.

    Attributes:
        cut: Whether nothing is forwarded from the calling proxy. What it sends
            meanwhile is forwarded afterwards.
        answers_cut: The same for the way back.
        delay_s: Delay of each forwarded chunk, in seconds.
    """

    def __init__(self, host: str, port: int, *, timers: Timers) -> None:
        self.cut = False
        self.answers_cut = False
        self.delay_s = 0.0
        self._target = host, port
        self._timers = timers
        self._server: asyncio.Server | None = None
        self._refusals = 0
        # Any free port at the first start, then the same one.
        self._port = 0
        self._connections: set[_RelayedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Listens on a free port and returns the port."""
        self._server = await asyncio.start_server(self._accept, HOST, self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        return self._port

    def refuse(self) -> None:
        """Resets all connections and refuses new ones until `accept` is called."""
        assert self._server is not None
        self._refusals += 1
        self._server.close()
        self.reset()

    async def accept(self) -> None:
        """Ends one `refuse`; with the last one, new connections are accepted again."""
        self._refusals -= 1
        if not self._refusals:
            await self.start()

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Resets all connections."""
        for conn in self._connections:
            conn.abort()

    def silence(self) -> None:
        """Forwards nothing more on the present connections; new ones work."""
        for conn in self._connections:
            conn.silent = True

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._relay(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        conn = _RelayedConnection((writer, target_writer))
        self._connections.add(conn)
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._forward(conn, reader, target_writer))
                tasks.create_task(
                    self._forward(conn, target_reader, writer, answers=True)
                )
        except* OSError:
            # One end was reset, so the other is reset below.
            pass
        finally:
            self._connections.discard(conn)
            conn.abort()

    async def _forward(
        self,
        conn: "_RelayedConnection",
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool = False,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await self._timers.sleep(self.delay_s)
            while conn.silent or (self.answers_cut if answers else self.cut):
                await self._timers.sleep(0.02)
            writer.write(chunk)
            await writer.drain()
        conn.abort()


class _RelayedConnection:
    """Both ends of a forwarded connection."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, ...]) -> None:
        self.silent = False
        self._writers = writers

    def abort(self) -> None:
        for writer in self._writers:
            writer.transport.abort()


class PeerRelays:
    """All relays of a deployment, by the names of the calling and the reached proxy.

    Args:
        addresses: Address of each proxy by name.
        port: Port of all proxies for other proxies.
        timers: Timer service.
    """

    def __init__(self, addresses: dict[str, str], *, port: int, timers: Timers) -> None:
        self._addresses = addresses
        self._relays = {
            (caller, reached): PeerRelay(host, port, timers=timers)
            for caller in addresses
            for reached, host in addresses.items()
            if caller != reached
        }

    async def start(self) -> dict[str, dict[str, int]]:
        """Starts all relays.

        Returns:
            The port of the relay to each other proxy's address, by calling proxy.
        """
        ports: dict[str, dict[str, int]] = {}
        for (caller, reached), relay in self._relays.items():
            host = self._addresses[reached]
            ports.setdefault(caller, {})[host] = await relay.start()
        return ports

    async def close(self) -> None:
        """Stops all relays."""
        for relay in self._relays.values():
            await relay.close()

    def all(self) -> list[PeerRelay]:
        """Returns all relays."""
        return list(self._relays.values())

    def _around(self, name: str) -> list[PeerRelay]:
        return [relay for pair, relay in self._relays.items() if name in pair]

    @contextlib.asynccontextmanager
    async def refusing(self, name: str) -> AsyncIterator[None]:
        """Refuses all connections between one proxy and the others."""
        relays = self._around(name)
        for relay in relays:
            relay.refuse()
        try:
            yield
        finally:
            for relay in relays:
                await relay.accept()

    @contextlib.contextmanager
    def isolated(self, name: str) -> Iterator[None]:
        """Cuts all connections between one proxy and the others."""
        relays = self._around(name)
        for relay in relays:
            relay.cut = relay.answers_cut = True
        try:
            yield
        finally:
            for relay in relays:
                relay.cut = relay.answers_cut = False
                relay.reset()


class RelayedPeers(ZmqPeers):
    """Connects to other proxies through the relays on the ports in `relay_ports`."""

    # Port of the relay to each other proxy's address.
    relay_ports: ClassVar[dict[str, int]] = {}

    def _connect(self, peer: Peer) -> Any:
        return super()._connect(self._behind_relay(peer))

    async def refuses(self, peer: Peer, *, timeout_s: float) -> bool:
        relayed = self._behind_relay(peer)
        return await super().refuses(
            relayed, timeout_s=timeout_s
        ) or await super().refuses(peer, timeout_s=timeout_s)

    def _behind_relay(self, peer: Peer) -> Peer:
        port = self.relay_ports[peer.host]
        return dataclasses.replace(peer, host=HOST, port=port)


def redirect_peers(settings: str) -> None:
    """Makes this process connect to other proxies through the relays in its settings.

    Args:
        settings: Path of the settings file.
    """
    RelayedPeers.relay_ports = json.loads(Path(settings).read_text())[RELAYS_KEY]
    mock.patch.object(_platform_proxy, "ZmqPeers", RelayedPeers).start()
