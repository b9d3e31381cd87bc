"""Deletes request records whose time is over, in small batches."""

from random import Random

from heatherpier.groups import Group, GroupError
from heatherpier.requests import ReadOnlyError
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers
from heatherpier.upstreams import StatementError, UpstreamError
from heatherpier.writes._attempt import CONTROL_TIMEOUT_S, ServerError
from heatherpier.writes._keys import CLOCK_SKEW_MS, RETENTION_MS
from heatherpier.writes._primary import find_primary
from heatherpier.writes._records import delete_records, find_expired_keys

log = get_logger("writes")

PERIOD_S = 60.0
BATCH_KEYS = 100
BATCH_PAUSE_S = 0.2
# Clocks of the caller, of the proxy that wrote a record and of the one that
# prunes may all differ, so records outlive their retention by this much.
MARGIN_MS = 3 * CLOCK_SKEW_MS


class Pruner:
    """Deletes the expired records of groups.

    Args:
        timers: Timer service.
        rng: Random source that spreads the proxies' work.
        retention_ms: Time in milliseconds that a record counts.
        margin_ms: Time in milliseconds that it is kept beyond that.
    """

    def __init__(
        self,
        *,
        timers: Timers,
        rng: Random,
        retention_ms: int = RETENTION_MS,
        margin_ms: int = MARGIN_MS,
    ) -> None:
        self._timers = timers
        self._rng = rng
        self._kept_ms = retention_ms + margin_ms

    async def run(self, group: Group) -> None:
        """Prunes a group's records for as long as the task runs."""
        while True:
            await self._timers.sleep(PERIOD_S * (0.5 + self._rng.random()))
            try:
                deleted = await self.prune(group)
            except (UpstreamError, GroupError, ReadOnlyError) as exc:
                log.warning(
                    "records not pruned", group=group.spec.name, reason=str(exc)
                )
                continue
            if deleted:
                log.info("records pruned", group=group.spec.name, keys=deleted)

    async def prune(self, group: Group) -> int:
        """Deletes all records that are expired now.

        Returns:
            Count of keys whose records were deleted.

        Raises:
            ReadOnlyError: The group has no primary.
            UpstreamError: The primary did not answer, or refused.
        """
        before_ms = self._timers.wall_ms() - self._kept_ms
        deleted = 0
        while True:
            keys = await self._prune_batch(group, before_ms)
            deleted += keys
            if keys < BATCH_KEYS:
                return deleted
            await self._timers.sleep(BATCH_PAUSE_S)

    async def _prune_batch(self, group: Group, before_ms: int) -> int:
        deadline = self._timers.now() + CONTROL_TIMEOUT_S
        primary = await find_primary(group, timers=self._timers, deadline=deadline)
        pool = group.pools[primary.instance]
        async with pool.acquire(timeout_s=CONTROL_TIMEOUT_S) as conn:
            try:
                keys = await find_expired_keys(
                    conn,
                    before_ms=before_ms,
                    limit=BATCH_KEYS,
                    timeout_s=CONTROL_TIMEOUT_S,
                )
            except StatementError as exc:
                if exc.code == ServerError.NO_SUCH_TABLE:
                    return 0
                raise
            if keys:
                await delete_records(
                    conn, keys, before_ms=before_ms, timeout_s=CONTROL_TIMEOUT_S
                )
        return len(keys)
