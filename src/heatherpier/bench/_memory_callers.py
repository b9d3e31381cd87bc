"""Proxies in memory: the real decision code, reached without sockets."""

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
    """A proxy that callers reach in memory.

    Args:
        name: Name of the proxy.
        start: Starts the proxy and returns what opens its sessions.
        stop: Ends what `start` began, without a goodbye.
        rng: Chooses which answers are lost.

    Attributes:
        lost_answers: Share of answers that are lost after the effect, from 0 to 1.
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
        self.lost_answers = 0.0
        self._start = start
        self._stop = stop
        self._rng = rng
        self._dead = asyncio.Event()
        self._open_session = start()

    def kill(self) -> None:
        """Ends the proxy; all of its connections are lost."""
        if self._dead.is_set():
            return
        self._dead.set()
        self._stop()

    def restart(self) -> None:
        """Starts a new proxy under the same name, with nothing kept."""
        if not self._dead.is_set():
            return
        self._dead = asyncio.Event()
        self._open_session = self._start()

    async def connect(self, database: str) -> CallerConnection:
        """Opens a connection."""
        if self._dead.is_set():
            raise UnreachableError(f"{self.name}: connection refused")
        return _MemoryCaller(self, self._open_session(), dead=self._dead, db=database)

    def loses_answer(self) -> bool:
        """Tells whether the next answer is lost."""
        return self._rng.random() < self.lost_answers


class _MemoryCaller:
    """A caller's connection to a proxy in memory."""

    def __init__(
        self, proxy: MemoryEndpoint, session: Session, *, dead: asyncio.Event, db: str
    ) -> None:
        self._proxy = proxy
        self._session = session
        self._dead = dead
        self._database = db
        self._closed = False

    async def execute(self, sql: str) -> Result:
        work = asyncio.create_task(
            self._session.execute(sql, database=self._database, hints={})
        )
        dead = asyncio.create_task(self._dead.wait())
        try:
            await asyncio.wait(
                [work, dead],
                timeout=ANSWER_TIMEOUT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if dead.done() or not work.done() or self._proxy.loses_answer():
                self.close()
                raise NoAnswerError(f"{self._proxy.name}: connection lost")
            return work.result()
        except FinalError as exc:
            raise AnsweredError(exc.code, exc.message) from exc
        finally:
            work.cancel()
            dead.cancel()
            await asyncio.gather(work, dead, return_exceptions=True)

    def closed(self) -> bool:
        return self._closed or self._dead.is_set()

    def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        _BACKGROUND.add(task := asyncio.create_task(self._session.close()))
        task.add_done_callback(_BACKGROUND.discard)


_BACKGROUND: set[asyncio.Task[None]] = set()
