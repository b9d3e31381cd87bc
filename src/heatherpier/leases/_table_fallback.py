"""Refreshes copies of tables from peers while this proxy's own watches fail."""

from heatherpier.fleet import Peer
from heatherpier.leases._peers import PeerLinks
from heatherpier.leases._table_sync import PeerTableSync
from heatherpier.tables import TableCopy
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
CHECK_PERIOD_S = 0.25
# Age of the copy of the fleet's table from which peers are asked for it: a copy gets
# this old only if a watch has failed.
FLEET_STALE_S = 2.3
# Age of the copy of any other table from which peers are asked for it.
OTHER_STALE_S = 5.5


class PeerTableFallback:
    """Asks peers for tables while this proxy's watches of the store fail.

    Args:
        links: The other proxies.
        table_sync: Fetches tables from peers.
        fleet: Copy of the fleet's table.
        others: Copies of the other tables.
        seeds: Proxies to ask while no members are known.
        timers: Timer service.
    """

    def __init__(
        self,
        *,
        links: PeerLinks,
        table_sync: PeerTableSync,
        fleet: TableCopy,
        others: list[TableCopy],
        seeds: list[Peer],
        timers: Timers,
    ) -> None:
        self._links = links
        self._table_sync = table_sync
        self._fleet = fleet
        self._others = others
        self._seeds = seeds
        self._timers = timers
        self._falling_back = False

    async def run(self) -> None:
        """Checks the age of the copies, and refreshes stale ones, until cancelled."""
        async for _ in self._timers.every(CHECK_PERIOD_S):
            stale = self._fleet.age_s() >= FLEET_STALE_S or any(
                copy.age_s() >= OTHER_STALE_S for copy in self._others
            )
            if stale != self._falling_back:
                self._falling_back = stale
                log.info(
                    "tables stale, asking peers" if stale else "tables fresh again",
                    fleet_age_s=round(self._fleet.age_s(), 2),
                )
            if stale:
                await self._table_sync.refresh(
                    self._links.other_voters() or self._seeds
                )
