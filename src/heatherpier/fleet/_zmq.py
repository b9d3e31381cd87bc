"""Connections between proxies over encrypted ZeroMQ sockets."""

import asyncio
import itertools
from dataclasses import dataclass
from typing import Any

import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from heatherpier.fleet._errors import MalformedMessageError, PeerUnreachableError
from heatherpier.fleet._interface import Handler, Kind, Peer
from heatherpier.fleet._messages import MAX_FRAME_BYTES, Codec, Envelope, Message
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("fleet")

QUEUE_LIMIT = 1000
# A link whose requests time out this often in a row is opened anew, since its
# connection may have gone silent for good.
TIMEOUTS_BEFORE_RECONNECT = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class CurveKeys:
    """The deployment's key pair; only holders of it can talk to peers.

    Attributes:
        public: Public key, Z85.
        secret: Secret key, Z85.
    """

    public: bytes
    secret: bytes


@dataclass(slots=True)
class FleetCounters:
    """Counts of messages since the start.

    Attributes:
        sent: Frames sent.
        sent_bytes: Bytes sent.
        received: Frames received.
        dropped: Frames that were malformed, unknown, late or doubled.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    dropped: int = 0


class ZmqPeers:
    """Implements `PeerNetwork`. Use it as an asynchronous context manager.

    Args:
        me: Own name and address.
        keys: The deployment's key pair, or None where only proxies reach each other's
            ports.
        codec: Encodes the messages.
        timers: Timer service.
    """

    def __init__(
        self, me: Peer, *, keys: CurveKeys | None, codec: Codec, timers: Timers
    ) -> None:
        self.me = me
        self.counters = FleetCounters()
        self._keys = keys
        self._codec = codec
        self._timers = timers
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
            self._require_keys(self._keys)
        _set_limits(self._server)
        self._server.bind(f"tcp://{self.me.host}:{self.me.port}")
        self._spawn(self._serve())
        return self

    def _require_keys(self, keys: CurveKeys) -> None:
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
        # Waits for open sockets, and nothing may keep the process from its end.
        self._context.destroy(linger=0)

    def callback(self, domain: str, key: bytes) -> bool:
        """Tells the authenticator whether a caller's public key is allowed."""
        return self._keys is not None and key == self._keys.public

    def handle(self, kind: type[Kind], handler: Handler[Kind]) -> None:
        """Registers who answers messages of one type."""
        self._handlers[kind] = handler

    async def request(
        self, peer: Peer, message: Message, *, timeout_s: float
    ) -> Message:
        """Sends ``message`` and returns the peer's answer.

        Raises:
            PeerUnreachableError: No answer came in time.
        """
        link = self._link(peer)
        request_id = next(self._ids)
        frame = self._codec.encode(
            message, request_id=request_id, answer=False, sender=self.me.name
        )
        fut: asyncio.Future[Message | None] = asyncio.get_running_loop().create_future()
        link.pending[request_id] = fut
        try:
            async with self._timers.timeout(timeout_s):
                await self._send(link.socket, [frame])
                answer = await fut
        except TimeoutError as exc:
            self._count_timeout(peer, link)
            raise PeerUnreachableError(
                f"{peer.name}: no answer within {timeout_s:.3f} s"
            ) from exc
        finally:
            link.pending.pop(request_id, None)
        link.timeouts = 0
        if answer is None:
            raise PeerUnreachableError(f"{peer.name}: has no answer")
        return answer

    async def refuses(self, peer: Peer, *, timeout_s: float) -> bool:
        """Tells whether the peer's VM answers that no process listens there."""
        try:
            async with self._timers.timeout(timeout_s):
                _, writer = await asyncio.open_connection(peer.host, peer.port)
        except ConnectionRefusedError:
            return True
        except (TimeoutError, OSError):
            # Nothing is known of the peer then.
            return False
        writer.transport.abort()
        return False

    def _count_timeout(self, peer: Peer, link: "_Link") -> None:
        link.timeouts += 1
        address = (peer.host, peer.port)
        # A late request of an earlier link says nothing of the present one.
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
        sock.connect(f"tcp://{peer.host}:{peer.port}")
        return sock

    def _spawn(self, work: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _send(self, sock: Any, frames: list[bytes]) -> None:
        self.counters.sent += 1
        self.counters.sent_bytes += sum(map(len, frames))
        await sock.send_multipart(frames)

    async def _read_answers(self, link: "_Link") -> None:
        while True:
            frames = await link.socket.recv_multipart()
            read = self._decode(frames[-1])
            if read is None:
                continue
            envelope, message = read
            fut = link.pending.get(envelope.request_id)
            if not envelope.answer or fut is None or fut.done():
                self.counters.dropped += 1
                continue
            fut.set_result(message)

    async def _serve(self) -> None:
        while True:
            identity, *frames = await self._server.recv_multipart()
            read = self._decode(frames[-1] if frames else b"")
            if read is None:
                continue
            envelope, message = read
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
        await self._send(self._server, [identity, frame])

    def _decode(self, frame: bytes) -> tuple[Envelope, Message | None] | None:
        self.counters.received += 1
        try:
            return self._codec.decode(frame)
        except MalformedMessageError as exc:
            self.counters.dropped += 1
            log.warning("dropped a message", reason=str(exc))
            return None


class _Link:
    """The socket to one peer and the requests that wait on it."""

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
    sock.setsockopt(zmq.SNDHWM, QUEUE_LIMIT)
    sock.setsockopt(zmq.RCVHWM, QUEUE_LIMIT)
    sock.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
