"""Tokens: what is carried, what is refused."""

import base64
import hashlib
import hmac

import msgspec
import pytest

from heatherpier.groups import LogPosition
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


def test_token_comes_back_as_it_was(signer):
    assert signer.decode(signer.encode(TOKEN)) == TOKEN


def test_token_of_the_former_key_is_valid_during_rotation(signer):
    former = TokenSigner(deployment="sen-vang", keys=(OLD,))
    assert signer.decode(former.encode(TOKEN)) == TOKEN


def test_new_tokens_are_signed_by_the_first_key(signer):
    text = signer.encode(TOKEN)
    assert TokenSigner(deployment="sen-vang", keys=(NEW,)).decode(text) == TOKEN


@pytest.mark.parametrize(
    ("deployment", "keys"), [("lantern-ledger", (NEW,)), ("sen-vang", (b"x" * 16,))]
)
def test_token_of_another_deployment_or_retired_key_is_refused(
    signer, deployment, keys
):
    foreign = TokenSigner(deployment=deployment, keys=keys).encode(TOKEN)
    with pytest.raises(InvalidTokenError, match="not signed by a key in use"):
        signer.decode(foreign)


def test_every_flipped_bit_is_refused(signer):
    raw = base64.urlsafe_b64decode(signer.encode(TOKEN))
    for place in range(len(raw) * 8):
        bits = bytearray(raw)
        bits[place // 8] ^= 1 << place % 8
        with pytest.raises(InvalidTokenError):
            signer.decode(base64.urlsafe_b64encode(bytes(bits)).decode())


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
def test_signed_but_malformed_body_is_refused(signer, body):
    with pytest.raises(InvalidTokenError):
        signer.decode(sign(body))


@pytest.mark.parametrize("text", ["", "é", "a", "%%%%", "A" * 16_385, "QUJD"])
def test_text_that_is_no_token_is_refused(signer, text):
    with pytest.raises(InvalidTokenError):
        signer.decode(text)


def test_largest_token_is_within_its_bound(signer):
    floors = {f"{n:0>63}": LogPosition(2**62, 2**62) for n in range(128)}
    assert len(signer.decode(signer.encode(SessionToken(floors))).positions) == 128


def test_too_many_floors_are_refused(signer):
    floors = {str(n): LogPosition(1, 1) for n in range(129)}
    with pytest.raises(TokenTooLargeError, match="129"):
        signer.encode(SessionToken(floors))


def test_raise_never_lowers_a_floor():
    assert TOKEN.raised("assist-core-1", LogPosition(2, 900)) is TOKEN


def test_trim_leaves_out_only_floors_that_every_instance_has_passed():
    token = SessionToken({name: LogPosition(1, 9) for name in "abc"})
    settled = {"a": LogPosition(1, 8), "b": LogPosition(1, 9)}
    assert set(token.trimmed(settled, keep=1).positions) == {"a", "c"}
