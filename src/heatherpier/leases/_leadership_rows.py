"""Writes leadership rows and finds out whether unanswered writes took effect."""

from heatherpier.fleet import Message, PeerNetwork, PeerUnreachableError
from heatherpier.leases._messages import WriteAnswer, WriteRequest
from heatherpier.leases._peers import PeerLinks
from heatherpier.leases._records import (
    Leadership,
    LeadershipRecord,
    encode_leadership,
)
from heatherpier.leases._view import FLEET_TABLE, LEADER_PREFIX, FleetView
from heatherpier.tables import (
    ChangeConflictError,
    Row,
    RowStore,
    StoreError,
    StoreUnavailableError,
)
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# Longest wait for an unanswered write to show in the view.
READ_BACK_TIMEOUT_S = 1.5
# Peers that are asked one after the other to write a row, and the time for each.
MAX_WRITING_PEERS = 3
PEER_WRITE_TIMEOUT_S = 0.3
POLL_PERIOD_S = 0.03
# Time for the rows from before a written one; without them a change waits for the watch.
CATCH_UP_TIMEOUT_S = 0.3


class ChangeFailedError(Exception):
    """A change of primary was not completed; another coordinator can take it over."""


class LeadershipRows:
    """Writes leadership rows for the coordinator of a change.

    If the store does not answer this proxy, the other voters are asked to write the row.
    Only one write of the same expected version can take effect, whoever makes it.

    Args:
        store: The store.
        network: Requests and answers between proxies.
        links: The other proxies.
        view: Members and leaders.
        timers: Timer service.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        network: PeerNetwork,
        links: PeerLinks,
        view: FleetView,
        timers: Timers,
    ) -> None:
        self._store = store
        self._network = network
        self._links = links
        self._view = view
        self._timers = timers
        network.handle(WriteRequest, self._on_write)

    async def write(
        self, service: str, state: Leadership, *, expected: int
    ) -> LeadershipRecord:
        """Writes the leadership row of a service.

        Raises:
            ChangeConflictError: The row does not have the expected version, or the
                store was restored before the write.
            ChangeFailedError: The store rejected the write, or its outcome is unknown
                and could not be read back.
        """
        key = LEADER_PREFIX + service
        body = encode_leadership(state)
        try:
            version = await self._store.put(FLEET_TABLE, key, body, expected=expected)
        except StoreUnavailableError as exc:
            log.info(
                "leadership write failed, outcome unknown",
                service=service,
                reason=str(exc),
            )
            version = await self._write_by_peers(service, body, expected=expected)
            if not version:
                return await self._read_back(service, state, expected=expected)
        except ChangeConflictError:
            raise
        except StoreError as exc:
            raise ChangeFailedError(str(exc)) from exc
        record = LeadershipRecord(state=state, version=version)
        if not record.counts:
            raise ChangeConflictError(
                f"{key}: the store was restored before the write, version {version}"
            )
        self._view.copy.apply_row(Row(key=key, version=version, body=body))
        await self._catch_up()
        return record

    async def _catch_up(self) -> None:
        """Reads the rows from before a written one that the view lacks.

        The view's own watch may pause before it asks for them.
        """
        copy = self._view.copy
        try:
            async with self._timers.timeout(CATCH_UP_TIMEOUT_S):
                copy.apply(
                    await self._store.watch(copy.table, after=copy.version, wait_s=0.0)
                )
        except (StoreError, TimeoutError) as exc:
            # The watch brings them, or reads the whole table.
            log.info(
                "view of the fleet not completed",
                version=copy.version,
                reason=f"{type(exc).__name__}: {exc}",
            )

    async def _write_by_peers(self, service: str, body: bytes, *, expected: int) -> int:
        """Has one of the other voters write a row; returns its version, or 0."""
        req = WriteRequest(service=service, body=body, expected=expected)
        for peer in self._links.other_voters()[:MAX_WRITING_PEERS]:
            try:
                answer = await self._network.request(
                    peer, req, timeout_s=PEER_WRITE_TIMEOUT_S
                )
            except PeerUnreachableError as exc:
                log.info(
                    "leadership row not written by a peer",
                    service=service,
                    peer=peer.name,
                    reason=str(exc),
                )
                continue
            if isinstance(answer, WriteAnswer) and answer.version:
                log.info(
                    "leadership row written by a peer",
                    service=service,
                    peer=peer.name,
                    version=answer.version,
                )
                return answer.version
        return 0

    async def _on_write(self, sender: str, req: WriteRequest) -> Message | None:
        key = LEADER_PREFIX + req.service
        try:
            async with self._timers.timeout(PEER_WRITE_TIMEOUT_S):
                version = await self._store.put(
                    FLEET_TABLE, key, req.body, expected=req.expected
                )
        except (StoreError, TimeoutError) as exc:
            log.info(
                "leadership row not written for a peer",
                service=req.service,
                peer=sender,
                reason=f"{type(exc).__name__}: {exc}",
            )
            return WriteAnswer(version=0)
        self._view.copy.apply_row(Row(key=key, version=version, body=req.body))
        return WriteAnswer(version=version)

    async def _read_back(
        self, service: str, state: Leadership, *, expected: int
    ) -> LeadershipRecord:
        """Waits until the view shows whether an unanswered write took effect.

        Raises:
            ChangeConflictError: Another state was written.
            ChangeFailedError: The view shows no new version in time.
        """
        until = self._timers.now() + READ_BACK_TIMEOUT_S
        while self._timers.now() < until:
            record = self._view.leaders.get(service)
            if record is not None and record.version > expected:
                if record.state == state:
                    return record
                raise ChangeConflictError(
                    f"leadership of {service} has changed: {record.state}"
                )
            await self._timers.sleep(POLL_PERIOD_S)
        raise ChangeFailedError(
            f"outcome of the leadership write for {service} is unknown"
        )
