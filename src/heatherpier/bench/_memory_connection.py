"""One connection in memory, with answers in the order that a socket keeps."""

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import Any, Protocol

from heatherpier.bench._dialog import Dialog
from heatherpier.bench._instance import Instance
from heatherpier.timers import Timers
from heatherpier.upstreams import ConnectionLostError, Result, StatementError

RETRANSMIT_S = 0.1
# A message that can't be delivered for this long is given up by the kernel.
GIVE_UP_S = 5.0
COMMIT = "COMMIT"
# Replication between the stand-ins is no part of what is tested.
FETCH = "CALL group_fetch"


class Network(Protocol):
    """What a connection needs from the network."""

    timers: Timers

    def one_way_s(self, peer: str, target: Instance) -> float:
        """Returns the time that a message travels, in seconds."""

    def is_cut(self, peer: str, instance: str) -> bool:
        """Tells whether messages between the two are lost."""

    def spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Runs ``work`` apart from what caused it."""

    def forget(self, instance: str, conn: "MemoryConnection") -> None:
        """Takes in that a connection is closed."""


class MemoryConnection:
    """Implements `Connection` in memory.

    Answers come in the order of their statements. One that was not waited for
    stays unread and is what the next statement gets, as on a socket.

    Args:
        network: Carries messages.
        peer: Who opened the connection.
        target: The instance.

    Attributes:
        silent: Everything sent from now on is lost, both ways, for good.
    """

    def __init__(self, network: Network, *, peer: str, target: Instance) -> None:
        self.silent = False
        self._network = network
        self._peer = peer
        self._target = target
        self._dialog = Dialog(target)
        self._broken = asyncio.Event()
        self._answers: asyncio.Queue[Result | StatementError] = asyncio.Queue()
        self._order = asyncio.Lock()
        self._running: dict[asyncio.Task[None], str] = {}

    async def execute(self, sql: str) -> Result:
        """Runs one statement.

        Raises:
            StatementError: The instance refused it.
            ConnectionLostError: The answer did not arrive.
        """
        self._require_open()
        task = self._network.spawn(self._exchange(sql))
        self._running[task] = sql
        task.add_done_callback(self._running.pop)
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
        async with self._order:
            if not await self._travel():
                return
            faults = self._target.faults
            if sql.startswith(COMMIT) and faults.late_commit_ms:
                delay_s, faults.late_commit_ms = faults.late_commit_ms / 1000, 0
                self._broken.set()
                await self._network.timers.sleep(delay_s)
            answer: Result | StatementError
            try:
                answer = await self._dialog.execute(sql)
            except StatementError as exc:
                answer = exc
            if faults.takes_answer(sql):
                self.break_off()
            if not await self._travel():
                return
            self._answers.put_nowait(answer)
            if faults.double_answers and not sql.startswith(FETCH):
                faults.double_answers -= 1
                self._answers.put_nowait(answer)

    async def _travel(self) -> bool:
        """Carries one message and tells whether it arrived."""
        timers = self._network.timers
        await timers.sleep(self._network.one_way_s(self._peer, self._target))
        if self.silent:
            await asyncio.Event().wait()
        sent_at = timers.now()
        while self._network.is_cut(self._peer, self._target.name):
            if timers.now() - sent_at >= GIVE_UP_S:
                self.break_off()
                return False
            await timers.sleep(RETRANSMIT_S)
        return True

    def _require_open(self) -> None:
        if self._broken.is_set():
            raise ConnectionLostError(f"{self._target.name}: connection reset")

    def has_unread(self) -> bool:
        """Tells whether something has arrived that no statement waits for."""
        return not self._answers.empty()

    def break_off(self) -> None:
        """Closes the connection from the instance's side."""
        self._close(keep_commit=False)

    def abort(self) -> None:
        """Closes the connection from the caller's side.

        A COMMIT that is on its way still arrives and takes effect.
        """
        self._close(keep_commit=True)

    def _close(self, *, keep_commit: bool) -> None:
        self._broken.set()
        self._network.forget(self._target.name, self)
        current = asyncio.current_task()
        on_its_way = False
        for task, sql in list(self._running.items()):
            if keep_commit and sql.startswith(COMMIT) and not self.silent:
                on_its_way = True
            elif task is not current:
                task.cancel()
        if not on_its_way:
            with contextlib.suppress(StatementError):
                self._dialog.rollback()
