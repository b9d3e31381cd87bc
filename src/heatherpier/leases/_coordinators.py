"""Asks coordinators whether they still carry out their changes of primary."""

import enum

from heatherpier.fleet import Message, PeerNetwork, PeerUnreachableError
from heatherpier.leases._messages import ChangeAnswer, ChangeRequest
from heatherpier.leases._peers import REQUEST_TIMEOUT_S
from heatherpier.leases._view import FleetView
from heatherpier.telemetry import get_logger

log = get_logger("leases")


class CoordinatorState(enum.Enum):
    """What is known of the coordinator of a change."""

    # It carries out the change, or that is not known: it may be cut off.
    POSSIBLY_ACTIVE = enum.auto()
    # It was removed from the fleet, or its address refuses connections. If it is only cut
    # off, it may still be active until its view is too old
    # (`COORDINATOR_MAX_STALENESS_S`).
    LOST = enum.auto()
    # It says that it does not carry out the change.
    STOPPED = enum.auto()


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

    async def state(self, coordinator: str, service: str) -> CoordinatorState:
        """Returns what is known of the coordinator of a change.

        Args:
            coordinator: Name of the proxy in the leadership row.
            service: Service whose primary is being changed.
        """
        if coordinator == self._me:
            stopped = service not in self.changing
            return _state(stopped=stopped)
        record = self._view.members.get(coordinator)
        if record is None:
            return CoordinatorState.LOST
        try:
            answer = await self._network.request(
                record.peer, ChangeRequest(service=service), timeout_s=REQUEST_TIMEOUT_S
            )
        except PeerUnreachableError as exc:
            # The VM of a process that has ended refuses connections, but so may a
            # partition.
            refused = await self._network.refuses(
                record.peer, timeout_s=REQUEST_TIMEOUT_S
            )
            log.info(
                "coordinator of a change does not answer",
                service=service,
                holder=coordinator,
                refused=refused,
                reason=str(exc),
            )
            return (
                CoordinatorState.LOST if refused else CoordinatorState.POSSIBLY_ACTIVE
            )
        stopped = isinstance(answer, ChangeAnswer) and not answer.at_work
        return _state(stopped=stopped)

    async def _on_change(self, sender: str, req: ChangeRequest) -> Message | None:
        return ChangeAnswer(at_work=req.service in self.changing)


def _state(*, stopped: bool) -> CoordinatorState:
    if stopped:
        return CoordinatorState.STOPPED
    return CoordinatorState.POSSIBLY_ACTIVE
