"""Reads and writes a caller's packets within size and time limits."""

import asyncio
import contextlib
from ssl import SSLContext
from typing import Any

from mysql_mimic.stream import ConnectionClosed, MysqlStream

from heatherpier.callers._errors import (
    IdleTimeoutError,
    MalformedPacketError,
    PacketTooLargeError,
)
from heatherpier.callers._limits import CallerLimits
from heatherpier.timers import Timers

HEADER_BYTES = 4
# A payload of this size is continued in the next packet.
MAX_PAYLOAD_BYTES = 0xFFFFFF
SEQUENCE_MODULUS = 256
READ_CHUNK_BYTES = 65536
SSL_REQUEST_BYTES = 32
# Appended to packets with null-terminated strings: the library's parser never
# returns from a string whose terminator is missing.
STRING_TERMINATORS = bytes(4)


class CallerStream:
    """Reads and writes the packets of one caller's connection.

    The protocol library's stream accepts packets of any size and waits for them
    without a time limit, so this class does the reading itself. It leaves writing
    to the library.

    Args:
        reader: Stream of bytes from the caller.
        writer: Stream of bytes to the caller.
        limits: Size and time limits.
        timers: Timer service.

    Attributes:
        at_packet_boundary: True while `read_command` waits and no byte of the next
            command's header has been read.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        limits: CallerLimits,
        timers: Timers,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._timers = timers
        self._stream = MysqlStream(reader, writer)
        self.write_many = self._stream.write_many
        self.write_text_rows = self._stream.write_text_rows
        self.reset_seq = self._stream.reset_seq
        self.at_packet_boundary = False

    async def read(self) -> bytes:
        """Returns a packet of the handshake, ready for the library's parser.

        There is no time limit here: `CallerLimits.handshake_s` covers the whole
        handshake.

        Raises:
            CallerError: The packet violates the protocol or the size limit.
            ConnectionClosed: The caller closed the connection.
        """
        data = await self.read_raw()
        return data if len(data) <= SSL_REQUEST_BYTES else data + STRING_TERMINATORS

    async def read_raw(self) -> bytes:
        """Returns the payload of a packet unchanged, without a time limit.

        Raises:
            CallerError: The packet violates the protocol or the size limit.
            ConnectionClosed: The caller closed the connection.
        """
        return await self._read_packets(await self._read_header())

    async def read_command(self) -> bytes:
        """Returns the next command.

        Raises:
            IdleTimeoutError: No complete command arrived within the time limits.
            CallerError: The packet violates the protocol or the size limit.
            ConnectionClosed: The caller closed the connection.
        """
        self.at_packet_boundary = True
        try:
            async with self._timers.timeout(self._limits.idle_s) as timeout:
                header = await self._read_header()
                self.at_packet_boundary = False
                timeout.reschedule(self._timers.now() + self._limits.packet_s)
                return await self._read_packets(header)
        except TimeoutError as exc:
            raise IdleTimeoutError(
                "no complete command arrived within the time limit"
            ) from exc
        finally:
            self.at_packet_boundary = False

    async def _read_header(self) -> bytes:
        try:
            return await self._reader.readexactly(HEADER_BYTES)
        except asyncio.IncompleteReadError as exc:
            if exc.partial:
                raise MalformedPacketError("connection closed inside a packet") from exc
            raise ConnectionClosed from exc
        except OSError as exc:
            raise ConnectionClosed from exc

    async def _read_packets(self, header: bytes) -> bytes:
        payload = bytearray()
        while True:
            size = self._parse_header(header, received=len(payload))
            try:
                payload += await self._reader.readexactly(size)
            except (asyncio.IncompleteReadError, OSError) as exc:
                raise MalformedPacketError("connection closed inside a packet") from exc
            if size < MAX_PAYLOAD_BYTES:
                return bytes(payload)
            header = await self._read_header()

    def _parse_header(self, header: bytes, *, received: int) -> int:
        size, sequence = int.from_bytes(header[:3], "little"), header[3]
        expected = next(self._stream.seq) % SEQUENCE_MODULUS
        if sequence != expected:
            raise MalformedPacketError(
                f"expected packet sequence number {expected}, got {sequence}"
            )
        if received + size > self._limits.packet_bytes:
            raise PacketTooLargeError(
                f"a packet of {received + size} bytes exceeds the limit of "
                f"{self._limits.packet_bytes} bytes; not run"
            )
        return size

    async def write(self, data: bytes, drain: bool = True) -> None:
        """Writes one packet.

        Args:
            data: Payload of the packet.
            drain: Whether to wait until the write buffer has drained.

        Raises:
            TimeoutError: The caller did not read its answers within the limit.
        """
        if not drain:
            await self._stream.write(data, drain=False)
            return
        async with self._timers.timeout(self._limits.write_s):
            await self._stream.write(data)

    async def drain(self) -> None:
        """Flushes the write buffer.

        Raises:
            TimeoutError: The caller did not read its answers within the limit.
        """
        async with self._timers.timeout(self._limits.write_s):
            await self._stream.drain()

    async def start_tls(self, ssl: SSLContext) -> None:
        """Upgrades the connection to TLS.

        The caller's first TLS bytes may have arrived together with its request
        for TLS. They are passed to the TLS layer and never parsed as plain text.
        """
        transport: Any = self._writer.transport
        transport.pause_reading()
        buffered = await self._read_buffered()
        loop = asyncio.get_running_loop()
        # The nested call runs after the callbacks by which the loop connects the
        # TLS layer to the transport.
        loop.call_soon(loop.call_soon, _feed_protocol, transport, buffered)
        await self._stream.start_tls(ssl)

    async def _read_buffered(self) -> bytes:
        try:
            async with self._timers.timeout(0):
                return await self._reader.read(READ_CHUNK_BYTES)
        except TimeoutError:
            return b""

    async def write_final_error(self, error_packet: bytes) -> None:
        """Sends the error that closes the connection.

        Between two commands the packet carries sequence number 1, as an answer
        does, so a driver takes it as the answer to a statement that crossed it.
        """
        if self._stream.seq.value == 0:
            next(self._stream.seq)
        await self.write(error_packet)

    async def linger(self) -> None:
        """Discards input until the caller closes its end or the time limit ends.

        Closing a socket with unread input resets the connection, and the caller
        may then lose the last answer. The sending side stays open as well, since
        some drivers close the connection when they see its end, without reading
        the error sent before it.
        """
        with contextlib.suppress(OSError, TimeoutError):
            async with self._timers.timeout(self._limits.linger_s):
                while await self._reader.read(READ_CHUNK_BYTES):
                    pass

    def close(self) -> None:
        """Closes the connection after sending the buffered output."""
        self._writer.close()

    def abort(self) -> None:
        """Closes the connection immediately and drops the buffered output."""
        transport: Any = self._writer.transport
        transport.abort()


def _feed_protocol(transport: Any, data: bytes) -> None:
    protocol = transport.get_protocol()
    while data:
        buffer = protocol.get_buffer(len(data))
        size = min(len(buffer), len(data))
        buffer[:size] = data[:size]
        protocol.buffer_updated(size)
        data = data[size:]
