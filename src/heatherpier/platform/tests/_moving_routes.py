"""A route that moves between services while its sessions stay open and replicas lag."""

import asyncio
import contextlib
import itertools
import random

from heatherpier.bench._fault_injector import FAULTY_LAG_S, NORMAL_LAG_S
from heatherpier.bench._simulated_group import SimulatedGroup
from heatherpier.platform._line import Ready, parse_ready
from heatherpier.platform.tests._deployment import (
    MOVING_DATABASE,
    Deployment,
    ProxyProcess,
)
from heatherpier.positions import LogPosition
from heatherpier.statements import SessionState

# Time between two moves, and between two changes of the lag of a service's replicas.
MOVE_S = (0.05, 0.5)
LAG_S = (0.5, 2.0)
LAGGING_SHARE = 0.85
ANSWER_TIMEOUT_S = 4.0
PAUSE_S = 0.05
SESSIONS_PER_PROXY = 3
OPERATIONS = (
    ("READ claim",),
    ("READ claim",),
    ("WRITE claim",),
    ("BEGIN", "WRITE claim", "READ claim", "COMMIT"),
    ("BEGIN READ", "READ claim", "COMMIT"),
)

_ids = itertools.count(1)


class MovingSessions:
    """Sessions that stay open while their route moves, and what their reads lack.

    Args:
        deployment: Deployment with two services.
        rng: Draws the operations, the moves and the lags.
    """

    def __init__(self, deployment: Deployment, *, rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng
        self._timers = deployment.timers

    async def run(self, stop: asyncio.Event) -> None:
        """Moves the route and uses sessions until ``stop`` is set.

        Records in the deployment which reads lack a commit of their session. A commit
        that a promotion has rolled back does not count.
        """
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._move(stop))
            for group in self._deployment.groups.values():
                tasks.create_task(self._lag(group, stop))
            for proxy in self._deployment.proxies * SESSIONS_PER_PROXY:
                tasks.create_task(self._use(proxy, stop))
        kept = {
            (service, position)
            for service, group in self._deployment.groups.items()
            for position, _ in group.primary().log
        }
        self._deployment.missed_commits = [
            (service, read, commit)
            for service, read, commit in self._deployment.missed_commits
            if (service, commit) in kept
        ]

    async def _move(self, stop: asyncio.Event) -> None:
        for service in itertools.cycle(reversed(self._deployment.groups)):
            if stop.is_set():
                return
            self._deployment.configure(moved_to=service)
            await self._timers.sleep(self._rng.uniform(*MOVE_S))

    async def _lag(self, group: SimulatedGroup, stop: asyncio.Event) -> None:
        while not stop.is_set():
            lags = self._rng.random() < LAGGING_SHARE
            for instance in group.instances.values():
                instance.lag_s = FAULTY_LAG_S if lags else NORMAL_LAG_S
            await self._timers.sleep(self._rng.uniform(*LAG_S))
        for instance in group.instances.values():
            instance.lag_s = NORMAL_LAG_S

    async def _use(self, proxy: ProxyProcess, stop: asyncio.Event) -> None:
        while not stop.is_set():
            # The proxy may have ended or be paused; its sessions end with it.
            with contextlib.suppress(
                OSError, TimeoutError, asyncio.IncompleteReadError
            ):
                await self._use_session(proxy, stop)
            await self._timers.sleep(PAUSE_S)

    async def _use_session(self, proxy: ProxyProcess, stop: asyncio.Event) -> None:
        """Uses a session until its connection ends."""
        reader, writer = await asyncio.open_connection(
            proxy.host, self._deployment.callers_port
        )
        # Position of the session's last commit, by service.
        commits: dict[str, LogPosition] = {}
        try:
            writer.write(f"START {MOVING_DATABASE} caller\r\n".encode())
            await _read_answer(reader)
            while not stop.is_set():
                await self._run_operation(reader, writer, commits)
                await self._timers.sleep(self._rng.uniform(0, PAUSE_S))
        finally:
            writer.transport.abort()

    async def _run_operation(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        commits: dict[str, LogPosition],
    ) -> None:
        before = dict(commits)
        texts = self._rng.choice(OPERATIONS)
        for text in texts:
            writer.write(f"QUERY own-{next(_ids)} {text}\r\n".encode())
            answer, ready = await _read_answer(reader)
            if answer.startswith("ERR"):
                if ready.state is not SessionState.IDLE:
                    raise ConnectionError(answer)
                return
            # The last word is the instance, whose number is 0 for the first primary.
            service, _, number = answer.rpartition(" ")[2].rpartition("-")
            if not service or ready.position is None:
                continue
            if text == "READ claim":
                self._deployment.replica_reads += number != "0"
                if service in before and ready.position < before[service]:
                    self._deployment.missed_commits.append(
                        (service, ready.position, before[service])
                    )
            elif text == texts[-1] and "WRITE claim" in texts:
                commits[service] = ready.position


async def _read_answer(reader: asyncio.StreamReader) -> tuple[str, Ready]:
    """Returns the last line of an answer before its end, and the end."""
    answer = ""
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while True:
            line = (await reader.readuntil(b"\r\n")).decode().strip()
            if line.startswith("READY"):
                return answer, parse_ready(line.removeprefix("READY "))
            answer = line
