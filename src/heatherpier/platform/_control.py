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

PRIMARY_ROLE = "primary"
# Pause before a control statement is repeated that the instance did not run, because
# it has no free slot for a moment.
NOT_RUN_PAUSE_S = 0.02


class LineControl:
    """Implements `InstanceControl` by the line protocol.

    Each control statement uses a connection of its own, because those of the pools may
    all be in use or unresponsive.

    Args:
        connector: Opens connections to instances.
        timers: Timer service.
    """

    def __init__(self, *, connector: InstanceConnector, timers: Timers) -> None:
        self._connector = connector
        self._timers = timers

    async def replication_status(
        self, record: InstanceRecord, *, timeout_s: float
    ) -> ReplicationStatus:
        """Returns the replication status that an instance reports."""
        return await self._call_instance(record, FetchStatus(), timeout_s)

    async def demote(
        self, record: InstanceRecord, *, term: int, timeout_s: float
    ) -> ReplicationStatus:
        """Makes the instance a replica if it is a primary of a term below ``term``."""
        return await self._call_instance(record, Demote(term=term), timeout_s)

    async def _call_instance(
        self, record: InstanceRecord, call: Call, timeout_s: float
    ) -> ReplicationStatus:
        try:
            async with self._timers.timeout(timeout_s):
                link = await self._connector.connect(
                    record.instance, service=record.service
                )
                try:
                    return await self._repeat_until_run(record.name, link, call)
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

    async def _repeat_until_run(
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
                    raise ControlError(
                        f"{name}: expected a row with a status, got none"
                    )
            await self._timers.sleep(NOT_RUN_PAUSE_S)


def parse_replication_status(row: str) -> ReplicationStatus:
    """Parses the row with which an instance reports its replication status.

    Its fields are the role, the term, the last position received, the term that holds
    its reception or 0, the lag in ms, the number of busy slots and the number of
    connections. Only the first three are used.

    Raises:
        MalformedLineError: The row does not begin with role, term and position.
    """
    fields = row.split(" ")
    if len(fields) < 3 or not fields[1].isdecimal():
        raise MalformedLineError(f"expected role, term and position, got {row!r:.60}")
    position = parse_position(fields[2])
    if position is None:
        raise MalformedLineError(f"expected a position, got {row!r:.60}")
    return ReplicationStatus(
        leads=fields[0] == PRIMARY_ROLE, term=int(fields[1]), position=position
    )
