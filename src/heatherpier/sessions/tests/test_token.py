"""Tests of session tokens: encoding, verification, limits and trimming."""

import base64
import hashlib
import hmac

import msgspec
import pytest

from heatherpier.positions import LogPosition
from heatherpier.sessions import (
    InvalidTokenError,
    SessionToken,
    TokenSigner,
    TokenTooLargeError,
)

OLD, NEW = b"o" * 16, b"n" * 16
TOKEN = SessionToken({"assist-core-1": LogPosition(3, 70)})


def sign(body, *, key=NEW, deployment=b"sen-vang"):
    digest = hmac.digest(key, deployment + b"\0" + body, hashlib.sha256)
    return base64.urlsafe_b64encode(digest[:16] + body).decode()


@pytest.fixture
def signer():
    return TokenSigner(deployment="sen-vang", keys=(NEW, OLD))


def test_token_survives_encoding_and_decoding(signer):
    assert signer.decode(signer.encode(TOKEN)) == TOKEN


def test_token_signed_by_the_old_key_is_valid_during_rotation(signer):
    old_signer = TokenSigner(deployment="sen-vang", keys=(OLD,))
    assert signer.decode(old_signer.encode(TOKEN)) == TOKEN


def test_new_tokens_are_signed_by_the_first_key(signer):
    text = signer.encode(TOKEN)
    assert TokenSigner(deployment="sen-vang", keys=(NEW,)).decode(text) == TOKEN


@pytest.mark.parametrize(
    ("deployment", "keys"), [("lantern-ledger", (NEW,)), ("sen-vang", (b"x" * 16,))]
)
def test_token_of_another_deployment_or_unknown_key_is_rejected(
    signer, deployment, keys
):
    foreign = TokenSigner(deployment=deployment, keys=keys).encode(TOKEN)
    with pytest.raises(InvalidTokenError, match="not signed by a current key"):
        signer.decode(foreign)


def test_token_with_any_bit_flipped_is_rejected(signer):
    raw = base64.urlsafe_b64decode(signer.encode(TOKEN))
    for bit in range(len(raw) * 8):
        flipped = bytearray(raw)
        flipped[bit // 8] ^= 1 << bit % 8
        with pytest.raises(InvalidTokenError):
            signer.decode(base64.urlsafe_b64encode(bytes(flipped)).decode())


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xc1",
        b"\xff" * 9,
        b"\x91" * 5000,
        msgspec.msgpack.encode(7),
        msgspec.msgpack.encode([1]),
        msgspec.msgpack.encode([1, {"g": [1, 2, 3]}]),
        msgspec.msgpack.encode([1, {"g": ["1", 2]}]),
        msgspec.msgpack.encode([1, {"g": [-1, 2]}]),
        msgspec.msgpack.encode([1, {"g": [1, 2**63]}]),
        msgspec.msgpack.encode([1, {str(n): [1, 1] for n in range(129)}]),
        msgspec.msgpack.encode([2, {}]),
        b"\x92\x01\x81\xa2\xff\xfe\x92\x01\x01",
    ],
)
def test_signed_but_malformed_body_is_rejected(signer, body):
    with pytest.raises(InvalidTokenError):
        signer.decode(sign(body))


@pytest.mark.parametrize("text", ["", "é", "a", "%%%%", "A" * 16_385, "QUJD"])
def test_text_that_is_not_a_token_is_rejected(signer, text):
    with pytest.raises(InvalidTokenError):
        signer.decode(text)


def test_largest_token_is_within_the_length_limit(signer):
    positions = {f"{n:0>63}": LogPosition(2**62, 2**62) for n in range(128)}
    assert len(signer.decode(signer.encode(SessionToken(positions))).positions) == 128


def test_positions_in_too_many_groups_are_rejected(signer):
    positions = {str(n): LogPosition(1, 1) for n in range(129)}
    with pytest.raises(TokenTooLargeError, match="129"):
        signer.encode(SessionToken(positions))


def test_advancing_never_lowers_a_position():
    assert TOKEN.advanced("assist-core-1", LogPosition(2, 900)) is TOKEN


def test_trimming_omits_only_positions_that_every_instance_has_reached():
    token = SessionToken({name: LogPosition(1, 9) for name in "abc"})
    reached_by_all = {"a": LogPosition(1, 8), "b": LogPosition(1, 9)}
    assert set(token.trimmed(reached_by_all, keep=1).positions) == {"a", "c"}
