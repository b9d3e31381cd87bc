"""Callers of real proxies, and what they saw."""

import asyncio
import itertools

from heatherpier.bench._line_history import History
from heatherpier.platform._line import parse_failure, parse_ready
from heatherpier.platform.tests._deployment import DATABASES, Deployment, ProxyProcess

# A caller gives its connection up after this long.
PATIENCE_S = 4.0
PAUSE_S = 0.1

_ids = itertools.count(1)


class Callers:
    """Asks proxies of a deployment.

    Args:
        deployment: The deployment.

    Attributes:
        history: What they saw.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.history = History()
        self._deployment = deployment
        self._timers = deployment.timers

    async def call(self, proxy: ProxyProcess, kind: str, text: str) -> bool:
        """Asks one statement on a new session; tells whether it was served."""
        id_ = f"id-{next(_ids)}"
        began = self._timers.now()
        try:
            async with asyncio.timeout(PATIENCE_S):
                answer, position = await self._exchange(proxy, kind, id_, text)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            # The proxy may be gone or paused; nothing is known of the statement.
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
            fresh_at = began - DATABASES[kind][1] / 1000
            self.history.reads.append((fresh_at, began, position))
        return True

    async def _exchange(self, proxy: ProxyProcess, kind: str, id_: str, text: str):
        reader, writer = await asyncio.open_connection(
            proxy.host, self._deployment.front
        )
        try:
            writer.write(f"START {kind} caller\r\nQUERY {id_} {text}\r\n".encode())
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

    async def press(self, proxy: ProxyProcess, stop: asyncio.Event) -> None:
        """Writes and reads through one proxy until told to stop."""
        while not stop.is_set():
            for kind, text in (
                ("exact", "WRITE claim"),
                ("exact", "READ claim"),
                ("aged", "READ claim"),
            ):
                await self.call(proxy, kind, text)
            await self._timers.sleep(PAUSE_S)

    async def wait_until_served(self, limit_s: float) -> bool:
        """Tells whether every proxy serves a write within a time."""
        until = self._timers.now() + limit_s
        for proxy in self._deployment.proxies:
            while not await self.call(proxy, "exact", "WRITE claim"):
                if self._timers.now() >= until:
                    return False
                await self._timers.sleep(PAUSE_S)
        return True
