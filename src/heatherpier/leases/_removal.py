"""Removal of unresponsive members, which leaves enough voters to fence a primary."""

import asyncio

from heatherpier.fleet import Peer
from heatherpier.leases._grants import GRANTS_END_S, release_quorum
from heatherpier.leases._peers import PeerLinks
from heatherpier.leases._view import (
    FLEET_TABLE,
    MAX_VOTERS,
    MEMBER_PREFIX,
    FleetView,
)
from heatherpier.tables import RowStore, StoreError
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")


class MemberRemoval:
    """Removes members, unless the rest could not fence a primary against them.

    Members that are removed while they are cut off may grant leases to each other, for as
    long as grants may rest on a view from before the removal. A change of primary waits
    for the releases of the remaining members only. So these have to be at least half of
    each voter set on which such grants may rest: then the removed ones are too few for a
    grant quorum.

    Args:
        links: The other proxies.
        store: The store.
        view: Members and leaders.
        timers: Timer service.
    """

    def __init__(
        self, *, links: PeerLinks, store: RowStore, view: FleetView, timers: Timers
    ) -> None:
        self._links = links
        self._store = store
        self._view = view
        self._timers = timers

    async def remove(self, name: str) -> None:
        """Removes a member if enough voters answer; the reason is logged if not."""
        record = self._view.members.get(name)
        if record is None:
            return
        answering = await self._answering(without=name)
        members = self._view.members
        # One that was removed meanwhile does not count any more.
        answering &= members.keys()
        if not self._leave_enough(answering):
            log.info(
                "member not removed",
                member=name,
                reason="too few voters answer",
                answering=sorted(answering),
            )
            return
        try:
            # The store checks that those that answered are still members. Otherwise two
            # proxies could each remove a member that the other one counts on.
            await self._store.delete(
                FLEET_TABLE,
                MEMBER_PREFIX + name,
                expected=record.version,
                unchanged={
                    MEMBER_PREFIX + item: members[item].version for item in answering
                },
            )
        except StoreError as exc:
            log.info("member not removed", member=name, reason=str(exc))

    def _voter_sets(self) -> list[frozenset[str]] | None:
        """Returns the voter sets on which grants may rest, or None if unknown."""
        since = self._timers.elapsed() - GRANTS_END_S
        return self._view.history.voter_sets_since(since)

    async def _answering(self, *, without: str) -> set[str]:
        """Returns the members of these sets that answer, this proxy included."""
        names = self._view.voters().union(*(self._voter_sets() or ()))
        peers = [
            peer
            for peer in self._links.others()
            if peer.name in names and peer.name != without
        ]
        answers = await asyncio.gather(*(self._links.answers(peer) for peer in peers))
        return {self._links.me} | _named(peers, answers)

    def _leave_enough(self, answering: set[str]) -> bool:
        voters = self._view.voters()
        if len(answering & voters) < release_quorum(len(voters)):
            return False
        voter_sets = self._voter_sets()
        if voter_sets is None:
            # Any set may have been current, but none has more members than this.
            return len(answering & voters) >= release_quorum(MAX_VOTERS)
        return all(
            len(answering & names) >= release_quorum(len(names)) for names in voter_sets
        )


def _named(peers: list[Peer], answers: list[bool]) -> set[str]:
    return {
        peer.name for peer, answered in zip(peers, answers, strict=True) if answered
    }
