"""Connection that carries the messages of the line protocol."""

import asyncio
from collections import deque
from typing import cast

from heatherpier.platform._errors import PlatformError
from heatherpier.platform._line import ENCODING, LINE_END, MAX_MESSAGE_BYTES
from heatherpier.platform._sockets import set_socket_options

# Reading from the socket pauses when more lines than this wait to be read, so that
# TCP flow control slows down a peer that sends faster than it is served.
MAX_UNREAD_LINES = 64


class ChannelClosedError(PlatformError):
    """The connection was closed by either side, or it failed."""


class SilentPeerError(PlatformError):
    """No complete message arrived in time.

    Attributes:
        partial: Whether the beginning of a message had arrived.
    """

    def __init__(self, *, partial: bool) -> None:
        super().__init__("message not complete in time" if partial else "idle")
        self.partial = partial


class MessageTooLargeError(PlatformError):
    """A message is larger than the limit."""


class LineChannel(asyncio.Protocol):
    """Reads and writes the lines of one connection.

    Args:
        max_bytes: Maximum size of a line that is read, in bytes.
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
        self._close_reason: str | None = None

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets the options of its socket."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_socket_options(sock)

    def data_received(self, data: bytes) -> None:
        """Splits received data into lines."""
        if not self._buffer:
            self._partial_since = self._loop.time()
        *lines, self._buffer = (self._buffer + data).split(LINE_END)
        if lines:
            self._partial_since = self._loop.time()
        self._lines.extend(lines)
        longest = max(map(len, lines), default=0)
        if max(longest, len(self._buffer)) > self.max_bytes:
            self._too_large = True
        if self._too_large or len(self._lines) > MAX_UNREAD_LINES:
            self._pause()
        self._wake()

    def eof_received(self) -> bool:
        """Closes the connection, because the peer sends nothing more."""
        self._note_closed("closed by the peer")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Records that the connection is closed."""
        self._note_closed("closed" if exc is None else str(exc))

    def pause_writing(self) -> None:
        """Makes `drain` wait, because the peer does not read."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Ends the wait in `drain`."""
        self._drained.set()

    def _note_closed(self, reason: str) -> None:
        if self._close_reason is None:
            self._close_reason = reason
        self._drained.set()
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _pause(self) -> None:
        if not self._paused and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._close_reason is not None

    def has_unread(self) -> bool:
        """Returns whether unread data has arrived or the connection is closed."""
        return bool(self._lines or self._buffer) or self.closed

    async def read(
        self, *, idle_s: float | None = None, remainder_s: float | None = None
    ) -> str:
        """Returns the next line.

        Args:
            idle_s: Longest wait for the first byte of the line, in seconds; None
                means no limit.
            remainder_s: Longest time from the first byte to the end of the line, in
                seconds; None means no limit.

        Raises:
            MessageTooLargeError: The line is larger than `max_bytes`.
            ChannelClosedError: The connection is closed.
            SilentPeerError: The line did not arrive in time.
        """
        began = self._loop.time()
        while not self._lines:
            if self._too_large:
                raise MessageTooLargeError(
                    f"message of more than {self.max_bytes} bytes"
                )
            if self._close_reason is not None:
                raise ChannelClosedError(self._close_reason)
            await self._wait_for_data(began, idle_s=idle_s, remainder_s=remainder_s)
        line = self._lines.popleft()
        if len(line) > self.max_bytes:
            raise MessageTooLargeError(f"message of {len(line)} bytes")
        if self._paused and not self._lines and not self._too_large:
            self._paused = False
            if self._transport is not None:
                self._transport.resume_reading()
        return line.decode(ENCODING)

    async def _wait_for_data(
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

    def take_unread(self) -> list[str]:
        """Removes and returns the complete lines that wait to be read."""
        lines = [line.decode(ENCODING) for line in self._lines]
        self._lines.clear()
        return lines

    def write(self, text: str) -> None:
        """Sends whole messages; does nothing if the connection is closed."""
        if self._transport is not None and not self.closed:
            self._transport.write(text.encode(ENCODING))

    async def drain(self) -> None:
        """Waits until the peer reads again or the connection is closed."""
        if not self._drained.is_set():
            await self._drained.wait()

    def close(self) -> None:
        """Closes the connection once all written data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection immediately and drops unsent data."""
        self._note_closed("aborted")
        if self._transport is not None:
            self._transport.abort()
