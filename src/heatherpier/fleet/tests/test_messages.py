"""Encoding of messages and rejection of malformed frames."""

import msgspec
import pytest

from heatherpier.fleet import Codec
from heatherpier.fleet._errors import MalformedMessageError
from heatherpier.fleet._membership import MEMBERSHIP_MESSAGES, Ping
from heatherpier.fleet._messages import MAX_FRAME_BYTES, SCHEMA

CODEC = Codec(MEMBERSHIP_MESSAGES)
PING = Ping(updates=(), version=3)


def frame(body, schema=SCHEMA):
    return msgspec.msgpack.encode([schema, 1, False, "proxy-1", body])


def test_message_round_trips():
    encoded = CODEC.encode(PING, request_id=5, answer=False, sender="proxy-1")
    envelope, message = CODEC.decode(encoded)
    assert (envelope.request_id, envelope.sender, message) == (5, "proxy-1", PING)


def test_unknown_field_of_a_newer_schema_is_ignored():
    body = {"type": "ping", "updates": [], "version": 3, "colour": "red"}
    assert CODEC.decode(frame(body, schema=SCHEMA + 1))[1] == PING


@pytest.mark.parametrize(
    "bad",
    [
        b"",
        b"\xff\x00garbage",
        frame({"type": "unknown"}),
        frame({"type": "ping", "updates": 3, "version": 1}),
        frame({"type": "ping", "updates": [], "version": 1}, schema=SCHEMA + 2),
        b"\x00" * (MAX_FRAME_BYTES + 1),
    ],
    ids=["empty", "garbage", "unknown type", "wrong field", "far schema", "too large"],
)
def test_malformed_frame_is_rejected(bad):
    with pytest.raises(MalformedMessageError):
        CODEC.decode(bad)
