"""How proxies end the use of a primary that is being replaced."""

import enum

from heatherpier.fleet import Message, Peer, PeerNetwork, PeerUnreachableError
from heatherpier.leases._grants import GRANT_S, Grants
from heatherpier.leases._in_flight import InFlightWork
from heatherpier.leases._messages import Released, ReleaseRequest
from heatherpier.leases._peers import REQUEST_TIMEOUT_S
from heatherpier.leases._primary_leases import PrimaryLeases
from heatherpier.leases._records import LeadershipRecord, encode_leadership
from heatherpier.leases._view import LEADER_PREFIX, FleetView
from heatherpier.tables import Row
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# Time beyond the drain for the answer's way.
RELEASE_MARGIN_S = 0.3


class ReleaseResult(enum.Enum):
    """What a peer may still do with a primary that it was asked to release."""

    RELEASED = enum.auto()
    # The process has ended. It uses nothing, but its next incarnation may support others
    # that have not heard of the change.
    ENDED = enum.auto()
    UNKNOWN = enum.auto()


class LeaseReleases:
    """Releases primaries here, and has peers release them.

    Args:
        network: Requests and answers between proxies.
        view: Members and leaders.
        leases: Leases to use primaries.
        grants: Promises between proxies.
        in_flight: Work under way on primaries.
        timers: Timer service.
    """

    def __init__(
        self,
        *,
        network: PeerNetwork,
        view: FleetView,
        leases: PrimaryLeases,
        grants: Grants,
        in_flight: InFlightWork,
        timers: Timers,
    ) -> None:
        self._network = network
        self._view = view
        self._leases = leases
        self._grants = grants
        self._in_flight = in_flight
        self._timers = timers
        network.handle(ReleaseRequest, self._on_release)

    async def release_here(self, service: str, *, drain_s: float) -> None:
        """Ends this proxy's own use of a primary that is being replaced.

        Promises that were given to peers are kept first.
        """
        aborted = await self._in_flight.drain(service, limit_s=drain_s)
        if aborted:
            log.info("work on the old primary aborted", service=service, count=aborted)
        self._leases.release(service)
        await self._timers.sleep(self._grants.given_for())

    async def release_at(
        self, peer: Peer, service: str, record: LeadershipRecord, *, drain_s: float
    ) -> ReleaseResult:
        """Asks a peer to end its use of a primary, and tells what is left of it."""
        req = ReleaseRequest(
            service=service,
            version=record.version,
            body=encode_leadership(record.state),
            drain_s=drain_s,
        )
        try:
            answer = await self._network.request(
                peer, req, timeout_s=drain_s + GRANT_S + RELEASE_MARGIN_S
            )
        except PeerUnreachableError as exc:
            ended = await self._network.refuses(peer, timeout_s=REQUEST_TIMEOUT_S)
            log.info(
                "peer did not release",
                service=service,
                peer=peer.name,
                ended=ended,
                reason=str(exc),
            )
            return ReleaseResult.ENDED if ended else ReleaseResult.UNKNOWN
        if not isinstance(answer, Released):
            return ReleaseResult.UNKNOWN
        self._view.history.learn(answer.past)
        return ReleaseResult.RELEASED

    async def _on_release(self, sender: str, req: ReleaseRequest) -> Message | None:
        self._view.copy.take_row(
            Row(key=LEADER_PREFIX + req.service, version=req.version, body=req.body)
        )
        record = self._view.leaders.get(req.service)
        if record is None or record.version < req.version:
            # The row can't be read here, so nothing is promised.
            return None
        await self.release_here(req.service, drain_s=req.drain_s)
        return Released(past=self._view.history.describe())
