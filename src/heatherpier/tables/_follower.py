"""Keeps a copy of a table current."""

import asyncio
import random

from heatherpier.limits import Backoff
from heatherpier.tables._copy import TableCopy
from heatherpier.tables._errors import HistoryLostError, StoreError
from heatherpier.tables._interface import RowStore
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("feeds")
INITIAL_RETRY_S = 0.05
# Keeps the calls of a whole fleet below the store's rate limits while it recovers.
MAX_RETRY_S = 0.8


class TableFollower:
    """Reads a table, then watches its changes until cancelled.

    Args:
        store: The store.
        copy: The copy that is kept current.
        timers: Timer service.
        rng: Source of the jitter between retries.
        wait_s: Longest wait of one watch, in seconds. An unresponsive connection is
            noticed only after it.
        min_period_s: Minimum time from the start of one successful call to the start
            of the next, in seconds. Changes that come in quick succession are then
            returned together.
        gate: The table is followed only while this is set; None means always.
        from_beginning: Whether to request all changes since the table's creation
            first, because a whole read does not show what was deleted.

    Attributes:
        failures: Number of consecutive failed calls.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        copy: TableCopy,
        timers: Timers,
        rng: random.Random,
        wait_s: float,
        min_period_s: float = 0.0,
        gate: asyncio.Event | None = None,
        from_beginning: bool = False,
    ) -> None:
        self._store = store
        self._copy = copy
        self._timers = timers
        self._wait_s = wait_s
        self._min_period_s = min_period_s
        self._gate = gate
        self._from_beginning = from_beginning
        self._backoff = Backoff(rng=rng, initial_s=INITIAL_RETRY_S, max_s=MAX_RETRY_S)
        self._has_read = False
        self.failures = 0

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            if self._gate is not None:
                await self._gate.wait()
            began = self._timers.now()
            try:
                await self._step()
            except HistoryLostError as exc:
                log.info(
                    "table history lost, reading all rows",
                    table=self._copy.table,
                    reason=str(exc),
                )
                self._has_read = False
            except StoreError as exc:
                await self._record_failure(exc)
            else:
                self._record_success()
                next_at = began + self._min_period_s
                await self._timers.sleep(max(next_at - self._timers.now(), 0))

    async def _step(self) -> None:
        copy = self._copy
        if not self._has_read:
            await self._read()
            self._has_read = True
            return
        copy.apply(
            await self._store.watch(copy.table, after=copy.version, wait_s=self._wait_s)
        )

    async def _read(self) -> None:
        copy = self._copy
        if copy.version == 0 and self._from_beginning:
            try:
                copy.apply_from_beginning(
                    await self._store.watch(copy.table, after=0, wait_s=0.0)
                )
            except HistoryLostError as exc:
                log.info(
                    "table history incomplete, reading all rows",
                    table=copy.table,
                    reason=str(exc),
                )
            else:
                return
        copy.replace(await self._store.read_table(copy.table))

    async def _record_failure(self, exc: StoreError) -> None:
        self.failures += 1
        if self.failures == 1:
            log.warning(
                "following the table failed",
                table=self._copy.table,
                version=self._copy.version,
                reason=f"{type(exc).__name__}: {exc}",
            )
        await self._timers.sleep(self._backoff.delay_s(min(self.failures, 10)))

    def _record_success(self) -> None:
        if self.failures:
            log.info(
                "following the table resumed",
                table=self._copy.table,
                version=self._copy.version,
                failures=self.failures,
            )
        self.failures = 0
