"""A MySQL client that sends raw packets."""

import asyncio
import hashlib

PROTOCOL_41 = 0x0200
SECURE_CONNECTION = 0x8000
PLUGIN_AUTH = 0x80000
CONNECT_WITH_DB = 0x0008
UTF8MB4 = 45


def make_packet(payload, *, sequence=0):
    return len(payload).to_bytes(3, "little") + bytes([sequence]) + payload


def hash_with_nonce(password, nonce):
    password_hash = hashlib.sha1(password.encode()).digest()
    mask = hashlib.sha1(nonce + hashlib.sha1(password_hash).digest()).digest()
    return bytes(a ^ b for a, b in zip(password_hash, mask, strict=True))


class RawCaller:
    """Exchanges raw packets with the listener over one connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, port):
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    @classmethod
    async def login(cls, port, *, user="dispatch", password="secret"):
        self = await cls.open(port)
        _, greeting = await self.read()
        nonce = nonce_of(greeting)
        self.writer.write(make_packet(login_packet(user, password, nonce), sequence=1))
        _, answer = await self.read()
        assert answer[0] == 0, answer
        return self

    async def read(self):
        """Returns the sequence number and the payload of the next packet."""
        header = await self.reader.readexactly(4)
        size = int.from_bytes(header[:3], "little")
        return header[3], await self.reader.readexactly(size)

    async def read_error(self):
        """Returns the error code of the next packet, which must be an error."""
        _, payload = await self.read()
        assert payload[0] == 0xFF, payload
        return int.from_bytes(payload[1:3], "little")

    async def read_until_closed(self):
        """Discards input until the proxy closes the connection."""
        try:
            while await self.reader.read(65536):
                pass
        except ConnectionError:
            pass
        self.writer.close()


def nonce_of(greeting):
    start = greeting.index(b"\0", 1) + 5
    return greeting[start : start + 8] + greeting[start + 27 : start + 39]


def login_packet(user, password, nonce):
    flags = PROTOCOL_41 | SECURE_CONNECTION | PLUGIN_AUTH
    auth_response = hash_with_nonce(password, nonce)
    return (
        flags.to_bytes(4, "little")
        + (1 << 24).to_bytes(4, "little")
        + bytes([UTF8MB4])
        + bytes(23)
        + user.encode()
        + b"\0"
        + bytes([len(auth_response)])
        + auth_response
        + b"mysql_native_password\0"
    )
