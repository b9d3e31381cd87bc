"""Refreshes copies of tables from peers while this proxy's own watches fail."""

import asyncio

from heatherpier.fleet import Peer
from heatherpier.leases._peer_ranking import PeerRanking
from heatherpier.leases._peers import PeerLinks
from heatherpier.leases._table_sync import PeerTableSync
from heatherpier.tables import TableCopy
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
CHECK_PERIOD_S = 0.25
# Time in which a starting proxy reads the store itself before it asks peers.
FIRST_READ_S = 0.4
# Time for which a peer is not asked for all tables after it did not answer or had old
# copies itself.
PEER_BACKOFF_S = 1.0
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
        ranking: Chooses the peer to ask for all tables.
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
        ranking: PeerRanking,
        timers: Timers,
    ) -> None:
        self._links = links
        self._table_sync = table_sync
        self._fleet = fleet
        self._others = others
        self._seeds = seeds
        self._ranking = ranking
        self._timers = timers
        self._began = timers.elapsed()
        self._falling_back = False

    async def run(self) -> None:
        """Checks the age of the copies, and refreshes stale ones, until cancelled."""
        async for _ in self._timers.every(CHECK_PERIOD_S):
            stale = self._is_stale()
            if stale != self._falling_back:
                self._falling_back = stale
                log.info(
                    "tables stale, asking peers" if stale else "tables fresh again",
                    fleet_age_s=round(self._fleet.age_s(), 2),
                )
            if stale:
                await self._refresh()

    def _is_stale(self) -> bool:
        if self._timers.elapsed() - self._began < FIRST_READ_S:
            return False
        return self._fleet.age_s() >= FLEET_STALE_S or any(
            copy.age_s() >= OTHER_STALE_S for copy in self._others
        )

    async def _refresh(self) -> None:
        """Asks one peer for all tables, and the other voters for grants only.

        A proxy that knows no tables yet asks for them first, so that the voters don't
        all send it the same rows. If the peer has old copies itself, another one is
        asked, which the answers of the voters have shown to be current.
        """
        source = self._choose()
        if source is not None and not self._fleet.version:
            await self._refresh_from(source)
            return
        grants = [
            self._request_grant(peer)
            for peer in self._links.other_voters()
            if peer != source
        ]
        if source is None:
            await asyncio.gather(*grants)
            return
        is_fresh, *_ = await asyncio.gather(self._refresh_from(source), *grants)
        if not is_fresh and (other := self._choose()) is not None:
            await self._refresh_from(other)

    def _choose(self) -> Peer | None:
        return self._ranking.choose(self._links.other_voters() or self._seeds)

    async def _refresh_from(self, source: Peer) -> bool:
        """Asks a peer for all tables; returns whether its copies were current."""
        ages_s = await self._table_sync.refresh(source)
        is_fresh = self._is_fleet_fresh(ages_s) and all(
            ages_s.get(copy.table, float("inf")) < OTHER_STALE_S
            for copy in self._others
        )
        if not is_fresh:
            self._ranking.back_off(source, for_s=PEER_BACKOFF_S)
        return is_fresh

    async def _request_grant(self, peer: Peer) -> None:
        if not self._is_fleet_fresh(await self._table_sync.request_grant(peer)):
            self._ranking.back_off(peer, for_s=PEER_BACKOFF_S)

    def _is_fleet_fresh(self, ages_s: dict[str, float]) -> bool:
        return ages_s.get(self._fleet.table, float("inf")) < FLEET_STALE_S
