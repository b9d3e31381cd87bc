"""The allocator's side: gives rights to the proxies that ask."""

import math
from collections.abc import Collection, Mapping

from heatherpier.quotas._allocators import Standing, why_inactive
from heatherpier.quotas._buckets import Buckets
from heatherpier.quotas._fleet_rows import FleetRows
from heatherpier.quotas._messages import RightsAnswer
from heatherpier.quotas._policies import (
    EmptyStart,
    FilledSinceStart,
    FixedShares,
    QuotaPolicy,
    RaisedShares,
)
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
        policy: How the role begins and makes up for missing allocators.
        started_at: Time in seconds at which this process was started.
    """

    def __init__(
        self,
        me: str,
        *,
        rows: FleetRows,
        buckets: Buckets,
        timers: Timers,
        policy: QuotaPolicy,
        started_at: float,
    ) -> None:
        self._me = me
        self._rows = rows
        self._buckets = buckets
        self._timers = timers
        self._policy = policy
        self._started_at = started_at
        self._cause = "just started"
        self._began_before = False
        self._missing = 0

    @property
    def active(self) -> bool:
        """Whether this proxy was an allocator at the last `update`."""
        return not self._cause

    def update(self) -> bool:
        """Decides anew whether this proxy is an allocator, and returns it."""
        standing = self._rows.standing()
        first = self._rows.first()
        cause = why_inactive(self._me, first, standing, pause_s=self._pause_s())
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
            now = self._timers.elapsed()
            empty_at = self._empty_at(standing, now)
            self._buckets.restart(empty_at)
            self._began_before = True
            log.info(
                "allocator role begun", filled_s=round(now - empty_at, 3), **fields
            )
        elif was_active:
            log.info("allocator role ended", cause=cause, **fields)
        return not cause

    def _pause_s(self) -> float:
        match self._policy.start:
            case EmptyStart(pause_s=pause_s):
                return pause_s
            case FilledSinceStart():
                return 0.0

    def _empty_at(self, standing: Standing, now: float) -> float:
        """Returns since when this proxy's share was surely created for nobody else.

        A settled proof is older than a process that was started a moment ago, so the
        place among the allocators was this proxy's since its start.
        """
        match self._policy.start:
            case FilledSinceStart(max_age_s=max_age_s) if (
                standing.settled
                and not self._began_before
                and now - self._started_at <= max_age_s
            ):
                return self._started_at
            case _:
                return now

    def note_silent(self, names: Collection[str]) -> None:
        """Makes up for missing allocators, if the policy says so.

        Args:
            names: Allocators that lately did not answer or created no rights. Those that
                are no members count as missing too.
        """
        match self._policy.loss:
            case FixedShares():
                return
            case RaisedShares():
                present = (self._rows.members().keys() - set(names)) | {self._me}
        missing = sum(name not in present for name in self._rows.first())
        if missing != self._missing:
            if self.active:
                log.info(
                    "missing allocators changed", before=self._missing, now=missing
                )
            self._missing = missing
            self._buckets.set_missing(missing, self._timers.elapsed())

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
