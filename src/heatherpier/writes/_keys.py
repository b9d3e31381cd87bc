"""Idempotency keys: their form, their age and those that the proxy makes."""

import re
from random import Random

from heatherpier.requests import RefusedError, Request
from heatherpier.timers import Timers

KEY_FORM = re.compile(r"[A-Za-z0-9._:/=+@-]{1,128}")
MADE_KEY = re.compile(r"hp\.[a-z0-9_-]+\.(\d{13})\.[0-9a-f]{24}")
RANDOM_BITS = 96

MS_PER_HOUR = 3_600_000
RETENTION_MS = 24 * MS_PER_HOUR
# Wall clocks of VMs and callers may differ by this much.
CLOCK_SKEW_MS = MS_PER_HOUR


class KeyGenerator:
    """Makes keys and checks those of callers.

    Args:
        proxy: Name of this proxy, part of the keys it makes.
        rng: Random source.
        timers: Timer service.
        retention_ms: Time in milliseconds that a request record is kept.
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
        """Returns the key of a request, made here if the caller gave none.

        Raises:
            RefusedError: The caller's key has a wrong form or is too old.
        """
        if req.key is None:
            return self._make()
        if not KEY_FORM.fullmatch(req.key):
            raise RefusedError(
                f"key {req.key[:140]!r} must be 1 to 128 characters of "
                "letters, digits and . _ : / = + @ -"
            )
        self._check_age(req.key, made_ms=req.key_made_ms)
        return req.key

    def _make(self) -> str:
        bits = self._rng.getrandbits(RANDOM_BITS)
        return f"hp.{self._proxy}.{self._timers.wall_ms():013d}.{bits:024x}"

    def _check_age(self, key: str, *, made_ms: int | None) -> None:
        found = MADE_KEY.fullmatch(key)
        if found:
            made_ms = int(found[1])
        if made_ms is None:
            return
        age_ms = self._timers.wall_ms() - made_ms
        if age_ms > self.retention_ms:
            raise RefusedError(
                f"key {key!r} was made {age_ms} ms ago; outcomes are kept for "
                f"{self.retention_ms} ms"
            )
        if age_ms < -CLOCK_SKEW_MS:
            raise RefusedError(f"key {key!r} was made {-age_ms} ms in the future")
