"""Calls real proxies over the line protocol and records the answers."""

import asyncio
import itertools

from heatherpier.bench._call_history import CallHistory
from heatherpier.platform._line import parse_failure, parse_ready
from heatherpier.platform.tests._deployment import DATABASES, Deployment, ProxyProcess

# Time after which a caller closes its connection.
CALL_TIMEOUT_S = 4.0
CALL_PAUSE_S = 0.1

_ids = itertools.count(1)


class Callers:
    """Sends statements to the proxies of a deployment.

    Args:
        deployment: Deployment whose proxies are called.

    Attributes:
        history: Answers that the callers got.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.history = CallHistory()
        self._deployment = deployment
        self._timers = deployment.timers

    async def call(self, proxy: ProxyProcess, database: str, text: str) -> bool:
        """Runs one statement in a new session; returns whether it succeeded."""
        id_ = f"id-{next(_ids)}"
        began = self._timers.now()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer, position = await self._exchange(proxy, database, id_, text)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            # The proxy may have ended or be paused. The statement may have run.
            return False
        if answer.startswith("ERR"):
            if parse_failure(answer.removeprefix("ERR ")).not_run:
                self.history.not_run.append(id_)
            return False
        if position is None:
            return False
        now = self._timers.now()
        if text.startswith("WRITE"):
            self.history.writes.append((began, now, position))
        else:
            fresh_at = began - DATABASES[database][1] / 1000
            self.history.reads.append((fresh_at, began, position))
        return True

    async def _exchange(self, proxy: ProxyProcess, database: str, id_: str, text: str):
        reader, writer = await asyncio.open_connection(
            proxy.host, self._deployment.callers_port
        )
        try:
            writer.write(f"START {database} caller\r\nQUERY {id_} {text}\r\n".encode())
            started = (await reader.readuntil(b"\r\n")).decode().strip()
            if started.startswith("ERR"):
                return started, None
            answer = ""
            while True:
                line = (await reader.readuntil(b"\r\n")).decode().strip()
                if line.startswith("READY"):
                    ready = parse_ready(line.removeprefix("READY "))
                    return answer, ready.position
                answer = line
        finally:
            writer.transport.abort()

    async def generate_load(self, proxy: ProxyProcess, stop: asyncio.Event) -> None:
        """Sends writes and reads to one proxy until ``stop`` is set."""
        while not stop.is_set():
            for database, text in (
                ("exact", "WRITE claim"),
                ("exact", "READ claim"),
                ("aged", "READ claim"),
            ):
                await self.call(proxy, database, text)
            await self._timers.sleep(CALL_PAUSE_S)

    async def wait_until_served(self, timeout_s: float) -> bool:
        """Returns whether every proxy serves a write within ``timeout_s`` in total."""
        until = self._timers.now() + timeout_s
        for proxy in self._deployment.proxies:
            while not await self.call(proxy, "exact", "WRITE claim"):
                if self._timers.now() >= until:
                    return False
                await self._timers.sleep(CALL_PAUSE_S)
        return True
