"""One database group as seen by this proxy."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from functools import partial
from typing import Any, TypeVar

from heatherpier.groups._acknowledgement import Acknowledger
from heatherpier.groups._control import fetch_status
from heatherpier.groups._errors import GroupError, NoPrimaryError
from heatherpier.groups._spec import GroupSpec
from heatherpier.groups._types import InstanceStatus
from heatherpier.positions import ORIGIN, LogPosition
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

# Timeout of a control statement on a pooled connection, including its acquisition.
POOLED_ANSWER_TIMEOUT_S = 0.25
# Timeout of opening a new connection, and of one control statement on it.
NEW_CONNECTION_TIMEOUT_S = 0.35

T = TypeVar("T")


class Group:
    """Connection pools and last known statuses of a group's instances.

    Statuses only decide which instance is tried first. Whether an instance may
    serve a statement is checked on the instance itself.

    Attributes:
        spec: Configuration of the group.
        pools: Connection pools by instance name.
        statuses: Last known statuses by instance name.
        heard_at: Monotonic time in seconds of each instance's last answer.
        suspected: Event that is set when any instance should be probed at once.
        suspicions: Events by instance name, set when that instance should be probed
            at once.
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
            self.pools,
            timers=timers,
            on_status=self.learn,
            connections=spec.connections,
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def learn(self, status: InstanceStatus) -> None:
        """Records a status that an instance reported, unless it is of an old term."""
        known = self.statuses.get(status.instance)
        self.heard_at[status.instance] = self._timers.now()
        # An instance's term never falls, so this answer is older than the known one.
        if known is not None and known.adopted_term > status.adopted_term:
            return
        self.statuses[status.instance] = status
        self._acknowledger.note_status(status)
        self._changed.set()
        self._changed = asyncio.Event()

    def forget(self, name: str) -> None:
        """Drops the last known status of an instance that does not answer."""
        self.statuses.pop(name, None)

    def report_failure(self, name: str) -> None:
        """Drops an instance's status after a failure and has it probed at once.

        Args:
            name: Name of the instance.
        """
        self.forget(name)
        self.suspect(name)

    def suspect(self, name: str) -> None:
        """Requests an immediate probe of an instance.

        Args:
            name: Name of the instance.
        """
        self.suspicions[name].set()
        self.suspected.set()

    def primary(self) -> InstanceStatus:
        """Returns the last known status of the primary of the highest term.

        Raises:
            NoPrimaryError: No primary is known, or a majority has adopted a term
                above the primary's.
        """
        primaries = [item for item in self.statuses.values() if item.leads()]
        newest = max(primaries, key=lambda item: item.adopted_term, default=None)
        if newest is None:
            raise NoPrimaryError(f"{self.spec.name}: no primary is known")
        left = [
            s for s in self.statuses.values() if s.adopted_term > newest.adopted_term
        ]
        if len(left) >= self.spec.majority:
            raise NoPrimaryError(
                f"{self.spec.name}: a majority has left term {newest.adopted_term}"
            )
        return newest

    def highest_term(self) -> int:
        """Returns the highest known adopted term, or 0 if no status is known."""
        return max((item.adopted_term for item in self.statuses.values()), default=0)

    async def wait_for_primary(self, *, deadline: float) -> InstanceStatus:
        """Returns the primary, waiting for one until ``deadline``.

        Args:
            deadline: Monotonic time in seconds.

        Raises:
            NoPrimaryError: No primary became known in time.
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

    async def run_control(
        self,
        name: str,
        statement: Callable[[PooledConnection], Awaitable[T]],
        *,
        timeout_s: float = POOLED_ANSWER_TIMEOUT_S,
    ) -> T:
        """Runs an idempotent control statement, retrying it on a new connection.

        All connections of a pool may be in use or unresponsive, so only a new
        connection shows whether the instance answers. A statement that the instance
        rejected is not retried.

        Args:
            name: Name of the instance.
            statement: Runs the statement on a connection.
            timeout_s: Maximum time on a pooled connection, in seconds.

        Raises:
            UpstreamError: The instance does not answer, or rejected the statement.
            GroupError: The answer does not have the expected form.
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
            async with self._timers.timeout(NEW_CONNECTION_TIMEOUT_S):
                conn = await self._connector.connect(self.pools[name].instance)
        except TimeoutError as exc:
            raise ConnectError(
                f"{name}: connection not opened within {NEW_CONNECTION_TIMEOUT_S:.3f} s"
            ) from exc
        opened = PooledConnection(conn, timers=self._timers, name=name)
        try:
            yield opened
        finally:
            opened.abort()

    async def probe(self, name: str) -> bool:
        """Fetches an instance's status and returns whether the instance answers.

        Args:
            name: Name of the instance.
        """
        try:
            status = await self.run_control(
                name, partial(fetch_status, timeout_s=NEW_CONNECTION_TIMEOUT_S)
            )
        except TooManyConnectionsError:
            # Only a live instance rejects a connection over its limit.
            return True
        except (UpstreamError, GroupError):
            self.forget(name)
            return False
        self.learn(status)
        return True

    async def refresh(self) -> None:
        """Fetches the statuses of all instances."""
        async with asyncio.TaskGroup() as tasks:
            for name in self.pools:
                tasks.create_task(self.probe(name))

    async def confirm_primary(
        self, primary: InstanceStatus, *, deadline: float
    ) -> None:
        """Proves that no majority has left the primary's term.

        An answer that ``primary`` gave before this call is then known to have been
        current when it was given. ``primary`` had adopted no higher term when it gave
        the answer, nor had the replicas that complete the majority when they were
        asked later. A later primary needs a majority that has adopted its term, which
        shares an instance with this one, so it was promoted after the answer.

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
            confirm_term=True,
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
                has adopted a higher term. It is then unknown whether the next
                primary holds it.
        """
        known = self._acknowledged
        # A position acknowledged in a higher term proves nothing about the last
        # entries of a lower term, which the higher term's log may lack.
        if position.term == known.term and position.index <= known.index:
            return
        await self._acknowledger.wait(
            position, primary=primary, deadline=deadline, confirm_term=False
        )
        self._acknowledged = max(self._acknowledged, position)

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs ``coroutine`` as a task that `close` cancels if it still runs."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def close(self) -> None:
        """Cancels all tasks of the group and closes its pools."""
        for task in self._tasks:
            task.cancel()
        self._acknowledger.close()
        for pool in self.pools.values():
            pool.close()
