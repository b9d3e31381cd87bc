"""One database group as this proxy sees it."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from functools import partial
from typing import Any, TypeVar

from heatherpier.groups._acknowledgement import Acknowledger
from heatherpier.groups._control import fetch_status
from heatherpier.groups._errors import GroupError, NoPrimaryError
from heatherpier.groups._spec import GroupSpec
from heatherpier.groups._types import ORIGIN, InstanceStatus, LogPosition
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    ConnectError,
    Connector,
    Pool,
    PooledConnection,
    StatementError,
    TooManyConnectionsError,
    UpstreamError,
)

# Longest wait for a control statement on a connection of the pool, in seconds.
POOLED_ANSWER_S = 0.25
# Longest wait for the same statement on a new connection, in seconds.
NEW_ANSWER_S = 0.35

T = TypeVar("T")


class Group:
    """Pools and last known statuses of a group's instances.

    Statuses only choose whom to ask first. Whether an instance may answer is
    checked on the instance itself.

    Attributes:
        spec: What the configuration says of the group.
        pools: Connections by instance.
        statuses: Last known statuses by instance.
        heard_at: Monotonic time in seconds of each instance's last answer.
        suspected: Set when work on an instance failed.
        suspicions: The same by instance.
    """

    def __init__(
        self, spec: GroupSpec, *, connector: Connector, timers: Timers
    ) -> None:
        self.spec = spec
        self._connector = connector
        self._timers = timers
        self.pools = {
            instance.name: Pool(
                instance, connector=connector, timers=timers, limit=spec.connections
            )
            for instance in spec.instances
        }
        self.statuses: dict[str, InstanceStatus] = {}
        self.heard_at: dict[str, float] = {}
        self._acknowledged = ORIGIN
        self._changed = asyncio.Event()
        self.suspected = asyncio.Event()
        self.suspicions = {name: asyncio.Event() for name in self.pools}
        self._acknowledger = Acknowledger(
            self.pools, timers=timers, learn=self.learn, connections=spec.connections
        )
        self._tasks: set[asyncio.Task[None]] = set()

    # Statuses

    def learn(self, status: InstanceStatus) -> None:
        """Takes in what an instance told about itself."""
        known = self.statuses.get(status.instance)
        self.heard_at[status.instance] = self._timers.now()
        # Terms only rise, so this answer is older than the known one.
        if known is not None and known.adopted_term > status.adopted_term:
            return
        self.statuses[status.instance] = status
        self._acknowledger.note(status)
        self._changed.set()
        self._changed = asyncio.Event()

    def forget(self, name: str) -> None:
        """Drops what is known of an instance that does not answer."""
        self.statuses.pop(name, None)

    def report_failure(self, name: str) -> None:
        """Takes in that work on an instance failed, so that it is probed at once.

        Args:
            name: Name of the instance.
        """
        self.forget(name)
        self.suspect(name)

    def suspect(self, name: str) -> None:
        """Has an instance probed at once.

        Args:
            name: Name of the instance.
        """
        self.suspicions[name].set()
        self.suspected.set()

    def primary(self) -> InstanceStatus:
        """Returns the last known status of the primary of the highest term.

        Raises:
            NoPrimaryError: None is known, or a majority has left its term.
        """
        leaders = [item for item in self.statuses.values() if item.leads()]
        best = max(leaders, key=lambda item: item.adopted_term, default=None)
        if best is None:
            raise NoPrimaryError(f"{self.spec.name}: no primary is known")
        left = [s for s in self.statuses.values() if s.adopted_term > best.adopted_term]
        if len(left) >= self.spec.majority:
            raise NoPrimaryError(
                f"{self.spec.name}: a majority left term {best.adopted_term}"
            )
        return best

    def highest_term(self) -> int:
        """Returns the highest adopted term that is known, or 0."""
        return max((item.adopted_term for item in self.statuses.values()), default=0)

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

    # Questions to instances

    async def ask(
        self,
        name: str,
        statement: Callable[[PooledConnection], Awaitable[T]],
        *,
        timeout_s: float = POOLED_ANSWER_S,
    ) -> T:
        """Runs an idempotent control statement, if needed again on a new connection.

        A pool may be full of work or of connections that went silent, so only a
        new connection tells whether the instance answers.

        Args:
            name: Name of the instance.
            statement: Runs the statement on a connection.
            timeout_s: Longest wait on a connection of the pool, in seconds.

        Raises:
            UpstreamError: The instance does not answer, or refused.
            GroupError: Its answer has another form than agreed.
        """
        try:
            async with (
                self._timers.timeout(timeout_s),
                self.pools[name].acquire(timeout_s=timeout_s) as conn,
            ):
                return await statement(conn)
        except (TimeoutError, UpstreamError) as exc:
            if isinstance(exc, StatementError):
                raise
        async with self._open(name) as conn:
            return await statement(conn)

    @asynccontextmanager
    async def _open(self, name: str) -> AsyncIterator[PooledConnection]:
        try:
            async with self._timers.timeout(NEW_ANSWER_S):
                conn = await self._connector.connect(self.pools[name].instance)
        except TimeoutError as exc:
            raise ConnectError(
                f"{name}: no connection within {NEW_ANSWER_S:.3f} s"
            ) from exc
        opened = PooledConnection(conn, timers=self._timers, name=name)
        try:
            yield opened
        finally:
            opened.abort()

    async def probe(self, name: str) -> bool:
        """Asks an instance for its status and tells whether it answers.

        Args:
            name: Name of the instance.
        """
        try:
            status = await self.ask(name, partial(fetch_status, timeout_s=NEW_ANSWER_S))
        except TooManyConnectionsError:
            # A refusal is an answer.
            return True
        except (UpstreamError, GroupError):
            self.forget(name)
            return False
        self.learn(status)
        return True

    async def refresh(self) -> None:
        """Asks every instance for its status."""
        async with asyncio.TaskGroup() as tasks:
            for name in self.pools:
                tasks.create_task(self.probe(name))

    # Majorities

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
        await self._acknowledger.wait(
            LogPosition(primary.adopted_term, 0),
            primary=primary.instance,
            deadline=deadline,
            current=True,
        )

    async def acknowledge(
        self, position: LogPosition, *, primary: str, deadline: float
    ) -> None:
        """Waits until a majority holds ``position`` in its term.

        Args:
            position: Position of a commit on ``primary``.
            primary: Name of the instance that wrote it.
            deadline: Monotonic time in seconds.

        Raises:
            NotAcknowledgedError: A majority did not hold it in time, or a majority
                has adopted a higher term. Whether the next primary holds it is
                then open.
        """
        known = self._acknowledged
        # A higher term proves nothing of a lower one's last entries.
        if position.term == known.term and position.index <= known.index:
            return
        await self._acknowledger.wait(
            position, primary=primary, deadline=deadline, current=False
        )
        self._acknowledged = max(self._acknowledged, position)

    # Life cycle

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs ``work`` as a task that ends with the group at the latest."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def close(self) -> None:
        """Ends all tasks of the group and closes its pools."""
        for task in self._tasks:
            task.cancel()
        self._acknowledger.close()
        for pool in self.pools.values():
            pool.close()
