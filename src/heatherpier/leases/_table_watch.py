"""Follows the store's tables through a voter, to reduce calls to the store."""

import asyncio

from heatherpier.fleet import Peer
from heatherpier.leases._peer_ranking import PeerRanking
from heatherpier.leases._peers import PeerLinks
from heatherpier.leases._table_sync import PeerTableSync
from heatherpier.leases._view import FleetView
from heatherpier.tables import TableCopy
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# Longest time that a voter holds a request until something changes.
LONG_POLL_S = 0.8
# A copy older than this after an answer indicates that the peer has lost the store.
MAX_AGE_S = 1.8
# Time for which a peer is not asked after it did not answer or had an old copy.
PEER_BACKOFF_S = 5.0
# Pause before another voter is tried, or before this proxy checks again whether it
# needs one.
RETRY_S = 0.3


class PeerTableWatch:
    """Has a non-voter follow all tables through one of the voters.

    Args:
        links: The other proxies.
        table_sync: Fetches tables from peers.
        view: Members and leaders.
        ranking: Chooses the voter to follow.
        timers: Timer service.

    Attributes:
        direct: Set while this proxy has to watch the store itself.
    """

    def __init__(
        self,
        *,
        links: PeerLinks,
        table_sync: PeerTableSync,
        view: FleetView,
        ranking: PeerRanking,
        timers: Timers,
    ) -> None:
        self.direct = asyncio.Event()
        self.direct.set()
        self._links = links
        self._table_sync = table_sync
        self._view = view
        self._ranking = ranking
        self._timers = timers

    @property
    def _copy(self) -> TableCopy:
        return self._view.copy

    async def run(self) -> None:
        """Follows the tables through peers where possible, until cancelled."""
        while True:
            peer = self._choose_peer()
            if peer is not None and await self._follow(peer):
                self._switch_source(direct=False, peer=peer)
                continue
            self._switch_source(direct=True, peer=peer)
            await self._timers.sleep(RETRY_S)

    async def _follow(self, peer: Peer) -> bool:
        # The first answer comes at once: a started proxy needs the positions in it.
        hold_s = 0.0 if self.direct.is_set() else LONG_POLL_S
        answered = await self._table_sync.long_poll(peer, hold_s=hold_s)
        if answered and self._copy.age_s() < MAX_AGE_S:
            return True
        self._ranking.back_off(peer, for_s=PEER_BACKOFF_S)
        return False

    def _switch_source(self, *, direct: bool, peer: Peer | None) -> None:
        if direct == self.direct.is_set():
            return
        if direct:
            self.direct.set()
        else:
            self.direct.clear()
        log.info(
            "tables followed at the store"
            if direct
            else "tables followed through a peer",
            peer=None if peer is None else peer.name,
            age_s=round(self._copy.age_s(), 3),
        )

    def _choose_peer(self) -> Peer | None:
        """Returns the nearest voter that is not in back-off, or None.

        Also returns None if this proxy is a voter or has read no table yet.
        """
        if not self._copy.version or self._links.me in self._view.voters():
            return None
        return self._ranking.choose(self._links.other_voters())
