"""Follows the store's tables by a voter, to spare the store calls."""

import asyncio
from collections.abc import Callable

import xxhash

from heatherpier.fleet import Peer
from heatherpier.leases._peers import PeerLinks
from heatherpier.leases._table_sync import PeerTableSync
from heatherpier.leases._view import FleetView
from heatherpier.tables import TableCopy
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# How long a voter holds the question until something changes.
LONG_POLL_S = 0.8
# A copy that is older than this after an answer shows that the peer has lost the store.
FRESH_S = 1.8
# A peer that did not help is passed over for this long.
AVOID_S = 5.0
RETRY_S = 0.3


class PeerTableWatch:
    """Has a proxy that is no voter follow all tables by one of the voters.

    Args:
        links: The other proxies.
        table_sync: Takes tables from peers.
        view: Members and leaders.
        distance: Tells how far a data centre is.
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
        distance: Callable[[str], int],
        timers: Timers,
    ) -> None:
        self.direct = asyncio.Event()
        self.direct.set()
        self._links = links
        self._table_sync = table_sync
        self._view = view
        self._distance = distance
        self._timers = timers
        self._avoided: dict[str, float] = {}

    @property
    def _copy(self) -> TableCopy:
        return self._view.copy

    async def run(self) -> None:
        """Follows by peers until cancelled."""
        while True:
            peer = self._choose()
            if peer is not None and await self._follow(peer):
                self._switch(direct=False, peer=peer)
                continue
            self._switch(direct=True, peer=peer)
            await self._timers.sleep(RETRY_S)

    async def _follow(self, peer: Peer) -> bool:
        answered = await self._table_sync.watch_by(peer, hold_s=LONG_POLL_S)
        if answered and self._copy.age_s() < FRESH_S:
            return True
        self._avoided[peer.name] = self._timers.now() + AVOID_S
        return False

    def _switch(self, *, direct: bool, peer: Peer | None) -> None:
        if direct == self.direct.is_set():
            return
        if direct:
            self.direct.set()
        else:
            self.direct.clear()
        log.info(
            "tables followed at the store" if direct else "tables followed by a peer",
            peer=None if peer is None else peer.name,
            age_s=round(self._copy.age_s(), 3),
        )

    def _choose(self) -> Peer | None:
        """Returns the nearest voter; equals are shared by hash."""
        if not self._copy.version or self._links.me in self._view.voters():
            return None
        now = self._timers.now()
        peers = [
            peer
            for peer in self._links.other_voters()
            if self._avoided.get(peer.name, 0.0) <= now
        ]
        return min(peers, key=self._rank, default=None)

    def _rank(self, peer: Peer) -> tuple[int, str]:
        pair = f"{self._links.me} {peer.name}".encode()
        return self._distance(peer.data_centre), xxhash.xxh64_hexdigest(pair)
