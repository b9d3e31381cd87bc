"""Waits until a majority of a group's instances holds a position.

One task per replica serves all waits of this proxy. It holds a connection only
while waits are pending, asks for the lowest pending position, and applies the
answer to every wait that it covers.

An instance counts only while its adopted term is not above the position's term.
Positions compare by term first, so an instance of a later term may report a higher
position without holding the entry. An entry that a majority has held in its own
term is in the log of every later primary; `_promoter` says why.
"""

import asyncio
from collections.abc import Callable, Mapping

from heatherpier.groups._control import wait_for_position
from heatherpier.groups._errors import GroupError, NotAcknowledgedError
from heatherpier.groups._types import InstanceStatus
from heatherpier.positions import ORIGIN, LogPosition
from heatherpier.timers import Timers
from heatherpier.upstreams import Pool, UpstreamError

# Maximum time that one question waits for a connection, and then on the instance.
LONG_POLL_S = 0.1
# Pause between two questions that do not wait on the instance.
SHORT_POLL_PAUSE_S = 0.01
# Pause after a question that failed.
RETRY_PAUSE_S = 0.05


class _MajorityWait:
    """Wait for a majority, with the instances that it has counted so far.

    Args:
        position: Position that instances must hold in its own term.
        majority: Count of instances that must hold it, including the primary.
        confirm_term: Whether the wait only proves that no majority has adopted a
            higher term. Then only answers to questions asked after the start of
            the wait count, and instances need not hold the position.
    """

    def __init__(
        self, position: LogPosition, *, majority: int, confirm_term: bool
    ) -> None:
        self.position = position
        self.confirm_term = confirm_term
        self.fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._majority = majority
        self._confirmations = 1
        self._left: set[str] = set()

    def record_answer(self, status: InstanceStatus) -> bool:
        """Counts an instance's answer.

        Returns:
            Whether the instance need not be asked again for this wait.
        """
        if self.fut.done() or status.adopted_term > self.position.term:
            return True
        if not self.confirm_term and status.position < self.position:
            return False
        self._confirmations += 1
        if self._confirmations >= self._majority:
            self.fut.set_result(True)
        return True

    def record_term(self, name: str, adopted_term: int) -> None:
        """Ends the wait without success if a majority has adopted higher terms."""
        if self.fut.done() or adopted_term <= self.position.term:
            return
        self._left.add(name)
        if len(self._left) >= self._majority:
            self.fut.set_result(False)


class _ReplicaPoller:
    """Asks one replica on behalf of all pending waits."""

    def __init__(
        self,
        pool: Pool,
        *,
        timers: Timers,
        on_status: Callable[[InstanceStatus], None],
        long_poll_s: float,
    ) -> None:
        self._pool = pool
        self._timers = timers
        self._on_status = on_status
        self._long_poll_s = long_poll_s
        self._waits: list[_MajorityWait] = []
        self._task: asyncio.Task[None] | None = None

    def add(self, wait: _MajorityWait) -> None:
        """Asks the replica for ``wait`` until the wait is done."""
        self._waits.append(wait)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while self._prune():
            try:
                async with self._pool.acquire(timeout_s=LONG_POLL_S) as conn:
                    served = tuple(self._waits)
                    long_poll_s = self._long_poll_s
                    # An answer at any position proves the term, so the instance
                    # need not wait for one.
                    if any(wait.confirm_term for wait in served):
                        long_poll_s = 0.0
                    lowest = min((wait.position for wait in served), default=ORIGIN)
                    status = await wait_for_position(
                        conn, lowest, timeout_s=long_poll_s
                    )
            except (UpstreamError, GroupError):
                await self._timers.sleep(RETRY_PAUSE_S)
                continue
            self._on_status(status)
            self._record_answer(status, served)
            if self._prune() and not self._long_poll_s:
                await self._timers.sleep(SHORT_POLL_PAUSE_S)

    def _record_answer(
        self, status: InstanceStatus, served: tuple[_MajorityWait, ...]
    ) -> None:
        # A wait added after the question may count the answer for its position, but
        # not as proof that the instance is still in the term.
        self._waits = [
            wait
            for wait in self._waits
            if (wait.confirm_term and wait not in served)
            or not wait.record_answer(status)
        ]

    def _prune(self) -> bool:
        self._waits = [wait for wait in self._waits if not wait.fut.done()]
        return bool(self._waits)

    def close(self) -> None:
        """Cancels the task. Pending waits end at their deadlines."""
        if self._task is not None:
            self._task.cancel()


class Acknowledger:
    """Waits for majorities of one group.

    Args:
        pools: Connection pools by instance name.
        timers: Timer service.
        on_status: Called with every status that a replica returns.
        connections: Maximum connections of this proxy to each instance.
    """

    def __init__(
        self,
        pools: Mapping[str, Pool],
        *,
        timers: Timers,
        on_status: Callable[[InstanceStatus], None],
        connections: int,
    ) -> None:
        self._timers = timers
        self._majority = len(pools) // 2 + 1
        self._open: set[_MajorityWait] = set()
        # The highest term that each instance is known to have adopted.
        self._terms: dict[str, int] = {}
        # A long poll on the only connection to an instance would block its reads.
        long_poll_s = LONG_POLL_S if connections > 1 else 0.0
        self._pollers = {
            name: _ReplicaPoller(
                pool, timers=timers, on_status=on_status, long_poll_s=long_poll_s
            )
            for name, pool in pools.items()
        }

    async def wait(
        self,
        position: LogPosition,
        *,
        primary: str,
        deadline: float,
        confirm_term: bool,
    ) -> None:
        """Waits until a majority holds ``position`` in its term.

        Args:
            position: Position that ``primary`` holds.
            primary: Name of the instance that wrote it.
            deadline: Monotonic time in seconds.
            confirm_term: Whether to prove only that no majority has adopted a higher
                term, by answers to questions asked after this call.

        Raises:
            NotAcknowledgedError: A majority did not hold it in time, or a majority
                has adopted a higher term.
        """
        if self._majority == 1:
            return
        wait = _MajorityWait(
            position, majority=self._majority, confirm_term=confirm_term
        )
        for name, term in self._terms.items():
            wait.record_term(name, term)
        for name, poller in self._pollers.items():
            if name != primary:
                poller.add(wait)
        self._open.add(wait)
        try:
            async with self._timers.timeout_at(deadline):
                held = await wait.fut
        except TimeoutError as exc:
            raise NotAcknowledgedError(
                f"no majority confirmed {position} in time"
            ) from exc
        finally:
            wait.fut.cancel()
            self._open.discard(wait)
        if not held:
            raise NotAcknowledgedError(
                f"{position}: a majority has adopted a higher term"
            )

    def note_status(self, status: InstanceStatus) -> None:
        """Ends the waits that cannot succeed after an instance adopted a term.

        Args:
            status: Status returned by any instance, including the primary.
        """
        name, term = status.instance, status.adopted_term
        if term <= self._terms.get(name, 0):
            return
        self._terms[name] = term
        for wait in tuple(self._open):
            wait.record_term(name, term)

    def close(self) -> None:
        """Cancels the tasks of all replicas."""
        for poller in self._pollers.values():
            poller.close()
