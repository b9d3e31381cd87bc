"""Keeps a copy of one table up to date."""

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
# Keeps the calls of a whole fleet below the store's rates while it recovers.
MAX_RETRY_S = 0.8


class TableFollower:
    """Reads a table, then follows its changes for ever.

    Args:
        store: The store.
        copy: Gets what is read.
        timers: Timer service.
        rng: Spreads the retries.
        wait_s: Longest wait of one watch, in seconds. A connection that has gone
            silent is noticed after it.
        gate: The table is followed only while this is set, or always.
        from_beginning: Whether all changes since the table's beginning are asked for
            first, as a whole read does not tell what was deleted.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        copy: TableCopy,
        timers: Timers,
        rng: random.Random,
        wait_s: float,
        gate: asyncio.Event | None = None,
        from_beginning: bool = False,
    ) -> None:
        self._store = store
        self._copy = copy
        self._timers = timers
        self._wait_s = wait_s
        self._gate = gate
        self._from_beginning = from_beginning
        self._backoff = Backoff(rng=rng, initial_s=INITIAL_RETRY_S, max_s=MAX_RETRY_S)
        self._complete = False
        self.failures = 0

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            if self._gate is not None:
                await self._gate.wait()
            try:
                await self._step()
            except HistoryLostError as exc:
                log.info("table is read anew", table=self._copy.table, reason=str(exc))
                self._complete = False
            except StoreError as exc:
                await self._note_failure(exc)
            else:
                self._note_success()

    async def _step(self) -> None:
        copy = self._copy
        if not self._complete:
            await self._read()
            self._complete = True
            return
        copy.apply(
            await self._store.watch(copy.table, after=copy.version, wait_s=self._wait_s)
        )

    async def _read(self) -> None:
        copy = self._copy
        if copy.version == 0 and self._from_beginning:
            try:
                copy.begin(await self._store.watch(copy.table, after=0, wait_s=0.0))
            except HistoryLostError as exc:
                log.info("table has a past", table=copy.table, reason=str(exc))
            else:
                return
        copy.replace(await self._store.read_table(copy.table))

    async def _note_failure(self, exc: StoreError) -> None:
        self.failures += 1
        if self.failures == 1:
            log.warning(
                "store lost",
                table=self._copy.table,
                version=self._copy.version,
                reason=f"{type(exc).__name__}: {exc}",
            )
        await self._timers.sleep(self._backoff.delay_s(min(self.failures, 10)))

    def _note_success(self) -> None:
        if self.failures:
            log.info(
                "store regained",
                table=self._copy.table,
                version=self._copy.version,
                failures=self.failures,
            )
        self.failures = 0
