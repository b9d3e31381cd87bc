"""A connection that carries lines."""

import asyncio
from collections import deque
from typing import cast

from heatherpier.platform._errors import PlatformError
from heatherpier.platform._line import ENCODING, LINE_END, MAX_MESSAGE_BYTES
from heatherpier.platform._sockets import tune

# Reading pauses while this many messages wait, so that a peer that sends faster
# than it is served is held up by its own connection.
MAX_WAITING = 64


class ChannelClosedError(PlatformError):
    """The other end has closed the connection, or it broke."""


class SilentPeerError(PlatformError):
    """No message came in time.

    Attributes:
        partial: Whether one had begun.
    """

    def __init__(self, *, partial: bool) -> None:
        super().__init__("message not complete in time" if partial else "idle")
        self.partial = partial


class MessageTooLargeError(PlatformError):
    """A message is larger than allowed."""


class LineChannel(asyncio.Protocol):
    """Reads and writes lines.

    Args:
        max_bytes: Largest line, in bytes.
    """

    def __init__(self, *, max_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.max_bytes = max_bytes
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._partial_since = 0.0
        self._lines: deque[bytes] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._drained = asyncio.Event()
        self._drained.set()
        self._paused = False
        self._too_large = False
        self._closed_by: str | None = None

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the connection over."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            tune(sock)

    def data_received(self, data: bytes) -> None:
        """Splits what has arrived into lines."""
        if not self._buffer:
            self._partial_since = self._loop.time()
        *lines, self._buffer = (self._buffer + data).split(LINE_END)
        if lines:
            self._partial_since = self._loop.time()
        self._lines.extend(lines)
        longest = max(map(len, lines), default=0)
        if max(longest, len(self._buffer)) > self.max_bytes:
            self._too_large = True
        if self._too_large or len(self._lines) > MAX_WAITING:
            self._pause()
        self._wake()

    def eof_received(self) -> bool:
        """Closes the connection when the other end has ended its side."""
        self._note_closed("ended by the other side")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes in that the connection is gone."""
        self._note_closed("closed" if exc is None else str(exc))

    def pause_writing(self) -> None:
        """Holds writers back while the peer does not read."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Lets writers go on."""
        self._drained.set()

    def _note_closed(self, reason: str) -> None:
        if self._closed_by is None:
            self._closed_by = reason
        self._drained.set()
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _pause(self) -> None:
        if not self._paused and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    # Called by the owner

    @property
    def closed(self) -> bool:
        """Whether the connection is gone."""
        return self._closed_by is not None

    def has_unread(self) -> bool:
        """Tells whether something has arrived that was not read."""
        return bool(self._lines or self._buffer) or self.closed

    async def read(
        self, *, idle_s: float | None = None, remainder_s: float | None = None
    ) -> str:
        """Returns the next line.

        Args:
            idle_s: Longest wait for its first byte, in seconds; None waits on.
            remainder_s: Longest time for the rest of it, in seconds; None waits on.

        Raises:
            MessageTooLargeError: It is too large.
            ChannelClosedError: The connection is gone.
            SilentPeerError: It did not come in time.
        """
        began = self._loop.time()
        while not self._lines:
            if self._too_large:
                raise MessageTooLargeError(f"more than {self.max_bytes} bytes")
            if self._closed_by is not None:
                raise ChannelClosedError(self._closed_by)
            await self._wait(began, idle_s=idle_s, remainder_s=remainder_s)
        line = self._lines.popleft()
        if len(line) > self.max_bytes:
            raise MessageTooLargeError(f"{len(line)} bytes")
        if self._paused and not self._lines and not self._too_large:
            self._paused = False
            if self._transport is not None:
                self._transport.resume_reading()
        return line.decode(ENCODING)

    async def _wait(
        self, began: float, *, idle_s: float | None, remainder_s: float | None
    ) -> None:
        partial = bool(self._buffer)
        limit_s, since = (
            (remainder_s, self._partial_since) if partial else (idle_s, began)
        )
        self._waiter = self._loop.create_future()
        if limit_s is None:
            await self._waiter
            return
        try:
            async with asyncio.timeout_at(since + limit_s):
                await self._waiter
        except TimeoutError:
            raise SilentPeerError(partial=partial) from None

    def write(self, text: str) -> None:
        """Sends whole messages."""
        if self._transport is not None and not self.closed:
            self._transport.write(text.encode(ENCODING))

    async def drain(self) -> None:
        """Waits while the peer does not read."""
        if not self._drained.is_set():
            await self._drained.wait()

    def close(self) -> None:
        """Closes the connection after what was written has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._note_closed("aborted")
        if self._transport is not None:
            self._transport.abort()
