"""Simulates a database group in memory, with its replication and its faults.

There is no wire protocol here; `_simulated_link` runs calls on the instances.
"""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from heatherpier.discovery import InstanceRecord
from heatherpier.leases import ControlError, NotRunningError, ReplicationStatus
from heatherpier.positions import LogPosition
from heatherpier.timers import Timers
from heatherpier.upstreams import Instance

EXECUTION_S = 0.006
PROMOTION_S = 0.3
HANDSHAKE_S = 0.012
# Period at which an old primary checks whether it can reach the new one.
OLD_PRIMARY_POLL_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ExecutedStatement:
    """A statement that an instance ran, and the state of its connection.

    Attributes:
        id: Id that the caller gave the statement.
        text: Text of the statement.
        values: Session values that were set on the connection.
        in_transaction: Whether the statement ran inside a transaction.
        connection: Number of the connection.
        at: Time of the start, in seconds by `Timers.now`.
        organisation: Organisation that the connection was opened for, or empty.
    """

    id: str
    text: str
    values: dict[str, str]
    in_transaction: bool
    connection: int
    at: float
    organisation: str = ""


@dataclass(slots=True, eq=False)
class SimulatedInstance:
    """State of one simulated instance, with switches for its faults.

    Attributes:
        record: Name, address and service of the instance.
        leads: Whether the instance is a primary.
        term: Term that the instance is in.
        log: Received positions, each with the time at which it becomes visible to
            reads on this instance, in seconds by `Timers.now`.
        lag_s: Delay in seconds with which a replica applies commits.
        running: Whether the process runs and listens.
        unresponsive: Whether no proxy gets an answer.
        cut_from: Names of proxies that get no answer.
        full: Whether new connections are rejected because there are too many.
        busy: Number of next statements that are rejected because no slot is free.
        lose_answers: Number of next statements that run but whose answers are lost.
        executed: Statements that the instance ran, in order.
        connections: Number of connections opened so far.
        open_connections: Number of connections that are open.
        accepts: Number of connections that may be open, or None if any number may.
        rejected: Number of connections that were rejected as too many.
    """

    record: InstanceRecord
    leads: bool = False
    term: int = 1
    log: list[tuple[LogPosition, float]] = field(default_factory=list)
    lag_s: float = 0.01
    running: bool = True
    unresponsive: bool = False
    cut_from: set[str] = field(default_factory=set)
    full: bool = False
    busy: int = 0
    lose_answers: int = 0
    executed: list[ExecutedStatement] = field(default_factory=list)
    connections: int = 0
    open_connections: int = 0
    accepts: int | None = None
    rejected: int = 0

    def may_connect(self) -> bool:
        """Returns whether one more connection may be opened."""
        room = self.accepts is None or self.open_connections < self.accepts
        return room and not self.full

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.record.name

    def is_unresponsive_to(self, proxy: str) -> bool:
        """Returns whether the proxy gets no answers from this instance."""
        return self.unresponsive or proxy in self.cut_from

    def received(self) -> LogPosition:
        """Returns the last position that the instance has received."""
        return self.log[-1][0] if self.log else LogPosition(self.term, 0)

    def applied(self, now: float) -> LogPosition:
        """Returns the last position that reads on this instance see at ``now``."""
        if self.leads:
            return self.received()
        visible = [position for position, at in self.log if at <= now]
        return visible[-1] if visible else LogPosition(self.term, 0)


class SimulatedGroup:
    """Simulates the instances of one service, and promotions by the platform.

    Args:
        service: Name of the service.
        zones: Data centre of each instance; the first instance is the primary.
        timers: Timer service.

    Attributes:
        instances: Instances by name.
        promotions: Instance and token of each requested promotion, in order.
        committed_at: Time of each commit in seconds by `Timers.now`, by position.
        term_started_at: Time at which each term started in seconds by `Timers.now`,
            by term; without the first term.
        promote_s: Time in seconds from the request of a promotion until it takes
            effect.
    """

    def __init__(self, service: str, *, zones: list[str], timers: Timers) -> None:
        self.service = service
        self.timers = timers
        self.promote_s = PROMOTION_S
        self.promotions: list[tuple[str, int]] = []
        self.committed_at: dict[LogPosition, float] = {}
        self.term_started_at: dict[int, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.instances: dict[str, SimulatedInstance] = {}
        for number, zone in enumerate(zones):
            name = f"{service}-{number}"
            self.instances[name] = SimulatedInstance(
                InstanceRecord(
                    instance=Instance(
                        name=name,
                        host=f"10.0.0.{number + 1}",
                        port=5000,
                        data_centre=zone,
                    ),
                    service=service,
                    claims_primary=number == 0,
                ),
                leads=number == 0,
            )

    def primary(self) -> SimulatedInstance:
        """Returns the primary of the highest term; there has to be one."""
        primaries = [item for item in self.instances.values() if item.leads]
        return max(primaries, key=lambda item: item.term)

    def append(self, instance: SimulatedInstance) -> LogPosition:
        """Commits on a primary and replicates the entry to the replicas of its term."""
        position = LogPosition(instance.term, instance.received().index + 1)
        now = self.timers.now()
        instance.log.append((position, now))
        self.committed_at[position] = now
        for other in self.instances.values():
            follows = not other.leads and other.term == instance.term
            if other is not instance and other.running and follows:
                other.log.append((position, now + other.lag_s))
        return position

    def demote(self, instance: SimulatedInstance, term: int) -> None:
        """Makes the instance a replica if it is a primary of a term below ``term``."""
        if instance.leads and instance.term < term:
            instance.leads = False

    async def promote(self, name: str, *, token: int) -> None:
        """Makes an instance the primary of the next term after `promote_s`.

        A replica follows the new primary at once, an old primary only when it notices
        the new one. Nothing changes for the present primary, which is not an old primary
        that has not noticed the new one yet.

        Args:
            name: Name of the instance.
            token: Fencing token, which is recorded only.

        Raises:
            NotRunningError: The instance does not run.
        """
        instance = self.instances[name]
        if not instance.running:
            raise NotRunningError(name)
        self.promotions.append((name, token))
        newest = max(item.term for item in self.instances.values())
        if instance.leads and instance.term == newest:
            return
        await self.timers.sleep(self.promote_s)
        term = max(item.term for item in self.instances.values()) + 1
        instance.term = term
        instance.leads = True
        self.term_started_at[term] = self.timers.now()
        for other in self.instances.values():
            if other is instance:
                continue
            if other.leads:
                self._start(self._step_down_later(other, instance))
                continue
            other.term = term
            other.log = list(instance.log)

    async def _step_down_later(
        self, old: SimulatedInstance, new: SimulatedInstance
    ) -> None:
        """Makes an old primary follow the new one once both can be reached.

        One that was promoted again meanwhile is no old primary any more.
        """
        while old.leads and old.term < new.term:
            await self.timers.sleep(OLD_PRIMARY_POLL_S)
            if (
                old.term < new.term
                and old.running
                and not old.unresponsive
                and new.running
                and not new.unresponsive
            ):
                old.leads = False
                old.term = new.term
                old.log = list(new.log)

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class SimulatedGroupControl:
    """Implements `InstanceControl` and `Promotions` for one proxy.

    Args:
        proxy: Name of the proxy, by which instances decide whether they answer.
        groups: Groups by service.
        timers: Timer service.
    """

    def __init__(
        self, proxy: str, *, groups: dict[str, SimulatedGroup], timers: Timers
    ) -> None:
        self._proxy = proxy
        self._groups = groups
        self._timers = timers

    async def replication_status(
        self, record: InstanceRecord, *, timeout_s: float
    ) -> ReplicationStatus:
        """Returns the replication status that an instance reports.

        Raises:
            ControlError: The instance does not run or does not answer.
        """
        instance = await self._reach(record, timeout_s)
        return ReplicationStatus(
            leads=instance.leads, term=instance.term, position=instance.received()
        )

    async def demote(
        self, record: InstanceRecord, *, term: int, timeout_s: float
    ) -> ReplicationStatus:
        """Makes a primary of a term below ``term`` a replica; returns the new status.

        Raises:
            ControlError: The instance does not run or does not answer.
        """
        instance = await self._reach(record, timeout_s)
        self._groups[record.service].demote(instance, term)
        return await self.replication_status(record, timeout_s=timeout_s)

    async def _reach(
        self, record: InstanceRecord, timeout_s: float
    ) -> SimulatedInstance:
        instance = self._groups[record.service].instances[record.name]
        if not instance.running:
            raise ControlError(f"{record.name}: connection refused")
        if instance.is_unresponsive_to(self._proxy):
            await self._timers.sleep(timeout_s)
            raise ControlError(f"{record.name}: no answer")
        await self._timers.sleep(HANDSHAKE_S)
        return instance

    async def promote(
        self, service: str, instance: str, *, holder: str, token: int
    ) -> None:
        """Promotes an instance and waits until the promotion takes effect."""
        await self._groups[service].promote(instance, token=token)
