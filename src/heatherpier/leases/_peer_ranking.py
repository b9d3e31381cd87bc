"""Order in which a proxy asks its peers for copies of tables."""

from collections.abc import Callable, Iterable

import xxhash

from heatherpier.fleet import Peer
from heatherpier.timers import Timers


class PeerRanking:
    """Chooses the nearest peer that is not in back-off.

    Among peers at the same distance, a hash spreads the proxies.

    Args:
        me: Name of this proxy.
        distance: Returns the distance of a data centre: 0 for this proxy's own, and a
            higher number for one farther away.
        timers: Timer service.
    """

    def __init__(
        self, me: str, *, distance: Callable[[str], int], timers: Timers
    ) -> None:
        self._me = me
        self._distance = distance
        self._timers = timers
        self._backoff_until: dict[str, float] = {}

    def back_off(self, peer: Peer, *, for_s: float) -> None:
        """Does not choose a peer for a time in seconds."""
        self._backoff_until[peer.name] = self._timers.now() + for_s

    def choose(self, peers: Iterable[Peer]) -> Peer | None:
        """Returns the best of some peers, or None if all are in back-off."""
        now = self._timers.now()
        available = [
            peer for peer in peers if self._backoff_until.get(peer.name, 0.0) <= now
        ]
        return min(available, key=self._rank, default=None)

    def _rank(self, peer: Peer) -> tuple[int, str]:
        pair = f"{self._me} {peer.name}".encode()
        return self._distance(peer.data_centre), xxhash.xxh64_hexdigest(pair)
