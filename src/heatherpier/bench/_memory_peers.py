"""A network in memory between proxies, for tests under virtual time."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from heatherpier.fleet import (
    Codec,
    Handler,
    Message,
    Peer,
    PeerNetwork,
    PeerUnreachableError,
    message_kind,
)
from heatherpier.timers import Timers

LOCAL_DELAY_S = 0.001
REGION_DELAY_S = 0.012


class MemoryFleet:
    """Delivers and counts the messages between all proxies of a test.

    `heatherpier.bench._memory_proxies.MemoryFleet` is another class: proxies that share
    a database group.

    Args:
        timers: Timer service.
        codec: Encodes each message, to count its bytes and check its type.
        rng: Chooses which messages are lost.
        detached: Types of message that arrive and are handled also if the sender no
            longer waits for the answer, as on a real network. Others end then.

    Attributes:
        loss_rate: Share of messages that are lost, from 0 to 1.
        double_rate: Share of detached messages that arrive twice, from 0 to 1.
        extra_delay_s: Maximum extra delay of detached messages, in seconds.
        message_count: Count of messages sent.
        byte_count: Size of all messages sent, in bytes.
        kind_counts: Count of messages sent by their type on the wire.
        on_frame: Called with the frame of each message that is sent.
        nodes: Networks of the proxies by host and port.
        ended_addresses: Host and port of proxies whose process has ended while their
            VM still runs and refuses connections.
    """

    def __init__(
        self,
        *,
        timers: Timers,
        codec: Codec,
        rng: random.Random,
        detached: tuple[type[Message], ...] = (),
    ) -> None:
        self.timers = timers
        self.codec = codec
        self.detached = detached
        self.rng = rng
        self.loss_rate = 0.0
        self.double_rate = 0.0
        self.extra_delay_s = 0.0
        self._tasks: set[asyncio.Task[Message | None]] = set()
        self.message_count = 0
        self.byte_count = 0
        self.kind_counts: Counter[str] = Counter()
        self.on_frame: Callable[[bytes], None] = lambda _: None
        self.nodes: dict[tuple[str, int], MemoryPeerNetwork] = {}
        self.ended_addresses: set[tuple[str, int]] = set()
        self._down: set[str] = set()
        self._cuts: set[frozenset[str]] = set()

    def network(self, me: Peer) -> PeerNetwork:
        """Returns the peer network of the proxy ``me``."""
        node = MemoryPeerNetwork(self, me)
        self.nodes[(me.host, me.port)] = node
        return node

    def stop(self, name: str) -> None:
        """Makes the proxy ``name`` unreachable."""
        self._down.add(name)

    def start(self, name: str) -> None:
        """Undoes `stop`."""
        self._down.discard(name)

    def cut(self, one: str, other: str) -> None:
        """Loses all messages between two data centres until `heal`."""
        self._cuts.add(frozenset({one, other}))

    def heal(self) -> None:
        """Undoes all cuts."""
        self._cuts.clear()

    def start_exchange(
        self, exchange: Coroutine[Any, Any, Message | None]
    ) -> asyncio.Task[Message | None]:
        """Starts an exchange that does not end with the sender's wait."""
        task = asyncio.create_task(exchange)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def close(self) -> None:
        """Ends all exchanges."""
        for task in self._tasks:
            task.cancel()

    def draw_copies(self) -> int:
        """Returns how often a detached message arrives if it is not lost."""
        return 2 if self.double_rate and self.rng.random() < self.double_rate else 1

    def draw_extra_delay_s(self) -> float:
        """Returns by how much a detached message is late, in seconds."""
        return self.rng.uniform(0, self.extra_delay_s) if self.extra_delay_s else 0.0

    def draw_loss(self, sender: Peer, receiver: Peer) -> bool:
        """Returns whether a message between the two is lost, by fault or by chance."""
        data_centres = frozenset({sender.data_centre, receiver.data_centre})
        stopped = {sender.name, receiver.name} & self._down
        return (
            bool(stopped)
            or data_centres in self._cuts
            or self.rng.random() < self.loss_rate
        )

    async def deliver(
        self, sender: Peer, receiver: Peer, message: Message | None
    ) -> Any:
        """Encodes a message, delays it and returns it decoded.

        A lost message never arrives: the call does not return.
        """
        frame = self.codec.encode(
            message, request_id=1, answer=False, sender=sender.name
        )
        self.message_count += 1
        self.byte_count += len(frame)
        self.kind_counts[message_kind(message)] += 1
        self.on_frame(frame)
        is_local = sender.data_centre == receiver.data_centre
        await self.timers.sleep(LOCAL_DELAY_S if is_local else REGION_DELAY_S)
        if self.draw_loss(sender, receiver):
            await asyncio.Event().wait()
        return self.codec.decode(frame)[1]


class MemoryPeerNetwork:
    """Implements `PeerNetwork` over a `MemoryFleet`."""

    def __init__(self, fleet: MemoryFleet, me: Peer) -> None:
        self.me = me
        self._fleet = fleet
        self._handlers: dict[type[Message], Handler[Any]] = {}
        self._tasks: set[asyncio.Future[Message | None]] = set()

    async def run_handler(self, handling: Awaitable[Message | None]) -> Message | None:
        """Handles a message until the end of this process.

        Blocks until cancelled if the process ends meanwhile.
        """
        task = asyncio.ensure_future(handling)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.wait({task})
        if task.cancelled():
            await asyncio.Event().wait()
        return task.result()

    def close(self) -> None:
        """Ends all detached handling with the process; there are no answers."""
        for task in self._tasks:
            task.cancel()

    def handle(self, kind: Any, handler: Handler[Any]) -> None:
        """Registers the handler that answers messages of one type."""
        self._handlers[kind] = handler

    async def request(
        self, peer: Peer, message: Message, *, timeout_s: float
    ) -> Message:
        """Sends ``message`` and returns the peer's answer."""
        try:
            async with self._fleet.timers.timeout(timeout_s):
                answer = await self._exchange(peer, message)
        except TimeoutError as exc:
            raise PeerUnreachableError(f"{peer.name}: no answer") from exc
        if answer is None:
            raise PeerUnreachableError(
                f"{peer.name}: no handler for the message, or an empty answer"
            )
        return answer

    async def refuses(self, peer: Peer, *, timeout_s: float) -> bool:
        """Returns whether the peer's VM answers that no process listens there."""
        return (peer.host, peer.port) in self._fleet.ended_addresses

    async def _exchange(self, peer: Peer, message: Message) -> Message | None:
        if isinstance(message, self._fleet.detached):
            copies = {
                self._fleet.start_exchange(self._exchange_detached(peer, message))
                for _ in range(self._fleet.draw_copies())
            }
            done, _ = await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            return done.pop().result()
        target = self._fleet.nodes.get((peer.host, peer.port))
        if target is None:
            await asyncio.Event().wait()
            return None
        received = await self._fleet.deliver(self.me, peer, message)
        handler = target._handlers.get(type(received))
        if handler is None:
            return None
        answer = await handler(self.me.name, received)
        delivered: Message | None = await self._fleet.deliver(
            target.me, self.me, answer
        )
        return delivered

    async def _exchange_detached(self, peer: Peer, message: Message) -> Message | None:
        await self._fleet.timers.sleep(self._fleet.draw_extra_delay_s())
        received = await self._fleet.deliver(self.me, peer, message)
        target = self._fleet.nodes.get((peer.host, peer.port))
        if target is None:
            await asyncio.Event().wait()
            return None
        handler = target._handlers.get(type(received))
        if handler is None:
            return None
        answer = await target.run_handler(handler(self.me.name, received))
        await self._fleet.timers.sleep(self._fleet.draw_extra_delay_s())
        delivered: Message | None = await self._fleet.deliver(
            target.me, self.me, answer
        )
        return delivered
