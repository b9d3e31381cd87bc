"""A connection in memory whose answers arrive in order, as over a socket."""

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import Any, Protocol

from heatherpier.bench._instance import Instance
from heatherpier.bench._instance_session import InstanceSession
from heatherpier.timers import Timers
from heatherpier.upstreams import ConnectionLostError, Result, StatementError

RETRANSMIT_INTERVAL_S = 0.1
# Time after which the kernel closes a connection over which nothing can be delivered.
DELIVERY_TIMEOUT_S = 5.0
COMMIT = "COMMIT"
# Answers to the replication between the stand-ins are never doubled, since replication
# is not under test.
FETCH_CALL = "CALL group_fetch"


class Network(Protocol):
    """The methods of a `MemoryNetwork` that a connection uses."""

    timers: Timers

    def one_way_s(self, peer: str, target: Instance) -> float:
        """Returns the one-way delay of a message, in seconds."""

    def is_cut(self, peer: str, instance: str) -> bool:
        """Returns whether messages between the two are lost."""

    def spawn(self, coro: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Runs ``coro`` in a task of its own that the network keeps alive."""

    def remove_connection(self, instance: str, conn: "MemoryConnection") -> None:
        """Removes a closed connection from the open ones."""


class MemoryConnection:
    """Implements `Connection` in memory.

    Answers arrive in the order of their statements. If a caller stops waiting for an
    answer, it stays unread and the next statement receives it, as over a socket.

    Args:
        network: Delays or loses the messages.
        peer: Name of the peer that opened the connection.
        target: The instance.

    Attributes:
        silent: All messages in both directions are lost, and the connection stays
            open. This is not undone.
    """

    def __init__(self, network: Network, *, peer: str, target: Instance) -> None:
        self.silent = False
        self._network = network
        self._peer = peer
        self._target = target
        self._session = InstanceSession(target)
        self._broken = asyncio.Event()
        self._answers: asyncio.Queue[Result | StatementError] = asyncio.Queue()
        self._execution_lock = asyncio.Lock()
        self._in_flight: dict[asyncio.Task[None], str] = {}

    async def execute(self, sql: str) -> Result:
        """Runs one statement.

        Raises:
            StatementError: The instance rejected it.
            ConnectionLostError: The answer did not arrive.
        """
        self._require_open()
        task = self._network.spawn(self._exchange(sql))
        self._in_flight[task] = sql
        task.add_done_callback(self._in_flight.pop)
        answer = await self._next_answer()
        if isinstance(answer, StatementError):
            raise answer
        return answer

    async def _next_answer(self) -> Result | StatementError:
        answer = asyncio.ensure_future(self._answers.get())
        broken = asyncio.ensure_future(self._broken.wait())
        try:
            await asyncio.wait([answer, broken], return_when=asyncio.FIRST_COMPLETED)
            if answer.done():
                return answer.result()
        finally:
            answer.cancel()
            broken.cancel()
        raise ConnectionLostError(f"{self._target.name}: connection reset")

    async def _exchange(self, sql: str) -> None:
        async with self._execution_lock:
            if not await self._deliver():
                return
            faults = self._target.faults
            if sql.startswith(COMMIT) and faults.late_commit_ms:
                delay_s, faults.late_commit_ms = faults.late_commit_ms / 1000, 0
                self._broken.set()
                await self._network.timers.sleep(delay_s)
            answer: Result | StatementError
            try:
                answer = await self._session.execute(sql)
            except StatementError as exc:
                answer = exc
            if faults.consume_answer_loss(sql):
                self.reset()
            if not await self._deliver():
                return
            self._answers.put_nowait(answer)
            if faults.double_answers and not sql.startswith(FETCH_CALL):
                faults.double_answers -= 1
                self._answers.put_nowait(answer)

    async def _deliver(self) -> bool:
        """Waits until one message is delivered and returns whether it arrived."""
        timers = self._network.timers
        await timers.sleep(self._network.one_way_s(self._peer, self._target))
        if self.silent:
            await asyncio.Event().wait()
        sent_at = timers.now()
        while self._network.is_cut(self._peer, self._target.name):
            if timers.now() - sent_at >= DELIVERY_TIMEOUT_S:
                self.reset()
                return False
            await timers.sleep(RETRANSMIT_INTERVAL_S)
        return True

    def _require_open(self) -> None:
        if self._broken.is_set():
            raise ConnectionLostError(f"{self._target.name}: connection reset")

    def has_unread(self) -> bool:
        """Returns whether an answer has arrived that no statement waits for."""
        return not self._answers.empty()

    def reset(self) -> None:
        """Closes the connection from the instance's side and cancels its statements."""
        self._close(keep_commit=False)

    def abort(self) -> None:
        """Closes the connection from the caller's side.

        A COMMIT that is in flight still arrives and takes effect.
        """
        self._close(keep_commit=True)

    def _close(self, *, keep_commit: bool) -> None:
        self._broken.set()
        self._network.remove_connection(self._target.name, self)
        current = asyncio.current_task()
        commit_in_flight = False
        for task, sql in list(self._in_flight.items()):
            if keep_commit and sql.startswith(COMMIT) and not self.silent:
                commit_in_flight = True
            elif task is not current:
                task.cancel()
        if not commit_in_flight:
            with contextlib.suppress(StatementError):
                self._session.rollback()
