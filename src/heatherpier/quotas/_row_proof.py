"""Writes the row that proves to a later incarnation that this member is not new."""

from collections.abc import Callable

from heatherpier.leases import FLEET_TABLE
from heatherpier.quotas._allocators import FIRST_VIEW_AGE_S
from heatherpier.quotas._fleet_rows import PROOF_AFTER_S, FleetRows
from heatherpier.tables import RowStore, StoreError
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("quotas")
PERIOD_S = 0.25
# Time for which the proof has stood when it is written again as settled. All copies that
# may still be used without a proof are younger than it.
SETTLED_AFTER_S = FIRST_VIEW_AGE_S + 1.0


class RowProof:
    """Writes, twice for each registration, that this proxy's row has stood long enough.

    Allocators and their standbys do so.

    Without it, an allocator that restarts could not tell whether its row is older than
    the copies of others, some of which may lack it.

    Args:
        me: Name of this proxy.
        rows: This proxy's standing in the fleet.
        store: The store.
        needed: Returns whether quotas are in use.
        timers: Timer service.
    """

    def __init__(
        self,
        me: str,
        *,
        rows: FleetRows,
        store: RowStore,
        needed: Callable[[], bool],
        timers: Timers,
    ) -> None:
        self._me = me
        self._rows = rows
        self._store = store
        self._needed = needed
        self._timers = timers

    async def run(self) -> None:
        """Writes the row when it is due, until cancelled."""
        async for _ in self._timers.every(PERIOD_S):
            if not self._needed():
                continue
            if self._due():
                await self._write()
            if self._me == next(iter(self._rows.first()), ""):
                await self._delete_old()

    async def _delete_old(self) -> None:
        """Deletes proofs that a restarted proxy would count as members for a time."""
        for row in self._rows.old_proofs():
            try:
                await self._store.delete(
                    FLEET_TABLE, row.key, expected=row.version, unchanged={}
                )
            except StoreError as exc:
                log.info("old proof not deleted", row=row.key, reason=str(exc))
                return
            log.info("old proof deleted", row=row.key)

    def _due(self) -> bool:
        rows = self._rows
        if self._me not in rows.proving() or rows.is_settled():
            return False
        if rows.is_proven():
            return rows.proven_s() >= SETTLED_AFTER_S
        return rows.standing().row_stood_s >= PROOF_AFTER_S

    async def _write(self) -> None:
        key, body, expected = self._rows.proof_row()
        try:
            version = await self._store.put(FLEET_TABLE, key, body, expected=expected)
        except StoreError as exc:
            # The next round tries again; until then a restart only waits longer.
            log.info("proof of the member row not written", reason=str(exc))
            return
        log.info("proof of the member row written", row=body.decode(), version=version)
