"""Messages between proxies and their encoding."""

from collections.abc import Iterable
from typing import Any

import msgspec

from heatherpier.decoding import DECODE_ERRORS
from heatherpier.fleet._errors import MalformedMessageError

SCHEMA = 1
# Proxies with adjacent schemas understand each other, so that a fleet can be
# upgraded in steps.
READABLE_SCHEMAS = frozenset({SCHEMA - 1, SCHEMA, SCHEMA + 1})
# A forwarded statement may be as large as a caller's message, 1 MiB, and a receiver
# closes a link on which a larger frame arrives.
MAX_FRAME_BYTES = 1 << 22


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field="type"):
    """Base of all messages. Decoding ignores unknown fields of a newer schema."""


class PeerRecord(msgspec.Struct, frozen=True, array_like=True):
    """Wire format of one member.

    Attributes:
        name: Name of the proxy.
        host: IP address.
        port: TCP port for messages between proxies.
        data_centre: Data centre of its VM.
        incarnation: Number that only the member itself raises, so that its record
            overrides what others report of it.
        state: Number of a `MemberState`.
    """

    name: str
    host: str
    port: int
    data_centre: str
    incarnation: int
    state: int


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Header and body of one frame.

    Attributes:
        schema: Schema version of the sender.
        request_id: Matches an answer to its request.
        answer: True for an answer, False for a request.
        sender: Name of the sending proxy.
        body: Encoded message, or an encoded None in an empty answer.
    """

    schema: int
    request_id: int
    answer: bool
    sender: str
    body: msgspec.Raw


class Codec:
    """Encodes messages of the registered types, and decodes and validates them.

    Args:
        kinds: All types of message that the process handles.
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
        """Returns the frame of ``message``; None gives an empty answer."""
        body = msgspec.Raw(self._encoder.encode(message))
        return self._encoder.encode(Envelope(SCHEMA, request_id, answer, sender, body))

    def decode(self, frame: bytes) -> tuple[Envelope, Message | None]:
        """Decodes a frame. The message is None in an empty answer.

        Raises:
            MalformedMessageError: The frame is too large, has an unsupported schema
                or no valid message of a registered type.
        """
        if len(frame) > MAX_FRAME_BYTES:
            raise MalformedMessageError(
                f"frame of {len(frame)} bytes exceeds the limit of {MAX_FRAME_BYTES}"
            )
        try:
            envelope = self._envelopes.decode(frame)
            if envelope.schema not in READABLE_SCHEMAS:
                raise MalformedMessageError(
                    f"schema {envelope.schema} is not supported,"
                    f" expected {SCHEMA} or an adjacent one"
                )
            # 0xc0 is nil in MessagePack.
            if bytes(envelope.body) == b"\xc0":
                return envelope, None
            return envelope, self._bodies.decode(envelope.body)
        except DECODE_ERRORS as exc:
            raise MalformedMessageError(str(exc)) from exc


def message_kind(message: Message | None) -> str:
    """Returns the name of a message's type on the wire; ``empty`` for no message."""
    return "empty" if message is None else str(message.__struct_config__.tag)
