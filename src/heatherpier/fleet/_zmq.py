"""Connections between proxies over encrypted ZeroMQ sockets."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import zmq
import zmq.asyncio

from heatherpier.fleet._errors import MalformedMessageError, PeerUnreachableError
from heatherpier.fleet._interface import Handler, MessageT, Peer
from heatherpier.fleet._messages import (
    MAX_FRAME_BYTES,
    Codec,
    Envelope,
    Message,
    message_kind,
)
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("fleet")

MAX_QUEUED_MESSAGES = 1000  # per connection and direction
# After this many timeouts in a row a link is replaced by a new one, since its
# connection may be dead without an error from the socket.
TIMEOUTS_BEFORE_RECONNECT = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class CurveKeys:
    """CURVE key pair of the deployment.

    Only processes that hold it can exchange messages with the proxies.

    Attributes:
        public: Public key in Z85 encoding.
        secret: Secret key in Z85 encoding.
    """

    public: bytes
    secret: bytes


@dataclass(slots=True)
class FleetCounters:
    """Counts of messages since the process started.

    Attributes:
        sent: Frames sent.
        sent_bytes: Bytes sent.
        received: Frames received.
        dropped: Frames received that were malformed, of an unexpected type, duplicate
            or too late for their request.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    dropped: int = 0


class ZmqPeers:
    """Implements `PeerNetwork` over ZeroMQ. It is an asynchronous context manager.

    Attributes:
        me: Address of this proxy.
        counters: Counts of messages.

    Args:
        me: Address of this proxy.
        keys: Key pair of the deployment. None turns encryption and authentication
            off, for networks where only proxies reach each other's ports.
        codec: Encodes and decodes the messages.
        timers: Timer service.
        on_sent: Called with the type and the size in bytes of each message that is
            sent; None if nobody counts them.
    """

    def __init__(
        self,
        me: Peer,
        *,
        keys: CurveKeys | None,
        codec: Codec,
        timers: Timers,
        on_sent: Callable[[str, int], None] | None = None,
    ) -> None:
        self.me = me
        self.counters = FleetCounters()
        self._keys = keys
        self._codec = codec
        self._timers = timers
        self._on_sent = on_sent
        self._context = zmq.asyncio.Context()
        self._handlers: dict[type[Message], Handler[Any]] = {}
        self._links: dict[tuple[str, int], _Link] = {}
        self._ids = itertools.count(1)
        self._server: Any = None
        self._auth: Any = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> "ZmqPeers":
        self._server = self._context.socket(zmq.ROUTER)
        if self._keys is not None:
            self._enable_curve(self._keys)
        _set_limits(self._server)
        self._server.bind(f"tcp://{self.me.host}:{self.me.port}")
        self._spawn(self._serve())
        return self

    def _enable_curve(self, keys: CurveKeys) -> None:
        # Imported here, since networks without keys start sooner without it.
        from zmq.auth.asyncio import AsyncioAuthenticator

        self._auth = AsyncioAuthenticator(self._context)
        self._auth.start()
        self._auth.configure_curve_callback(domain="*", credentials_provider=self)
        self._server.curve_secretkey = keys.secret
        self._server.curve_publickey = keys.public
        self._server.curve_server = True

    async def __aexit__(self, *exc_info: object) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in self._links.values():
            link.close()
        self._server.close()
        if self._auth is not None:
            self._auth.stop()
        # Terminating the context waits for open sockets and their unsent messages.
        # linger=0 drops these, so that they cannot block the exit of the process.
        self._context.destroy(linger=0)

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns whether a connecting peer's public key is allowed.

        pyzmq's authenticator calls this method by its name.
        """
        return self._keys is not None and key == self._keys.public

    def handle(self, kind: type[MessageT], handler: Handler[MessageT]) -> None:
        """Registers the handler for messages of one type."""
        self._handlers[kind] = handler

    async def request(
        self, peer: Peer, message: Message, *, timeout_s: float
    ) -> Message:
        """Sends ``message`` and returns the peer's answer.

        Raises:
            PeerUnreachableError: No answer came in time, or an empty one, or the
                peer's address is none.
        """
        link = self._link(peer)
        request_id = next(self._ids)
        frame = self._codec.encode(
            message, request_id=request_id, answer=False, sender=self.me.name
        )
        future: asyncio.Future[Message | None] = (
            asyncio.get_running_loop().create_future()
        )
        link.pending[request_id] = future
        try:
            async with self._timers.timeout(timeout_s):
                await self._send(link.socket, [frame], message)
                answer = await future
        except TimeoutError as exc:
            self._count_timeout(peer, link)
            raise PeerUnreachableError(
                f"{peer.name}: no answer within {timeout_s:.3f} s"
            ) from exc
        finally:
            link.pending.pop(request_id, None)
        link.timeouts = 0
        if answer is None:
            raise PeerUnreachableError(f"{peer.name}: empty answer")
        return answer

    async def refuses(self, peer: Peer, *, timeout_s: float) -> bool:
        """Returns whether the peer's VM refuses connections to the peer's port."""
        try:
            async with self._timers.timeout(timeout_s):
                _, writer = await asyncio.open_connection(peer.host, peer.port)
        except ConnectionRefusedError:
            return True
        except (TimeoutError, OSError, ValueError, OverflowError):
            # The peer may be running: no such error shows that nothing listens.
            return False
        writer.transport.abort()
        return False

    def _count_timeout(self, peer: Peer, link: "_Link") -> None:
        link.timeouts += 1
        address = (peer.host, peer.port)
        # The timeout may belong to a link that was replaced already; the current
        # link to the address must then stay.
        if link.timeouts >= TIMEOUTS_BEFORE_RECONNECT:
            if self._links.get(address) is link:
                del self._links[address]
            link.close()

    def _link(self, peer: Peer) -> "_Link":
        address = (peer.host, peer.port)
        link = self._links.get(address)
        if link is None:
            link = _Link(self._connect(peer))
            self._links[address] = link
            link.task = self._spawn(self._read_answers(link))
        return link

    def _connect(self, peer: Peer) -> Any:
        sock = self._context.socket(zmq.DEALER)
        if self._keys is not None:
            sock.curve_secretkey = self._keys.secret
            sock.curve_publickey = self._keys.public
            sock.curve_serverkey = self._keys.public
        _set_limits(sock)
        try:
            sock.connect(f"tcp://{peer.host}:{peer.port}")
        except zmq.ZMQError as exc:
            sock.close(linger=0)
            raise PeerUnreachableError(f"{peer.name}: {exc}") from exc
        return sock

    def _spawn(self, coro: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _send(
        self, sock: Any, frames: list[bytes], message: Message | None
    ) -> None:
        size = sum(map(len, frames))
        self.counters.sent += 1
        self.counters.sent_bytes += size
        if self._on_sent is not None:
            self._on_sent(message_kind(message), size)
        await sock.send_multipart(frames)

    async def _read_answers(self, link: "_Link") -> None:
        while True:
            frames = await link.socket.recv_multipart()
            decoded = self._decode(frames[-1])
            if decoded is None:
                continue
            envelope, message = decoded
            future = link.pending.get(envelope.request_id)
            if not envelope.answer or future is None or future.done():
                self.counters.dropped += 1
                continue
            future.set_result(message)

    async def _serve(self) -> None:
        while True:
            identity, *frames = await self._server.recv_multipart()
            decoded = self._decode(frames[-1] if frames else b"")
            if decoded is None:
                continue
            envelope, message = decoded
            if envelope.answer or message is None:
                self.counters.dropped += 1
                continue
            self._spawn(self._answer(identity, envelope, message))

    async def _answer(
        self, identity: bytes, envelope: Envelope, message: Message
    ) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            self.counters.dropped += 1
            return
        answer = await handler(envelope.sender, message)
        frame = self._codec.encode(
            answer,
            request_id=envelope.request_id,
            answer=True,
            sender=self.me.name,
        )
        await self._send(self._server, [identity, frame], answer)

    def _decode(self, frame: bytes) -> tuple[Envelope, Message | None] | None:
        self.counters.received += 1
        try:
            return self._codec.decode(frame)
        except MalformedMessageError as exc:
            self.counters.dropped += 1
            log.warning("malformed message dropped", reason=str(exc))
            return None


class _Link:
    """Socket to one peer, with the requests that wait for an answer on it."""

    def __init__(self, socket: Any) -> None:
        self.socket = socket
        self.pending: dict[int, asyncio.Future[Message | None]] = {}
        self.timeouts = 0
        self.task: asyncio.Task[None] | None = None

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        self.socket.close(linger=0)


def _set_limits(sock: Any) -> None:
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
    sock.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
    sock.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
