"""The allocator's side: gives rights to the proxies that ask."""

import math
from collections.abc import Mapping

from heatherpier.quotas._allocators import why_inactive
from heatherpier.quotas._buckets import Buckets
from heatherpier.quotas._fleet_rows import FleetRows
from heatherpier.quotas._messages import RightsAnswer
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("quotas")
# Longest retry time that an answer says, in seconds.
MAX_RETRY_S = 60.0
MS_PER_S = 1000


class RightsIssuer:
    """Gives rights while this proxy is an allocator.

    Args:
        me: Name of this proxy.
        rows: This proxy's standing in the fleet.
        buckets: The rights.
        timers: Timer service.
    """

    def __init__(
        self, me: str, *, rows: FleetRows, buckets: Buckets, timers: Timers
    ) -> None:
        self._me = me
        self._rows = rows
        self._buckets = buckets
        self._timers = timers
        self._cause = "just started"

    @property
    def active(self) -> bool:
        """Whether this proxy was an allocator at the last `update`."""
        return not self._cause

    def update(self) -> bool:
        """Decides anew whether this proxy is an allocator, and returns it."""
        standing = self._rows.standing()
        first = self._rows.first()
        cause = why_inactive(self._me, first, standing)
        if cause == self._cause:
            return not cause
        was_active, self._cause = not self._cause, cause
        fields = {
            "allocators": list(first),
            "view_age_s": round(standing.view_age_s, 3),
            "row_stood_s": _finite(standing.row_stood_s),
            "followed_s": _finite(standing.followed_s),
            "running_s": round(standing.running_s, 3),
        }
        if not cause:
            self._buckets.restart(self._timers.elapsed())
            log.info("allocator role begun", **fields)
        elif was_active:
            log.info("allocator role ended", cause=cause, **fields)
        return not cause

    def give(self, asker: str, asks: Mapping[str, float]) -> RightsAnswer:
        """Answers a request for rights.

        Args:
            asker: Name of the proxy that asks.
            asks: Number of rights by organisation.
        """
        if not self.update():
            return RightsAnswer(given={}, retry_ms={}, active=False)
        now = self._timers.elapsed()
        given: dict[str, float] = {}
        retry_ms: dict[str, float] = {}
        for organisation, amount in asks.items():
            gift = self._buckets.give(organisation, asker, amount, now)
            if gift.amount:
                given[organisation] = gift.amount
            if gift.retry_s:
                retry_ms[organisation] = min(gift.retry_s, MAX_RETRY_S) * MS_PER_S
        return RightsAnswer(given=given, retry_ms=retry_ms)


def _finite(value: float) -> float | None:
    return round(value, 3) if math.isfinite(value) else None
