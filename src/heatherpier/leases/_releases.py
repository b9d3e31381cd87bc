"""Releases of leases on a primary that is being replaced, here and at peers."""

from heatherpier.fleet import Message, Peer, PeerNetwork, PeerUnreachableError
from heatherpier.leases._grants import GRANT_S, Grants
from heatherpier.leases._in_flight import InFlightWork
from heatherpier.leases._messages import Released, ReleaseRequest
from heatherpier.leases._primary_leases import PrimaryLeases
from heatherpier.leases._records import LeadershipRecord, encode_leadership
from heatherpier.leases._view import LEADER_PREFIX, FleetView
from heatherpier.tables import Row
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# Allowance for network delay, beyond the peer's drain and the expiry of its grants.
RELEASE_MARGIN_S = 0.3


class LeaseReleases:
    """Releases this proxy's leases on old primaries, and asks peers to release theirs.

    Args:
        network: Requests and answers between proxies.
        view: Members and leaders.
        leases: Leases of this proxy.
        grants: Grants that this proxy has received and given.
        in_flight: In-flight work on primaries.
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
        # Version up to which leadership rows are superseded, by service.
        self._superseded: dict[str, int] = {}
        network.handle(ReleaseRequest, self._on_release)

    def refuse_up_to(self, service: str, version: int) -> None:
        """Confirms no release for a leadership row up to ``version`` any more."""
        known = self._superseded.get(service, -1)
        self._superseded[service] = max(known, version)

    async def release_here(self, service: str, *, drain_s: float) -> None:
        """Ends this proxy's use of a primary that is being replaced.

        It returns only after the grants given to peers have expired, since peers may
        rely on them to use the old primary until then.

        Args:
            service: Name of the service.
            drain_s: Time in seconds for in-flight work to end before it is aborted.
        """
        aborted = await self._in_flight.drain(service, limit_s=drain_s)
        if aborted:
            log.info("work on the old primary aborted", service=service, count=aborted)
        self._leases.release(service)
        await self._timers.sleep(self._grants.given_remaining_s())

    async def release_at(
        self, peer: Peer, service: str, record: LeadershipRecord, *, drain_s: float
    ) -> bool:
        """Asks a peer to release its lease on a primary; returns whether it has.

        It then uses the primary no more, and its grants have expired. Without an answer
        that is not known: a refused connection does not show that the process has ended,
        as a partition may refuse connections too.

        Args:
            peer: The peer.
            service: Name of the service.
            record: The leadership row that announces the change.
            drain_s: Time in seconds for the peer's in-flight work to end.
        """
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
            log.info(
                "peer did not release",
                service=service,
                peer=peer.name,
                reason=str(exc),
            )
            return False
        if not isinstance(answer, Released):
            return False
        self._view.history.extend_from_peer(answer.past)
        return True

    async def _on_release(self, sender: str, req: ReleaseRequest) -> Message | None:
        self._view.copy.apply_row(
            Row(key=LEADER_PREFIX + req.service, version=req.version, body=req.body)
        )
        record = self._view.leaders.get(req.service)
        superseded = self._superseded.get(req.service, -1)
        if record is None or record.version != req.version or req.version <= superseded:
            # The row can't be decoded here, or this proxy knows a newer one, under
            # which it may hold a lease. Neither may be confirmed as a release.
            log.info(
                "release refused",
                service=req.service,
                peer=sender,
                version=req.version,
                known=self._view.leadership_version(req.service),
            )
            return None
        await self.release_here(req.service, drain_s=req.drain_s)
        return Released(past=self._view.history.to_message())
