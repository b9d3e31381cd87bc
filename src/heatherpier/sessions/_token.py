"""Tokens that make a session's reads see its writes through any proxy."""

import base64
import binascii
import hashlib
import hmac
from dataclasses import dataclass, field

import msgspec

from heatherpier.groups import LogPosition
from heatherpier.sessions._errors import InvalidTokenError

SIGNATURE_BYTES = 16
MAX_TOKEN_CHARS = 4096


@dataclass(frozen=True, slots=True)
class SessionToken:
    """Floors of a session: the least position of each group that it must see."""

    floors: dict[str, LogPosition] = field(default_factory=dict)

    def floor(self, group: str) -> LogPosition | None:
        """Returns the floor in ``group``, or None if the session has none."""
        return self.floors.get(group)

    def raised(self, group: str, position: LogPosition) -> "SessionToken":
        """Returns a token whose floor in ``group`` is at least ``position``."""
        known = self.floors.get(group)
        if known is not None and known >= position:
            return self
        return SessionToken({**self.floors, group: position})

    def merged(self, other: "SessionToken") -> "SessionToken":
        """Returns a token with the higher floor of both in each group."""
        token = self
        for group, position in other.floors.items():
            token = token.raised(group, position)
        return token


class TokenSigner:
    """Writes tokens as text and reads them back.

    Args:
        deployment: Name that tokens are bound to.
        keys: Secret keys. The first signs; all of them verify, so that a key
            can be replaced while tokens of the old one are still in use.
    """

    def __init__(self, *, deployment: str, keys: tuple[bytes, ...]) -> None:
        self._deployment = deployment.encode()
        self._keys = keys

    def encode(self, token: SessionToken) -> str:
        """Returns ``token`` as printable text."""
        floors = {
            group: (position.term, position.index)
            for group, position in sorted(token.floors.items())
        }
        body = msgspec.msgpack.encode(floors)
        signed = self._sign(body, key=self._keys[0]) + body
        return base64.urlsafe_b64encode(signed).decode()

    def decode(self, text: str) -> SessionToken:
        """Reads a token.

        Raises:
            InvalidTokenError: The text is not a token of this deployment.
        """
        if len(text) > MAX_TOKEN_CHARS:
            raise InvalidTokenError(f"token of {len(text)} characters is too long")
        try:
            signed = base64.b64decode(text, altchars=b"-_", validate=True)
        except (binascii.Error, ValueError) as exc:
            raise InvalidTokenError(f"token {text[:16]!r}... is not base64") from exc
        signature, body = signed[:SIGNATURE_BYTES], signed[SIGNATURE_BYTES:]
        if not any(self._matches(signature, body, key) for key in self._keys):
            raise InvalidTokenError(f"token {text[:16]!r}... has no valid signature")
        floors = msgspec.msgpack.decode(body, type=dict[str, tuple[int, int]])
        return SessionToken(
            {group: LogPosition(*position) for group, position in floors.items()}
        )

    def _matches(self, signature: bytes, body: bytes, key: bytes) -> bool:
        return hmac.compare_digest(signature, self._sign(body, key=key))

    def _sign(self, body: bytes, *, key: bytes) -> bytes:
        digest = hmac.digest(key, self._deployment + b"\0" + body, hashlib.sha256)
        return digest[:SIGNATURE_BYTES]
