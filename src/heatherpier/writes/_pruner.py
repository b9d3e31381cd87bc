"""Deletes expired request records in small batches."""

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

PRUNE_PERIOD_S = 60.0
BATCH_KEYS = 100
BATCH_PAUSE_S = 0.2
# Time that records are kept after their retention. The clocks of the caller, of the
# proxy that wrote a record and of the one that prunes may each differ by
# `CLOCK_SKEW_MS`, and a key must be refused as too old before its records are deleted.
RETENTION_MARGIN_MS = 3 * CLOCK_SKEW_MS


class Pruner:
    """Deletes the expired records of groups.

    Args:
        timers: Timer service.
        rng: Random source that spreads the runs of the proxies over time.
        retention_ms: Time in milliseconds that the outcome of a key is kept.
        margin_ms: Further time in milliseconds before its records are deleted.
    """

    def __init__(
        self,
        *,
        timers: Timers,
        rng: Random,
        retention_ms: int = RETENTION_MS,
        margin_ms: int = RETENTION_MARGIN_MS,
    ) -> None:
        self._timers = timers
        self._rng = rng
        self._max_age_ms = retention_ms + margin_ms

    async def run(self, group: Group) -> None:
        """Prunes a group's records periodically until the task is cancelled."""
        while True:
            await self._timers.sleep(PRUNE_PERIOD_S * (0.5 + self._rng.random()))
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
        """Deletes all records that have expired.

        Returns:
            Count of keys whose expired records were deleted.

        Raises:
            ReadOnlyError: The group has no primary.
            UpstreamError: The primary did not answer, or rejected a statement.
        """
        before_ms = self._timers.wall_ms() - self._max_age_ms
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
