"""Signed tokens, by which a session's reads see its writes through any proxy."""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from heatherpier.positions import LogPosition
from heatherpier.sessions._errors import InvalidTokenError, TokenTooLargeError

# Length to which the HMAC-SHA256 signature is truncated.
SIGNATURE_BYTES = 16
TOKEN_VERSION = 1
# Limit on the positions of one token, which has one for each group.
MAX_POSITIONS = 128
MAX_TOKEN_CHARS = 16_384
MAX_TERM_OR_INDEX = 2**62
# Above this count, a token omits positions that every instance has reached.
TRIM_ABOVE_POSITIONS = 16
MAX_QUOTED_CHARS = 16


@dataclass(frozen=True, slots=True)
class SessionToken:
    """Minimum position in each group that the reads of a session must see."""

    positions: Mapping[str, LogPosition] = field(default_factory=dict)

    def min_position(self, group: str) -> LogPosition | None:
        """Returns the minimum position in ``group``, or None if there is none."""
        return self.positions.get(group)

    def advanced(self, group: str, position: LogPosition) -> "SessionToken":
        """Returns a token that requires at least ``position`` in ``group``."""
        known = self.positions.get(group)
        if known is not None and known >= position:
            return self
        return SessionToken({**self.positions, group: position})

    def merged(self, other: "SessionToken") -> "SessionToken":
        """Returns a token with the higher minimum position of the two in each group."""
        token = self
        for group, position in other.positions.items():
            token = token.advanced(group, position)
        return token

    def trimmed(
        self,
        reached_by_all: Mapping[str, LogPosition],
        *,
        keep: int = TRIM_ABOVE_POSITIONS,
    ) -> "SessionToken":
        """Returns a token of at most ``keep`` positions, if enough can be omitted.

        Only positions that every instance has reached are omitted. Without a
        minimum position, the next read of that group goes to a confirmed primary.
        A wrong ``reached_by_all`` thus costs a read on the primary and never
        causes a stale answer.

        Args:
            reached_by_all: Lowest position of all instances, by group.
            keep: Count of positions above which positions are omitted.
        """
        excess = len(self.positions) - keep
        if excess <= 0:
            return self
        omittable = [
            group
            for group, min_position in self.positions.items()
            if group in reached_by_all and min_position <= reached_by_all[group]
        ]
        omitted = frozenset(omittable[:excess])
        return SessionToken(
            {
                name: min_position
                for name, min_position in self.positions.items()
                if name not in omitted
            }
        )


class _Body(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    version: int
    floors: dict[str, tuple[int, int]]


class TokenSigner:
    """Encodes tokens as signed text, and verifies and decodes them.

    Args:
        deployment: Name of the deployment, included in the signature.
        keys: Secret keys. The first signs and all of them verify, so that a key
            can be replaced while tokens signed by the old one are in use.
    """

    def __init__(self, *, deployment: str, keys: tuple[bytes, ...]) -> None:
        self._deployment = deployment.encode()
        self._keys = keys

    def encode(self, token: SessionToken) -> str:
        """Returns ``token`` as signed, URL-safe base64 text.

        Raises:
            TokenTooLargeError: The token has more than `MAX_POSITIONS` positions.
        """
        if len(token.positions) > MAX_POSITIONS:
            raise TokenTooLargeError(
                f"token has positions in {len(token.positions)} groups, "
                f"expected at most {MAX_POSITIONS}"
            )
        floors = {
            group: (position.term, position.index)
            for group, position in sorted(token.positions.items())
        }
        body = msgspec.msgpack.encode(_Body(TOKEN_VERSION, floors))
        signed_body = self._sign(body, key=self._keys[0]) + body
        return base64.urlsafe_b64encode(signed_body).decode()

    def decode(self, text: str) -> SessionToken:
        """Verifies and decodes a token.

        Raises:
            InvalidTokenError: The text is malformed, or not signed by a current key
                of this deployment.
        """
        if len(text) > MAX_TOKEN_CHARS:
            raise InvalidTokenError(
                f"token of {len(text)} characters, expected at most {MAX_TOKEN_CHARS}"
            )
        quoted = repr(text[:MAX_QUOTED_CHARS] + "...")
        try:
            signed_body = base64.b64decode(text, altchars=b"-_", validate=True)
        except (binascii.Error, ValueError) as exc:
            raise InvalidTokenError(f"token {quoted} is not base64") from exc
        signature, body = signed_body[:SIGNATURE_BYTES], signed_body[SIGNATURE_BYTES:]
        if not any(self._verify(signature, body, key) for key in self._keys):
            raise InvalidTokenError(
                f"token {quoted} is not signed by a current key of this deployment"
            )
        return _decode_body(body, quoted=quoted)

    def _verify(self, signature: bytes, body: bytes, key: bytes) -> bool:
        return hmac.compare_digest(signature, self._sign(body, key=key))

    def _sign(self, body: bytes, *, key: bytes) -> bytes:
        digest = hmac.digest(key, self._deployment + b"\0" + body, hashlib.sha256)
        return digest[:SIGNATURE_BYTES]


def _decode_body(body: bytes, *, quoted: str) -> SessionToken:
    try:
        parsed = msgspec.msgpack.decode(body, type=_Body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise InvalidTokenError(f"token {quoted} has a malformed body") from exc
    if parsed.version != TOKEN_VERSION:
        raise InvalidTokenError(
            f"token {quoted} has version {parsed.version}, expected {TOKEN_VERSION}"
        )
    if len(parsed.floors) > MAX_POSITIONS:
        raise InvalidTokenError(
            f"token {quoted} has positions in {len(parsed.floors)} groups, "
            f"expected at most {MAX_POSITIONS}"
        )
    for group, numbers in parsed.floors.items():
        if not all(0 <= number <= MAX_TERM_OR_INDEX for number in numbers):
            raise InvalidTokenError(
                f"token {quoted} has position {numbers} in {group!r}, "
                f"expected numbers from 0 to {MAX_TERM_OR_INDEX}"
            )
    return SessionToken(
        {group: LogPosition(*numbers) for group, numbers in parsed.floors.items()}
    )
