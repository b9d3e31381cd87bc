"""Keeps copies of tables fresh by peers while the store rejects this proxy."""

from heatherpier.fleet import Peer
from heatherpier.leases._peers import PeerLinks
from heatherpier.leases._table_sync import PeerTableSync
from heatherpier.tables import TableCopy
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
PERIOD_S = 0.25
# A copy older than this is asked for at peers: a watch of it must have failed.
STALE_S = 2.3
OTHER_STALE_S = 5.5


class PeerTableFallback:
    """Asks peers for tables while own watches fail.

    Args:
        links: The other proxies.
        table_sync: Takes tables from peers.
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
        """Watches the age of the copies until cancelled."""
        async for _ in self._timers.every(PERIOD_S):
            stale = self._fleet.age_s() >= STALE_S or any(
                copy.age_s() >= OTHER_STALE_S for copy in self._others
            )
            if stale != self._falling_back:
                self._falling_back = stale
                log.info(
                    "peers are asked for tables" if stale else "own tables are fresh",
                    fleet_age_s=round(self._fleet.age_s(), 2),
                )
            if stale:
                await self._table_sync.refresh(
                    self._links.other_voters() or self._seeds
                )
