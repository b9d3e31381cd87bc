"""The other proxies, and which of them answer."""

import asyncio

from heatherpier.fleet import Message, Peer, PeerNetwork, PeerUnreachableError
from heatherpier.leases._grants import release_quorum
from heatherpier.leases._messages import Ping, Pong
from heatherpier.leases._view import FleetView

# Covers several network round trips between regions and a pause of a busy peer.
REQUEST_TIMEOUT_S = 0.4


class PeerLinks:
    """Lists the other proxies and checks which of them answer.

    Args:
        me: Name of this proxy.
        network: Requests and answers between proxies.
        view: Members and leaders.

    Attributes:
        me: Name of this proxy.
    """

    def __init__(self, me: str, *, network: PeerNetwork, view: FleetView) -> None:
        self.me = me
        self._network = network
        self._view = view
        network.handle(Ping, self._on_ping)

    def others(self) -> list[Peer]:
        """Returns all registered proxies other than this one."""
        return [peer for peer in self._view.peers() if peer.name != self.me]

    def other_voters(self) -> list[Peer]:
        """Returns the voters other than this proxy."""
        names = self._view.voters()
        return [peer for peer in self.others() if peer.name in names]

    async def reaches_half(self) -> bool:
        """Returns whether at least half of the voters answer, this proxy included.

        If not, this proxy may be cut off.
        """
        voters = self._view.voters()
        missing = release_quorum(len(voters)) - int(self.me in voters)
        asking = {
            asyncio.create_task(self.answers(peer)) for peer in self.other_voters()
        }
        try:
            while asking and missing > 0:
                done, asking = await asyncio.wait(
                    asking, return_when=asyncio.FIRST_COMPLETED
                )
                missing -= sum(task.result() for task in done)
        finally:
            for task in asking:
                task.cancel()
        return missing <= 0

    async def answers(self, peer: Peer) -> bool:
        """Returns whether a peer answers."""
        try:
            await self._network.request(peer, Ping(), timeout_s=REQUEST_TIMEOUT_S)
        except PeerUnreachableError:
            # An unreachable peer is a result, not a failure of this check.
            return False
        return True

    async def _on_ping(self, sender: str, req: Ping) -> Message | None:
        return Pong()
