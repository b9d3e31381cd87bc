"""Registers this proxy as a member of the fleet."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from heatherpier.fleet import Peer
from heatherpier.leases._primary_leases import PrimaryLeases
from heatherpier.leases._records import encode_member
from heatherpier.leases._view import FLEET_TABLE, MEMBER_PREFIX, FleetView
from heatherpier.limits import Backoff
from heatherpier.tables import (
    ChangeConflictError,
    Row,
    RowStore,
    StoreError,
)
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")


class Registration:
    """Keeps this proxy's member row in the fleet's table.

    Args:
        me: This proxy.
        store: The store.
        view: Copy of the fleet's table.
        leases: Leases of this proxy; there are none without a known member row.
        timers: Timer service.
        rng: Source of the jitter of retries.
        capacity: Relative capacity of this proxy's VM.
    """

    def __init__(
        self,
        me: Peer,
        *,
        store: RowStore,
        view: FleetView,
        leases: PrimaryLeases,
        timers: Timers,
        rng: random.Random,
        capacity: float = 1.0,
    ) -> None:
        self._me = me
        self._capacity = capacity
        self._store = store
        self._view = view
        self._leases = leases
        self._timers = timers
        self._backoff = Backoff(rng=rng)
        self._attempted = asyncio.Event()
        view.copy.subscribe(self._note_own_row)

    async def run(self) -> None:
        """Registers this proxy whenever its row is missing, until cancelled."""
        failures = 0
        while True:
            try:
                await self._register()
                failures = 0
            except ChangeConflictError:
                # The row was written before, by this process or by an earlier
                # incarnation. The copy of the table will show its version.
                failures += 1
            except StoreError as exc:
                failures += 1
                log.info("registration failed", reason=str(exc), failures=failures)
            self._attempted.set()
            await self._timers.sleep(self._backoff.delay_s(max(failures, 5)))

    async def wait_for_attempt(self, *, limit_s: float) -> None:
        """Waits until the first attempt has ended, at most ``limit_s`` seconds.

        A table that is read after it shows this proxy's row, without which there is no
        lease.
        """
        try:
            async with self._timers.timeout(limit_s):
                await self._attempted.wait()
        except TimeoutError:
            # The store does not answer; its tables are then read as soon as it does.
            return

    async def run_after(
        self, run: Callable[[], Awaitable[None]], *, limit_s: float
    ) -> None:
        """Runs a task once the first attempt has ended, or ``limit_s`` seconds later."""
        await self.wait_for_attempt(limit_s=limit_s)
        await run()

    def _note_own_row(self, row: Row) -> None:
        """Adopts the version that this proxy's row has after a restore of the store."""
        if row.key == MEMBER_PREFIX + self._me.name:
            self._adopt_own_row()

    def _adopt_own_row(self) -> bool:
        record = self._view.members.get(self._me.name)
        if record is None or record.peer != self._me:
            return False
        if record.capacity != self._capacity:
            return False
        self._leases.note_registered(record.version)
        return True

    async def _register(self) -> None:
        if self._adopt_own_row():
            return
        record = self._view.members.get(self._me.name)
        version = await self._store.put(
            FLEET_TABLE,
            MEMBER_PREFIX + self._me.name,
            encode_member(self._me, capacity=self._capacity),
            expected=0 if record is None else record.version,
        )
        log.info("registered", member=self._me.name, version=version)
        self._leases.note_registered(version)
