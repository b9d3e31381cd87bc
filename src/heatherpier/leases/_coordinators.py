"""Asks coordinators whether they still carry out their changes of primary."""

from heatherpier.fleet import Message, PeerNetwork, PeerUnreachableError
from heatherpier.leases._messages import ChangeAnswer, ChangeRequest
from heatherpier.leases._peers import REQUEST_TIMEOUT_S
from heatherpier.leases._view import FleetView
from heatherpier.telemetry import get_logger

log = get_logger("leases")


class ChangeCoordinators:
    """Asks coordinators about their changes, and answers about those of this proxy.

    Args:
        me: Name of this proxy.
        network: Requests and answers between proxies.
        view: Members and leaders.

    Attributes:
        changing: Services whose change of primary this proxy is carrying out.
    """

    def __init__(self, me: str, *, network: PeerNetwork, view: FleetView) -> None:
        self.changing: set[str] = set()
        self._me = me
        self._network = network
        self._view = view
        network.handle(ChangeRequest, self._on_change)

    async def has_abandoned(self, coordinator: str, service: str) -> bool:
        """Returns whether a coordinator is known to have ended or abandoned a change.

        False also stands for "not known": the coordinator may be cut off and still
        be carrying it out. A removed member counts as ended. If it is only cut off,
        the wait in each takeover covers it (`COORDINATOR_MAX_STALENESS_S`).

        Args:
            coordinator: Name of the proxy in the leadership row.
            service: Service whose primary is being changed.
        """
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
            # If the process has ended, its VM still refuses the connection.
            ended = await self._network.refuses(
                record.peer, timeout_s=REQUEST_TIMEOUT_S
            )
            log.info(
                "coordinator of a change does not answer",
                service=service,
                holder=coordinator,
                ended=ended,
                reason=str(exc),
            )
            return ended
        return isinstance(answer, ChangeAnswer) and not answer.at_work

    async def _on_change(self, sender: str, req: ChangeRequest) -> Message | None:
        return ChangeAnswer(at_work=req.service in self.changing)
