"""Removes unresponsive members, so that no change of primary waits for them."""

from heatherpier.fleet import Peer, PeerNetwork, PeerUnreachableError
from heatherpier.leases._messages import Ping
from heatherpier.leases._removal import MemberRemoval
from heatherpier.leases._view import FleetView
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
PING_PERIOD_S = 0.5
PING_TIMEOUT_S = 0.4
# Each member watches this many others, which follow it by name, so that the messages of
# a member don't grow with the fleet.
WATCHED_MEMBERS = 2
# Consecutive missed answers after which a member is removed. One that was removed by
# mistake registers again within some 10 ms, so few are enough.
MAX_MISSES = 3


class MemberLiveness:
    """Pings some of the members and removes those that do not answer.

    Args:
        me: Name of this proxy.
        network: Requests and answers between proxies.
        removal: Removes members.
        view: Members and leaders.
        timers: Timer service.
    """

    def __init__(
        self,
        me: str,
        *,
        network: PeerNetwork,
        removal: MemberRemoval,
        view: FleetView,
        timers: Timers,
    ) -> None:
        self._me = me
        self._network = network
        self._removal = removal
        self._view = view
        self._timers = timers
        self._misses: dict[str, int] = {}

    async def run(self) -> None:
        """Watches until cancelled."""
        async for _ in self._timers.every(PING_PERIOD_S):
            watched = self.watched()
            self._misses = {
                peer.name: self._misses.get(peer.name, 0) for peer in watched
            }
            for peer in watched:
                await self._check(peer)

    def watched(self) -> list[Peer]:
        """Returns the members that this proxy watches."""
        names = sorted(self._view.members)
        if self._me not in names:
            return []
        index = names.index(self._me)
        successors = (names[index + 1 :] + names[:index])[:WATCHED_MEMBERS]
        return [self._view.members[name].peer for name in successors]

    async def _check(self, peer: Peer) -> None:
        try:
            await self._network.request(peer, Ping(), timeout_s=PING_TIMEOUT_S)
        except PeerUnreachableError as exc:
            self._misses[peer.name] += 1
            log.info(
                "member does not answer",
                member=peer.name,
                misses=self._misses[peer.name],
                reason=str(exc),
            )
            if self._misses[peer.name] >= MAX_MISSES:
                self._misses[peer.name] = 0
                await self._removal.remove(peer.name)
            return
        self._misses[peer.name] = 0
