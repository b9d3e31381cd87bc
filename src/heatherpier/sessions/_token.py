"""Tokens that make a session's reads see its writes through any proxy."""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from heatherpier.groups import LogPosition
from heatherpier.sessions._errors import InvalidTokenError, TokenTooLargeError

SIGNATURE_BYTES = 16
TOKEN_VERSION = 1
MAX_POSITIONS = 128
MAX_TOKEN_CHARS = 16_384
MAX_NUMBER = 2**62
# Above this count, minimum positions that every instance has passed are left out.
POSITIONS_KEPT = 16
SHOWN_CHARS = 16


@dataclass(frozen=True, slots=True)
class SessionToken:
    """Floors of a session: the least position of each group that it must see."""

    positions: Mapping[str, LogPosition] = field(default_factory=dict)

    def min_position(self, group: str) -> LogPosition | None:
        """Returns the minimum position in ``group``, or None if the session has none."""
        return self.positions.get(group)

    def raised(self, group: str, position: LogPosition) -> "SessionToken":
        """Returns a token whose minimum position in ``group`` is at least ``position``."""
        known = self.positions.get(group)
        if known is not None and known >= position:
            return self
        return SessionToken({**self.positions, group: position})

    def merged(self, other: "SessionToken") -> "SessionToken":
        """Returns a token with the higher minimum position of both in each group."""
        token = self
        for group, position in other.positions.items():
            token = token.raised(group, position)
        return token

    def trimmed(
        self, settled: Mapping[str, LogPosition], *, keep: int = POSITIONS_KEPT
    ) -> "SessionToken":
        """Returns a token of at most ``keep`` minimum positions, if enough can be left out.

        A minimum position that is left out is not lost: without it, the next read of that
        group goes to a confirmed primary. So a wrong ``settled`` costs a read on
        the primary, never a stale answer.

        Args:
            settled: Least position of all instances, by group.
            keep: Count of minimum positions to keep.
        """
        spare = len(self.positions) - keep
        if spare <= 0:
            return self
        passed = [
            group
            for group, min_position in self.positions.items()
            if group in settled and min_position <= settled[group]
        ]
        dropped = frozenset(passed[:spare])
        return SessionToken(
            {
                name: min_position
                for name, min_position in self.positions.items()
                if name not in dropped
            }
        )


class _Body(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    version: int
    floors: dict[str, tuple[int, int]]


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
        """Returns ``token`` as printable text.

        Raises:
            TokenTooLargeError: It has more than `MAX_POSITIONS` minimum positions.
        """
        if len(token.positions) > MAX_POSITIONS:
            raise TokenTooLargeError(
                f"floors in {len(token.positions)} groups, expected at most {MAX_POSITIONS}"
            )
        floors = {
            group: (position.term, position.index)
            for group, position in sorted(token.positions.items())
        }
        body = msgspec.msgpack.encode(_Body(TOKEN_VERSION, floors))
        signed = self._sign(body, key=self._keys[0]) + body
        return base64.urlsafe_b64encode(signed).decode()

    def decode(self, text: str) -> SessionToken:
        """Reads a token.

        Raises:
            InvalidTokenError: The text is not a token of this deployment.
        """
        if len(text) > MAX_TOKEN_CHARS:
            raise InvalidTokenError(
                f"token of {len(text)} characters, expected at most {MAX_TOKEN_CHARS}"
            )
        shown = repr(text[:SHOWN_CHARS] + "...")
        try:
            signed = base64.b64decode(text, altchars=b"-_", validate=True)
        except (binascii.Error, ValueError) as exc:
            raise InvalidTokenError(f"token {shown} is not base64") from exc
        signature, body = signed[:SIGNATURE_BYTES], signed[SIGNATURE_BYTES:]
        if not any(self._matches(signature, body, key) for key in self._keys):
            raise InvalidTokenError(
                f"token {shown} is not signed by a key in use of this deployment"
            )
        return _read_body(body, shown=shown)

    def _matches(self, signature: bytes, body: bytes, key: bytes) -> bool:
        return hmac.compare_digest(signature, self._sign(body, key=key))

    def _sign(self, body: bytes, *, key: bytes) -> bytes:
        digest = hmac.digest(key, self._deployment + b"\0" + body, hashlib.sha256)
        return digest[:SIGNATURE_BYTES]


def _read_body(body: bytes, *, shown: str) -> SessionToken:
    try:
        parsed = msgspec.msgpack.decode(body, type=_Body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise InvalidTokenError(f"token {shown} has a malformed body") from exc
    if parsed.version != TOKEN_VERSION:
        raise InvalidTokenError(
            f"token {shown} has version {parsed.version}, expected {TOKEN_VERSION}"
        )
    if len(parsed.floors) > MAX_POSITIONS:
        raise InvalidTokenError(f"token {shown} has {len(parsed.floors)} floors")
    for group, numbers in parsed.floors.items():
        if not all(0 <= number <= MAX_NUMBER for number in numbers):
            raise InvalidTokenError(f"token {shown} has floor {numbers} in {group!r}")
    return SessionToken(
        {group: LogPosition(*numbers) for group, numbers in parsed.floors.items()}
    )
