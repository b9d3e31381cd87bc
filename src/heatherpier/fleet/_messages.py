"""Messages between proxies and their encoding."""

from collections.abc import Iterable
from typing import Any

import msgspec

from heatherpier.fleet._errors import MalformedMessageError

SCHEMA = 1
# Two adjacent schemas work together, so that a fleet can be upgraded in steps.
READABLE_SCHEMAS = frozenset({SCHEMA - 1, SCHEMA, SCHEMA + 1})
MAX_FRAME_BYTES = 1 << 20


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field="type"):
    """Base of all messages. Unknown fields of a newer schema are ignored."""


class PeerRecord(msgspec.Struct, frozen=True, array_like=True):
    """One member as messages carry it.

    Attributes:
        name: Name of the proxy.
        host: IP address.
        port: TCP port for peers.
        data_centre: Data centre of its VM.
        incarnation: Raised by the member itself, to refute what others say.
        state: Value of `MemberState`.
    """

    name: str
    host: str
    port: int
    data_centre: str
    incarnation: int
    state: int


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What surrounds each message on the wire.

    Attributes:
        schema: Version of the messages.
        request_id: Matches an answer to its request.
        answer: Whether this is an answer.
        sender: Name of the sending proxy.
        body: The encoded message, or nothing in an empty answer.
    """

    schema: int
    request_id: int
    answer: bool
    sender: str
    body: msgspec.Raw


class Codec:
    """Encodes and checks messages of the registered types.

    Args:
        kinds: All types of message that the process understands.
    """

    def __init__(self, kinds: Iterable[type[Message]]) -> None:
        union: Any = None
        for kind in kinds:
            union = kind if union is None else union | kind
        self._bodies = msgspec.msgpack.Decoder(union)
        self._envelopes = msgspec.msgpack.Decoder(Envelope)
        self._encoder = msgspec.msgpack.Encoder()

    def encode(
        self, message: Message | None, *, request_id: int, answer: bool, sender: str
    ) -> bytes:
        """Returns the frame of a message."""
        body = msgspec.Raw(self._encoder.encode(message))
        return self._encoder.encode(Envelope(SCHEMA, request_id, answer, sender, body))

    def decode(self, frame: bytes) -> tuple[Envelope, Message | None]:
        """Reads a frame.

        Raises:
            MalformedMessageError: It is too large or not a known message.
        """
        if len(frame) > MAX_FRAME_BYTES:
            raise MalformedMessageError(f"frame of {len(frame)} bytes is too large")
        try:
            envelope = self._envelopes.decode(frame)
            if envelope.schema not in READABLE_SCHEMAS:
                raise MalformedMessageError(f"schema {envelope.schema} is unknown")
            if bytes(envelope.body) == b"\xc0":
                return envelope, None
            return envelope, self._bodies.decode(envelope.body)
        except msgspec.MsgspecError as exc:
            raise MalformedMessageError(str(exc)) from exc
