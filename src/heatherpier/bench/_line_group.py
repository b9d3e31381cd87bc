"""A stand-in for the instances of one service, in memory, with fault switches."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from heatherpier.discovery import InstanceRecord
from heatherpier.groups import LogPosition
from heatherpier.leases import ControlError, NotRunningError, ReplicationStatus
from heatherpier.timers import Timers
from heatherpier.upstreams import Instance

WORK_S = 0.006
PROMOTE_S = 0.3
HANDSHAKE_S = 0.012
# An old primary that reaches the new one notices it within this time.
NOTICE_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """One statement that an instance ran.

    Attributes:
        id: The caller's id.
        text: What was run.
        values: Session values that stood on the connection.
        in_transaction: Whether it ran inside a transaction.
        connection: Number of the connection.
        at: Virtual time in seconds.
    """

    id: str
    text: str
    values: dict[str, str]
    in_transaction: bool
    connection: int
    at: float


@dataclass(slots=True, eq=False)
class LineInstance:
    """One instance.

    Attributes:
        record: Name, address and service.
        leads: Whether it takes writes.
        term: Its term.
        log: Positions with the time at which they become visible here.
        lag_s: Delay with which it applies commits as a replica.
        running: Whether a process listens.
        silent: Whether it keeps silent to everybody.
        cut_from: Names of proxies that get no answer.
        full: Whether it refuses connections for their number.
        busy: Count of coming statements that it turns away.
        lose_answers: Count of coming statements that run without an answer.
        runs: What it ran.
        connections: Count of connections that were opened.
    """

    record: InstanceRecord
    leads: bool = False
    term: int = 1
    log: list[tuple[LogPosition, float]] = field(default_factory=list)
    lag_s: float = 0.01
    running: bool = True
    silent: bool = False
    cut_from: set[str] = field(default_factory=set)
    full: bool = False
    busy: int = 0
    lose_answers: int = 0
    runs: list[Run] = field(default_factory=list)
    connections: int = 0

    @property
    def name(self) -> str:
        """Its name."""
        return self.record.name

    def keeps_silent(self, proxy: str) -> bool:
        """Tells whether a proxy gets no answer."""
        return self.silent or proxy in self.cut_from

    def received(self) -> LogPosition:
        """Returns the last position that it has received."""
        return self.log[-1][0] if self.log else LogPosition(self.term, 0)

    def applied(self, now: float) -> LogPosition:
        """Returns the last position that its reads see."""
        if self.leads:
            return self.received()
        visible = [position for position, at in self.log if at <= now]
        return visible[-1] if visible else LogPosition(self.term, 0)


class LineGroup:
    """The instances of one service, and the platform that promotes them.

    Args:
        service: Name of the service.
        zones: Data centre of each instance; the first one leads.
        timers: Timer service.

    Attributes:
        instances: By name.
        promotions: Instance and token of each promotion that was ordered.
        commits: Virtual time in seconds of each commit, by position.
        effects: Virtual time in seconds at which each term began.
        promote_s: Time until an ordered promotion takes effect.
    """

    def __init__(self, service: str, *, zones: list[str], timers: Timers) -> None:
        self.service = service
        self.timers = timers
        self.promote_s = PROMOTE_S
        self.promotions: list[tuple[str, int]] = []
        self.commits: dict[LogPosition, float] = {}
        self.effects: dict[int, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.instances: dict[str, LineInstance] = {}
        for number, zone in enumerate(zones):
            name = f"{service}-{number}"
            self.instances[name] = LineInstance(
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

    def primary(self) -> LineInstance:
        """Returns the instance of the highest term that takes writes."""
        leaders = [item for item in self.instances.values() if item.leads]
        return max(leaders, key=lambda item: item.term)

    def append(self, instance: LineInstance) -> LogPosition:
        """Commits on a primary and sends the entry to its replicas."""
        position = LogPosition(instance.term, instance.received().index + 1)
        now = self.timers.now()
        instance.log.append((position, now))
        self.commits[position] = now
        for other in self.instances.values():
            follows = not other.leads and other.term == instance.term
            if other is not instance and other.running and follows:
                other.log.append((position, now + other.lag_s))
        return position

    def demote(self, instance: LineInstance, term: int) -> None:
        """Makes a primary of a lower term a replica."""
        if instance.leads and instance.term < term:
            instance.leads = False

    async def promote(self, name: str, *, token: int) -> None:
        """Has an instance lead the next term after a while.

        Raises:
            NotRunningError: It does not run.
        """
        instance = self.instances[name]
        if not instance.running:
            raise NotRunningError(name)
        self.promotions.append((name, token))
        if instance.leads:
            return
        await self.timers.sleep(self.promote_s)
        term = max(item.term for item in self.instances.values()) + 1
        instance.term = term
        instance.leads = True
        self.effects[term] = self.timers.now()
        for other in self.instances.values():
            if other is instance:
                continue
            if other.leads:
                self._start(self._notice(other, instance))
                continue
            other.term = term
            other.log = list(instance.log)

    async def _notice(self, old: LineInstance, new: LineInstance) -> None:
        """Has an old primary follow the new one a while after it can reach it."""
        while old.leads:
            await self.timers.sleep(NOTICE_S)
            if old.running and not old.silent and new.running and not new.silent:
                old.leads = False
                old.term = new.term
                old.log = list(new.log)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class LineGroupControl:
    """Implements `InstanceControl` and `Promotions` for one proxy.

    Args:
        proxy: Name of the proxy.
        groups: Groups by service.
        timers: Timer service.
    """

    def __init__(
        self, proxy: str, *, groups: dict[str, LineGroup], timers: Timers
    ) -> None:
        self._proxy = proxy
        self._groups = groups
        self._timers = timers

    async def replication_status(
        self, record: InstanceRecord, *, timeout_s: float
    ) -> ReplicationStatus:
        """Asks an instance for its replication status."""
        instance = await self._reach(record, timeout_s)
        return ReplicationStatus(
            leads=instance.leads, term=instance.term, position=instance.received()
        )

    async def demote(
        self, record: InstanceRecord, *, term: int, timeout_s: float
    ) -> ReplicationStatus:
        """Makes a primary of a term below ``term`` a replica."""
        instance = await self._reach(record, timeout_s)
        self._groups[record.service].demote(instance, term)
        return await self.replication_status(record, timeout_s=timeout_s)

    async def _reach(self, record: InstanceRecord, timeout_s: float) -> LineInstance:
        instance = self._groups[record.service].instances[record.name]
        if not instance.running:
            raise ControlError(f"{record.name}: refused")
        if instance.keeps_silent(self._proxy):
            await self._timers.sleep(timeout_s)
            raise ControlError(f"{record.name}: no answer")
        await self._timers.sleep(HANDSHAKE_S)
        return instance

    async def promote(
        self, service: str, instance: str, *, holder: str, token: int
    ) -> None:
        """Orders a promotion."""
        await self._groups[service].promote(instance, token=token)
