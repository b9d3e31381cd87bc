"""Control statements to instances by the line protocol."""

from heatherpier.discovery import InstanceRecord
from heatherpier.leases import ControlError, InstanceFullError, ReplicationStatus
from heatherpier.platform._errors import MalformedLineError
from heatherpier.platform._line import parse_position
from heatherpier.pooling import (
    Call,
    Demote,
    FetchStatus,
    InstanceConnector,
    InstanceLink,
)
from heatherpier.statements import Done, Failed
from heatherpier.timers import Timers
from heatherpier.upstreams import TooManyConnectionsError, UpstreamError

PRIMARY_WORD = "primary"
# An instance without a free slot turns control statements away for a moment.
BUSY_PAUSE_S = 0.02


class LineControl:
    """Implements `InstanceControl`, each statement on a connection of its own.

    The pools may be full of work, or of connections that have gone silent.

    Args:
        connector: Opens connections.
        timers: Timer service.
    """

    def __init__(self, *, connector: InstanceConnector, timers: Timers) -> None:
        self._connector = connector
        self._timers = timers

    async def replication_status(
        self, record: InstanceRecord, *, timeout_s: float
    ) -> ReplicationStatus:
        """Asks an instance for its replication status."""
        return await self._ask(record, FetchStatus(), timeout_s)

    async def demote(
        self, record: InstanceRecord, *, term: int, timeout_s: float
    ) -> ReplicationStatus:
        """Makes a primary of a term below ``term`` a replica."""
        return await self._ask(record, Demote(term=term), timeout_s)

    async def _ask(
        self, record: InstanceRecord, call: Call, timeout_s: float
    ) -> ReplicationStatus:
        try:
            async with self._timers.timeout(timeout_s):
                link = await self._connector.connect(
                    record.instance, service=record.service
                )
                try:
                    return await self._exchange(record.name, link, call)
                finally:
                    link.abort()
        except TimeoutError as exc:
            raise ControlError(
                f"{record.name}: no answer within {timeout_s:.1f} s"
            ) from exc
        except TooManyConnectionsError as exc:
            raise InstanceFullError(str(exc)) from exc
        except (UpstreamError, MalformedLineError) as exc:
            raise ControlError(str(exc)) from exc

    async def _exchange(
        self, name: str, link: InstanceLink, call: Call
    ) -> ReplicationStatus:
        while True:
            [reply] = await link.exchange([call])
            match reply.outcome:
                case Done(rows=[row, *_]):
                    return parse_replication_status(row)
                case Failed(reason=reason) as failure if not failure.not_run:
                    raise ControlError(f"{name}: {reason}")
                case Done():
                    raise ControlError(f"{name}: no row")
            await self._timers.sleep(BUSY_PAUSE_S)


def parse_replication_status(row: str) -> ReplicationStatus:
    """Reads the row that tells an instance's replication status.

    Its fields are role, term, position received, the term that holds its reception
    or 0, lag in ms, busy slots, connections.

    Raises:
        MalformedLineError: It has another form.
    """
    fields = row.split(" ")
    if len(fields) < 3 or not fields[1].isdecimal():
        raise MalformedLineError(f"expected a status, got {row!r:.60}")
    position = parse_position(fields[2])
    if position is None:
        raise MalformedLineError(f"expected a position, got {row!r:.60}")
    return ReplicationStatus(
        leads=fields[0] == PRIMARY_WORD, term=int(fields[1]), position=position
    )
