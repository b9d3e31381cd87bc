"""One database group as this proxy sees it."""

import asyncio
from dataclasses import dataclass

from heatherpier.groups._control import fetch_status, wait_for_position
from heatherpier.groups._errors import GroupError, NoPrimaryError, NotAcknowledgedError
from heatherpier.groups._types import ORIGIN, InstanceStatus, LogPosition
from heatherpier.timers import Timers
from heatherpier.upstreams import Connector, Instance, Pool, UpstreamError

STATUS_TIMEOUT_S = 0.5
ACKNOWLEDGE_WAIT_S = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupSpec:
    """What the configuration says of a group.

    Attributes:
        name: Name that is unique in the deployment.
        service: Service that the group belongs to.
        database: Schema by which callers name the group.
        instances: Its instances.
        connections: Connections that this proxy may open to each instance.
    """

    name: str
    service: str
    database: str
    instances: tuple[Instance, ...]
    connections: int

    @property
    def majority(self) -> int:
        """Least count of instances that is more than half."""
        return len(self.instances) // 2 + 1


class Group:
    """Pools and last known statuses of a group's instances.

    Statuses only choose whom to ask first. Whether an instance may answer is
    checked on the instance itself.

    Attributes:
        spec: What the configuration says of the group.
        pools: Connections by instance.
        statuses: Last known statuses by instance.
        suspected: Set when work on an instance failed.
    """

    def __init__(
        self, spec: GroupSpec, *, connector: Connector, timers: Timers
    ) -> None:
        self.spec = spec
        self._timers = timers
        self.pools = {
            instance.name: Pool(
                instance, connector=connector, timers=timers, limit=spec.connections
            )
            for instance in spec.instances
        }
        self.statuses: dict[str, InstanceStatus] = {}
        self._acknowledged = ORIGIN
        self._changed = asyncio.Event()
        self.suspected = asyncio.Event()

    def learn(self, status: InstanceStatus) -> None:
        """Takes in what an instance told about itself."""
        self.statuses[status.instance] = status
        self._changed.set()
        self._changed = asyncio.Event()

    def primary(self) -> InstanceStatus:
        """Returns the last known status of the primary of the highest term.

        Raises:
            NoPrimaryError: None is known.
        """
        leaders = [item for item in self.statuses.values() if item.leads()]
        best = max(leaders, key=lambda item: item.adopted_term, default=None)
        highest = max((s.adopted_term for s in self.statuses.values()), default=0)
        if best is None or best.adopted_term < highest:
            raise NoPrimaryError(f"{self.spec.name}: no primary in term {highest}")
        return best

    async def wait_for_primary(self, *, deadline: float) -> InstanceStatus:
        """Returns the primary, waiting for one until ``deadline``.

        Args:
            deadline: Monotonic time in seconds.

        Raises:
            NoPrimaryError: None became known in time.
        """
        while True:
            changed = self._changed
            try:
                return self.primary()
            except NoPrimaryError:
                if self._timers.now() >= deadline:
                    raise
            try:
                async with self._timers.timeout_at(deadline):
                    await changed.wait()
            except TimeoutError:
                continue

    async def refresh(self) -> None:
        """Asks every instance for its status."""
        async with asyncio.TaskGroup() as tasks:
            for name in self.pools:
                tasks.create_task(self._refresh_one(name))

    async def _refresh_one(self, name: str) -> None:
        try:
            async with self.pools[name].borrow(timeout_s=STATUS_TIMEOUT_S) as conn:
                self.learn(await fetch_status(conn, timeout_s=STATUS_TIMEOUT_S))
        except (UpstreamError, GroupError):
            self.statuses.pop(name, None)

    def report_failure(self, name: str) -> None:
        """Takes in that work on an instance failed, so that it is probed at once.

        Args:
            name: Name of the instance.
        """
        self.statuses.pop(name, None)
        self.suspected.set()

    async def confirm_primary(
        self, primary: InstanceStatus, *, deadline: float
    ) -> None:
        """Proves that no majority has left the primary's term.

        An answer that the primary gave before this call was current when it
        was given.

        Args:
            primary: Status of the instance that answered as primary.
            deadline: Monotonic time in seconds.

        Raises:
            NotAcknowledgedError: A majority did not confirm the term in time.
        """
        origin = LogPosition(primary.adopted_term, 0)
        await self._await_majority(origin, primary=primary.instance, deadline=deadline)

    async def acknowledge(
        self, position: LogPosition, *, primary: str, deadline: float
    ) -> None:
        """Waits until a majority holds ``position`` in its term.

        Args:
            position: Position of a commit on ``primary``.
            primary: Name of the instance that wrote it.
            deadline: Monotonic time in seconds.

        Raises:
            NotAcknowledgedError: A majority did not hold it in time.
        """
        known = self._acknowledged
        # A higher term proves nothing of a lower one's last entries.
        if position.term == known.term and position.index <= known.index:
            return
        await self._await_majority(position, primary=primary, deadline=deadline)
        self._acknowledged = max(self._acknowledged, position)

    async def _await_majority(
        self, position: LogPosition, *, primary: str, deadline: float
    ) -> None:
        needed = self.spec.majority - 1
        waits = [
            asyncio.create_task(self._holds(name, position, deadline=deadline))
            for name in self.pools
            if name != primary
        ]
        try:
            for held in asyncio.as_completed(waits):
                needed -= await held
                if needed <= 0:
                    return
        finally:
            for wait in waits:
                wait.cancel()
            await asyncio.gather(*waits, return_exceptions=True)
        raise NotAcknowledgedError(f"{self.spec.name}: {position} is not on a majority")

    async def _holds(
        self, name: str, position: LogPosition, *, deadline: float
    ) -> bool:
        while (left := deadline - self._timers.now()) > 0:
            wait_s = min(left, ACKNOWLEDGE_WAIT_S)
            try:
                async with self.pools[name].borrow(timeout_s=wait_s) as conn:
                    status = await wait_for_position(conn, position, timeout_s=wait_s)
            except (UpstreamError, GroupError):
                await self._timers.sleep(min(left, ACKNOWLEDGE_WAIT_S / 10))
                continue
            self.learn(status)
            if status.adopted_term > position.term:
                return False
            if status.position >= position:
                return True
        return False

    def close(self) -> None:
        """Closes all pools."""
        for pool in self.pools.values():
            pool.close()
