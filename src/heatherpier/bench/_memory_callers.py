"""Proxies in memory, with the production code behind the sessions but no sockets."""

import asyncio
import random
from collections.abc import Callable

from heatherpier._session import Session
from heatherpier.bench._driver import (
    ANSWER_TIMEOUT_S,
    AnsweredError,
    CallerConnection,
    NoAnswerError,
    UnreachableError,
)
from heatherpier.requests import FinalError
from heatherpier.upstreams import Result


class MemoryEndpoint:
    """A proxy that callers connect to in memory; it can be killed and restarted.

    Args:
        name: Name of the proxy.
        start: Starts the proxy and returns a function that opens a session.
        stop: Stops the proxy abruptly, as a kill does.
        rng: Chooses which answers are lost.

    Attributes:
        answer_loss_rate: Share of answers, from 0 to 1, that are lost after their
            statement took effect.
    """

    def __init__(
        self,
        name: str,
        *,
        start: Callable[[], Callable[[], Session]],
        stop: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self.name = name
        self.answer_loss_rate = 0.0
        self._start = start
        self._stop = stop
        self._rng = rng
        self._killed = asyncio.Event()
        self._open_session = start()

    def kill(self) -> None:
        """Kills the proxy; all of its connections are lost."""
        if self._killed.is_set():
            return
        self._killed.set()
        self._stop()

    def restart(self) -> None:
        """Starts a killed proxy under the same name, without its earlier state."""
        if not self._killed.is_set():
            return
        self._killed = asyncio.Event()
        self._open_session = self._start()

    async def connect(self, database: str) -> CallerConnection:
        """Opens a connection.

        Raises:
            UnreachableError: The proxy is killed.
        """
        if self._killed.is_set():
            raise UnreachableError(f"{self.name}: connection refused")
        return _MemoryCallerConnection(
            self, self._open_session(), killed=self._killed, database=database
        )

    def draw_answer_loss(self) -> bool:
        """Returns whether the next answer is lost, as a random choice."""
        return self._rng.random() < self.answer_loss_rate


class _MemoryCallerConnection:
    """A caller's connection to a proxy in memory."""

    def __init__(
        self,
        proxy: MemoryEndpoint,
        session: Session,
        *,
        killed: asyncio.Event,
        database: str,
    ) -> None:
        self._proxy = proxy
        self._session = session
        self._killed = killed
        self._database = database
        self._closed = False

    async def execute(self, sql: str) -> Result:
        answer = asyncio.create_task(
            self._session.execute(sql, database=self._database, hints={})
        )
        killed = asyncio.create_task(self._killed.wait())
        try:
            await asyncio.wait(
                [answer, killed],
                timeout=ANSWER_TIMEOUT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if killed.done() or not answer.done() or self._proxy.draw_answer_loss():
                self.close()
                raise NoAnswerError(f"{self._proxy.name}: connection lost")
            return answer.result()
        except FinalError as exc:
            raise AnsweredError(exc.code, exc.message) from exc
        finally:
            answer.cancel()
            killed.cancel()
            await asyncio.gather(answer, killed, return_exceptions=True)

    def closed(self) -> bool:
        return self._closed or self._killed.is_set()

    def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        _CLOSING_TASKS.add(task := asyncio.create_task(self._session.close()))
        task.add_done_callback(_CLOSING_TASKS.discard)


_CLOSING_TASKS: set[asyncio.Task[None]] = set()
