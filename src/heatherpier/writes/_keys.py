"""Generates idempotency keys and validates those of callers."""

import re
from random import Random

from heatherpier.requests import RefusedError, Request
from heatherpier.timers import Timers

KEY_PATTERN = re.compile(r"[A-Za-z0-9._:/=+@-]{1,128}")
GENERATED_KEY_PATTERN = re.compile(r"hp\.[a-z0-9_-]+\.(\d{13})\.[0-9a-f]{24}")
KEY_RANDOM_BITS = 96

MS_PER_HOUR = 3_600_000
RETENTION_MS = 24 * MS_PER_HOUR
# Maximum difference between the wall clocks of VMs and callers.
CLOCK_SKEW_MS = MS_PER_HOUR


class KeyGenerator:
    """Generates keys and validates those of callers.

    Args:
        proxy: Name of this proxy, part of the keys that it generates.
        rng: Random source of the keys.
        timers: Timer service.
        retention_ms: Maximum age of an accepted key in milliseconds. The request
            record must be kept for longer than this.
    """

    def __init__(
        self,
        *,
        proxy: str,
        rng: Random,
        timers: Timers,
        retention_ms: int = RETENTION_MS,
    ) -> None:
        self._proxy = proxy
        self._rng = rng
        self._timers = timers
        self.retention_ms = retention_ms

    def key_of(self, req: Request) -> str:
        """Returns the caller's key, or a generated one if the caller gave none.

        Raises:
            RefusedError: The caller's key is malformed, too old, or too far in the
                future.
        """
        if req.key is None:
            return self._generate()
        if not KEY_PATTERN.fullmatch(req.key):
            raise RefusedError(
                f"key {req.key[:140]!r} must be 1 to 128 characters of "
                "letters, digits and . _ : / = + @ -"
            )
        self._check_age(req.key, made_ms=req.key_made_ms)
        return req.key

    def _generate(self) -> str:
        bits = self._rng.getrandbits(KEY_RANDOM_BITS)
        return f"hp.{self._proxy}.{self._timers.wall_ms():013d}.{bits:024x}"

    def _check_age(self, key: str, *, made_ms: int | None) -> None:
        match = GENERATED_KEY_PATTERN.fullmatch(key)
        if match:
            made_ms = int(match[1])
        if made_ms is None:
            return
        age_ms = self._timers.wall_ms() - made_ms
        if age_ms > self.retention_ms:
            raise RefusedError(
                f"key {key!r} was made {age_ms} ms ago; outcomes are kept for "
                f"{self.retention_ms} ms"
            )
        if age_ms < -CLOCK_SKEW_MS:
            raise RefusedError(
                f"key {key!r} was made {-age_ms} ms in the future; at most "
                f"{CLOCK_SKEW_MS} ms are allowed"
            )
