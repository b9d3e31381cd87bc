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
LONG_POLL_S = 0.1
# Pause between two questions where a wait would block the only connection.
POLL_S = 0.01
RETRY_S = 0.05


class _MajorityWait:
    """One wait for a majority.

    Args:
        position: Position that must be held in its own term.
        majority: Count of instances that must hold it, with the primary.
        current: Whether the wait is for proof that the instances have not left the
            term. Only answers to later questions count then, and none must hold
            the position.
    """

    def __init__(self, position: LogPosition, *, majority: int, current: bool) -> None:
        self.position = position
        self.current = current
        self.fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._majority = majority
        self._held = 1
        self._left: set[str] = set()

    def settle(self, status: InstanceStatus) -> bool:
        """Takes in an answer and tells whether the instance need not be asked again."""
        if self.fut.done() or status.adopted_term > self.position.term:
            return True
        if not self.current and status.position < self.position:
            return False
        self._held += 1
        if self._held >= self._majority:
            self.fut.set_result(True)
        return True

    def note_term(self, name: str, adopted_term: int) -> None:
        """Takes in that an instance adopted a term."""
        if self.fut.done() or adopted_term <= self.position.term:
            return
        self._left.add(name)
        if len(self._left) >= self._majority:
            self.fut.set_result(False)


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
                async with self._pool.acquire(timeout_s=LONG_POLL_S) as conn:
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
        self._open: set[_MajorityWait] = set()
        # Highest term that each instance is known to have adopted.
        self._terms: dict[str, int] = {}
        # A wait on an instance's only connection would block all reads there.
        hold_s = LONG_POLL_S if connections > 1 else 0.0
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
            NotAcknowledgedError: A majority did not hold it in time, or a majority
                has adopted a higher term.
        """
        if self._majority == 1:
            return
        wait = _MajorityWait(position, majority=self._majority, current=current)
        for name, term in self._terms.items():
            wait.note_term(name, term)
        for name, follower in self._followers.items():
            if name != primary:
                follower.add(wait)
        self._open.add(wait)
        try:
            async with self._timers.timeout_at(deadline):
                held = await wait.fut
        except TimeoutError as exc:
            raise NotAcknowledgedError(f"{position} is not on a majority") from exc
        finally:
            wait.fut.cancel()
            self._open.discard(wait)
        if not held:
            raise NotAcknowledgedError(f"{position}: a majority left the term")

    def note(self, status: InstanceStatus) -> None:
        """Ends the waits that can't succeed since an instance adopted a term.

        Args:
            status: What any instance answered, also the primary.
        """
        name, term = status.instance, status.adopted_term
        if term <= self._terms.get(name, 0):
            return
        self._terms[name] = term
        for wait in tuple(self._open):
            wait.note_term(name, term)

    def close(self) -> None:
        """Ends all tasks."""
        for follower in self._followers.values():
            follower.close()
