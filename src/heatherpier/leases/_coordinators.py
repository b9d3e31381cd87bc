"""Which changes of primary their holders are at work on."""

from heatherpier.fleet import Message, PeerNetwork, PeerUnreachableError
from heatherpier.leases._messages import ChangeAnswer, ChangeRequest
from heatherpier.leases._peers import REQUEST_TIMEOUT_S
from heatherpier.leases._view import FleetView
from heatherpier.telemetry import get_logger

log = get_logger("leases")


class ChangeCoordinators:
    """Asks holders of changes, and answers as one.

    Args:
        me: Name of this proxy.
        network: Requests and answers between proxies.
        view: Members and leaders.

    Attributes:
        changing: Services whose change of primary this proxy is at work on.
    """

    def __init__(self, me: str, *, network: PeerNetwork, view: FleetView) -> None:
        self.changing: set[str] = set()
        self._me = me
        self._network = network
        self._view = view
        network.handle(ChangeRequest, self._on_change)

    async def has_given_up(self, coordinator: str, service: str) -> bool:
        """Tells whether a holder is surely no longer at work on its change."""
        if coordinator == self._me:
            return service not in self.changing
        record = self._view.members.get(coordinator)
        if record is None:
            return True
        try:
            answer = await self._network.request(
                record.peer, ChangeRequest(service=service), timeout_s=REQUEST_TIMEOUT_S
            )
        except PeerUnreachableError as exc:
            # A process that has ended can't answer, but its VM does.
            ended = await self._network.refuses(
                record.peer, timeout_s=REQUEST_TIMEOUT_S
            )
            log.info(
                "holder does not answer",
                service=service,
                holder=coordinator,
                ended=ended,
                reason=str(exc),
            )
            return ended
        return isinstance(answer, ChangeAnswer) and not answer.at_work

    async def _on_change(self, sender: str, req: ChangeRequest) -> Message | None:
        return ChangeAnswer(at_work=req.service in self.changing)
