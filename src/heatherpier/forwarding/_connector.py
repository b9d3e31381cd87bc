"""Pools whose connections lead to instances by way of their homes."""

import asyncio
import itertools
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from heatherpier.discovery import InstanceRecord
from heatherpier.fleet import PeerNetwork, PeerUnreachableError
from heatherpier.forwarding._homes import HomeDirectory
from heatherpier.forwarding._link import LinkContext, RemoteConnection, RemoteLink
from heatherpier.forwarding._loads import HomeLoads
from heatherpier.forwarding._messages import ForwardAnswer, ForwardEnd
from heatherpier.forwarding._metrics import ForwardingMetrics
from heatherpier.forwarding._monitor import HomeMonitor
from heatherpier.leases import MemberRecord
from heatherpier.pooling import ConnectionUse, InstanceConnection
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("forwarding")
# Homes that a request is sent to at most before it is refused. More would multiply the
# load when all homes are overloaded.
MAX_HOMES_TRIED = 2
# A home answers the end of a link at once, without content.
END_TIMEOUT_S = 1.0


class NoteLoad(Protocol):
    """Records the load of an instance that a home reports."""

    def __call__(
        self,
        instance: str,
        *,
        waiting: int,
        in_use: int,
        sent_at: float,
        now: float,
        homes: int,
    ) -> None:
        """Records the report.

        Args:
            instance: Name of the instance.
            waiting: Statements that wait for a connection at the home.
            in_use: Connections of the home in use.
            sent_at: Monotonic time in seconds that the report describes.
            now: Monotonic time in seconds of its arrival.
            homes: Number of homes among which the statements are divided.
        """


class RemoteConnector:
    """Opens links to instances by way of their homes.

    Args:
        network: Messages to other proxies.
        incarnation: Incarnation of this process.
        directory: The homes of each instance.
        monitor: Which homes answer.
        loads: Load of the homes.
        primary_version: Returns the version of the leadership row under which this
            proxy may use an instance as its service's primary, or None if it may not.
        note_load: Records the load of an instance that an answer reports.
        fair: Returns whether waiters are in fair order at the homes.
        metrics: Metrics of forwarding.
        timers: Timer service.
    """

    def __init__(
        self,
        *,
        network: PeerNetwork,
        incarnation: int,
        directory: HomeDirectory,
        monitor: HomeMonitor,
        loads: HomeLoads,
        primary_version: Callable[[InstanceRecord], int | None],
        note_load: NoteLoad,
        fair: Callable[[], bool],
        metrics: ForwardingMetrics,
        timers: Timers,
    ) -> None:
        self.fair = fair
        self._report_load = note_load
        self._network = network
        self._directory = directory
        self._loads = loads
        self._timers = timers
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._direct_logged: set[str] = set()
        self._context = LinkContext(
            network=network,
            incarnation=incarnation,
            monitor=monitor,
            loads=loads,
            primary_version=primary_version,
            note_load=self._note_load,
            end_later=self._end_later,
            metrics=metrics,
            timers=timers,
        )

    def pool(self, record: InstanceRecord, organisation: str) -> "RemotePool | None":
        """Returns the pool for statements of an organisation to an instance.

        Returns:
            None if this proxy is to use its own pool, because forwarding is not active,
            it is a home, or it reaches no home.
        """
        homes = self._directory.ranked(record, organisation)
        if homes is None:
            return None
        self._log_path(record.name, direct=not homes)
        if not homes:
            return None
        return RemotePool(record, homes=homes[:MAX_HOMES_TRIED], connector=self)

    def _log_path(self, instance: str, *, direct: bool) -> None:
        if direct == (instance in self._direct_logged):
            return
        self._direct_logged ^= {instance}
        log.info(
            "no home is reachable, statements go to the instance directly"
            if direct
            else "statements are forwarded to homes again",
            instance=instance,
        )

    def connect(
        self,
        record: InstanceRecord,
        *,
        homes: Sequence[MemberRecord],
        organisation: str,
        priority: int,
        queue_until: float,
        use: ConnectionUse | None,
    ) -> RemoteConnection:
        """Returns a new connection. It exists at this proxy only until it is used."""
        link = RemoteLink(
            next(self._numbers),
            record,
            homes=homes,
            organisation=organisation,
            priority=priority,
            queue_until=queue_until,
            use=use,
            context=self._context,
        )
        return RemoteConnection(
            link,
            instance=record.name,
            monitor=self._context.monitor,
            timers=self._timers,
            organisation=organisation,
        )

    def expected_wait_s(self, record: InstanceRecord, home: MemberRecord) -> float:
        """Returns how long a statement is expected to wait at a home, in seconds."""
        return self._loads.expected_wait_s(home.peer.name, record.name)

    def close(self) -> None:
        """Stops telling homes about ended links."""
        for task in self._tasks:
            task.cancel()

    def _note_load(
        self, record: InstanceRecord, answer: ForwardAnswer, sent_at: float
    ) -> None:
        self._report_load(
            record.name,
            waiting=answer.waiting,
            in_use=answer.in_use,
            sent_at=sent_at,
            now=self._timers.now(),
            homes=len(self._directory.homes(record)),
        )

    def _end_later(self, home: MemberRecord, end: ForwardEnd) -> None:
        task = asyncio.create_task(self._end(home, end))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _end(self, home: MemberRecord, end: ForwardEnd) -> None:
        try:
            await self._network.request(home.peer, end, timeout_s=END_TIMEOUT_S)
        except PeerUnreachableError:
            # There is no answer to it. If it was lost, the home ends the transaction
            # at its idle limit.
            return


@dataclass(frozen=True, slots=True)
class RemotePool:
    """Implements `Pool` by links to homes.

    A link costs nothing until it is used, so none are kept, warmed or checked.

    Args:
        record: The instance.
        homes: Homes to use, best first.
        connector: Opens links.
    """

    record: InstanceRecord
    homes: Sequence[MemberRecord]
    connector: RemoteConnector

    @property
    def fair(self) -> bool:
        """Whether waiters are in fair order at the homes."""
        return self.connector.fair()

    @property
    def may_abandon(self) -> bool:
        """Whether an exchange may end early: the home keeps its connection."""
        return True

    @property
    def open_connections(self) -> int:
        """Number of homes that can be asked at once."""
        return len(self.homes)

    def expected_wait_s(self) -> float:
        """Returns how long a new statement would wait at the first home, in seconds."""
        return self.connector.expected_wait_s(self.record, self.homes[0])

    async def acquire(
        self,
        values: Mapping[str, str],
        *,
        priority: int,
        deadline: float,
        organisation: str = "",
        use: ConnectionUse | None = None,
    ) -> InstanceConnection:
        """Returns a new connection at once; requests wait at the home instead."""
        return self.connector.connect(
            self.record,
            homes=self.homes,
            organisation=organisation,
            priority=priority,
            queue_until=deadline,
            use=use,
        )

    def release(self, conn: InstanceConnection, *, held_s: float) -> None:
        """Closes a connection; a transaction that is open on it is rolled back."""
        conn.abort()

    def roll_back_and_release(self, conn: InstanceConnection, *, held_s: float) -> None:
        """Closes a connection; the home rolls back its transaction."""
        conn.abort()
