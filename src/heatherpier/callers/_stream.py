"""Reads a caller's packets within limits of size and time."""

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
FULL_PAYLOAD_BYTES = 0xFFFFFF
SEQUENCE_SIZE = 256
DISCARD_BYTES = 65536


class CallerStream:
    """The packets of one caller's connection.

    The library's stream joins packets of any size and waits for them without
    end, so reading is done here; writing is left to the library.

    Args:
        reader: Bytes from the caller.
        writer: Bytes to the caller.
        limits: Limits of size and time.
        timers: Timer service.
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
        # Whether nothing of the next packet has arrived yet.
        self.at_boundary = False

    async def read(self) -> bytes:
        """Returns a packet of the handshake, whose time limit covers all of it.

        Raises:
            CallerError: The packet breaks the protocol or a limit.
            ConnectionClosed: The caller closed the connection.
        """
        return await self._read_packets(await self._read_header())

    async def read_command(self) -> bytes:
        """Returns the next command.

        Raises:
            IdleTimeoutError: It did not begin, or did not end, in time.
            CallerError: The packet breaks the protocol or a limit.
            ConnectionClosed: The caller closed the connection.
        """
        self.at_boundary = True
        try:
            async with self._timers.timeout(self._limits.idle_s) as timeout:
                header = await self._read_header()
                self.at_boundary = False
                timeout.reschedule(self._timers.now() + self._limits.packet_s)
                return await self._read_packets(header)
        except TimeoutError as exc:
            raise IdleTimeoutError(
                "the connection was idle or a packet incomplete for too long"
            ) from exc
        finally:
            self.at_boundary = False

    async def _read_header(self) -> bytes:
        try:
            return await self._reader.readexactly(HEADER_BYTES)
        except asyncio.IncompleteReadError as exc:
            if exc.partial:
                raise MalformedPacketError("the connection ended in a packet") from exc
            raise ConnectionClosed from exc
        except OSError as exc:
            raise ConnectionClosed from exc

    async def _read_packets(self, header: bytes) -> bytes:
        payload = bytearray()
        while True:
            size = self._check_header(header, received=len(payload))
            try:
                payload += await self._reader.readexactly(size)
            except (asyncio.IncompleteReadError, OSError) as exc:
                raise MalformedPacketError("the connection ended in a packet") from exc
            if size < FULL_PAYLOAD_BYTES:
                return bytes(payload)
            header = await self._read_header()

    def _check_header(self, header: bytes, *, received: int) -> int:
        size, sequence = int.from_bytes(header[:3], "little"), header[3]
        expected = next(self._stream.seq) % SEQUENCE_SIZE
        if sequence != expected:
            raise MalformedPacketError(
                f"expected packet number {expected}, got {sequence}"
            )
        if received + size > self._limits.packet_bytes:
            raise PacketTooLargeError(
                f"a packet of {received + size} bytes is larger than the limit of "
                f"{self._limits.packet_bytes} bytes; not run"
            )
        return size

    async def write(self, data: bytes, drain: bool = True) -> None:
        """Writes one packet.

        Raises:
            TimeoutError: The caller does not read its answers.
        """
        if not drain:
            await self._stream.write(data, drain=False)
            return
        async with self._timers.timeout(self._limits.write_s):
            await self._stream.write(data)

    async def drain(self) -> None:
        """Sends what is buffered.

        Raises:
            TimeoutError: The caller does not read its answers.
        """
        async with self._timers.timeout(self._limits.write_s):
            await self._stream.drain()

    async def start_tls(self, ssl: SSLContext) -> None:
        """Goes on under TLS."""
        await self._stream.start_tls(ssl)

    async def write_farewell(self, error_packet: bytes) -> None:
        """Sends an error that answers whatever the caller sends next.

        The packet carries the number of an answer, so a driver takes it as the
        answer to a statement that crossed it on the way.
        """
        self.reset_seq()
        next(self._stream.seq)
        await self.write(error_packet)

    async def linger(self) -> None:
        """Discards what the caller still sends until it closes its end.

        Closing a socket with unread bytes resets the connection, and then the
        caller may lose the last answer. The sending side stays open too, since
        some drivers close at its end without reading what came before it.
        """
        with contextlib.suppress(OSError, TimeoutError):
            async with self._timers.timeout(self._limits.linger_s):
                while await self._reader.read(DISCARD_BYTES):
                    pass

    def close(self) -> None:
        """Closes the connection after what is buffered has been sent."""
        self._writer.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        transport: Any = self._writer.transport
        transport.abort()
