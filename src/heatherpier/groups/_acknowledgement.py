"""Waits until a majority of a group's instances holds a position.

One task per replica serves all waits of this proxy. It holds a connection only
while waits are pending, asks for the lowest pending position, and settles every
wait that the answer covers.
"""

import asyncio
from collections.abc import Callable, Mapping

from heatherpier.groups._control import wait_for_position
from heatherpier.groups._errors import GroupError, NotAcknowledgedError
from heatherpier.groups._types import ORIGIN, InstanceStatus, LogPosition
from heatherpier.timers import Timers
from heatherpier.upstreams import Pool, UpstreamError

# Longest time that one wait holds a connection, in seconds.
HOLD_S = 0.1
# Pause between two questions where a wait would block the only connection.
POLL_S = 0.01
RETRY_S = 0.05


class _MajorityWait:
    """One wait for a majority.

    Args:
        position: Position that must be held in its own term.
        replicas: Count of instances that are asked.
        needed: Count of them that must hold it.
        current: Whether the wait is for proof that the instances have not left the
            term. Only answers to later questions count then, and none must hold
            the position.
    """

    def __init__(
        self, position: LogPosition, *, replicas: int, needed: int, current: bool
    ) -> None:
        self.position = position
        self.current = current
        self.fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._needed = needed
        self._spare = replicas - needed

    def settle(self, status: InstanceStatus) -> bool:
        """Takes in an answer and tells whether the instance need not be asked again."""
        if self.fut.done():
            return True
        if status.adopted_term > self.position.term:
            self._spare -= 1
            if self._spare < 0:
                self.fut.set_result(False)
            return True
        if not self.current and status.position < self.position:
            return False
        self._needed -= 1
        if self._needed <= 0:
            self.fut.set_result(True)
        return True


class _Follower:
    """Serves the waits on one replica."""

    def __init__(
        self,
        pool: Pool,
        *,
        timers: Timers,
        learn: Callable[[InstanceStatus], None],
        hold_s: float,
    ) -> None:
        self._pool = pool
        self._timers = timers
        self._learn = learn
        self._hold_s = hold_s
        self._waits: list[_MajorityWait] = []
        self._task: asyncio.Task[None] | None = None

    def add(self, wait: _MajorityWait) -> None:
        """Serves ``wait`` until it is done."""
        self._waits.append(wait)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while self._prune():
            try:
                async with self._pool.borrow(timeout_s=HOLD_S) as conn:
                    asked = tuple(self._waits)
                    hold_s = self._hold_s
                    if any(wait.current for wait in asked):
                        hold_s = 0.0
                    lowest = min((wait.position for wait in asked), default=ORIGIN)
                    status = await wait_for_position(conn, lowest, timeout_s=hold_s)
            except (UpstreamError, GroupError):
                await self._timers.sleep(RETRY_S)
                continue
            self._learn(status)
            self._settle(status, asked)
            if self._prune() and not self._hold_s:
                await self._timers.sleep(POLL_S)

    def _settle(self, status: InstanceStatus, asked: tuple[_MajorityWait, ...]) -> None:
        self._waits = [
            wait
            for wait in self._waits
            if (wait.current and wait not in asked) or not wait.settle(status)
        ]

    def _prune(self) -> bool:
        self._waits = [wait for wait in self._waits if not wait.fut.done()]
        return bool(self._waits)

    def close(self) -> None:
        """Ends the task; its waits run into their deadlines."""
        if self._task is not None:
            self._task.cancel()


class Acknowledger:
    """Waits for majorities of one group.

    Args:
        pools: Connections by instance.
        timers: Timer service.
        learn: Takes in every status that an instance answers.
        connections: Connections that this proxy may open to each instance.
    """

    def __init__(
        self,
        pools: Mapping[str, Pool],
        *,
        timers: Timers,
        learn: Callable[[InstanceStatus], None],
        connections: int,
    ) -> None:
        self._timers = timers
        self._majority = len(pools) // 2 + 1
        # A wait on an instance's only connection would block all reads there.
        hold_s = HOLD_S if connections > 1 else 0.0
        self._followers = {
            name: _Follower(pool, timers=timers, learn=learn, hold_s=hold_s)
            for name, pool in pools.items()
        }

    async def wait(
        self, position: LogPosition, *, primary: str, deadline: float, current: bool
    ) -> None:
        """Waits until a majority holds ``position`` in its term.

        Args:
            position: Position that ``primary`` holds.
            primary: Name of the instance that wrote it.
            deadline: Monotonic time in seconds.
            current: Whether to prove only that no majority has left the term, by
                answers to questions asked from now on.

        Raises:
            NotAcknowledgedError: A majority did not hold it in time, or so many
                instances adopted a higher term that none can.
        """
        followers = [item for name, item in self._followers.items() if name != primary]
        needed = self._majority - 1
        if needed == 0:
            return
        wait = _MajorityWait(
            position, replicas=len(followers), needed=needed, current=current
        )
        for follower in followers:
            follower.add(wait)
        try:
            async with self._timers.timeout_at(deadline):
                held = await wait.fut
        except TimeoutError as exc:
            raise NotAcknowledgedError(f"{position} is not on a majority") from exc
        finally:
            wait.fut.cancel()
        if not held:
            raise NotAcknowledgedError(f"{position}: a majority left the term")

    def close(self) -> None:
        """Ends all tasks."""
        for follower in self._followers.values():
            follower.close()
