"""Real proxies on loopback under random faults from outside, under load."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import random
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from heatherpier.bench import free_ports
from heatherpier.bench._line_group import LineGroup, LineInstance
from heatherpier.bench._line_history import History
from heatherpier.bench._row_store import MemoryRowStore
from heatherpier.platform._line import parse_failure, parse_ready
from heatherpier.platform.tests._stand_ins import (
    HOST,
    InstanceServer,
    StoreServer,
    instance_row,
)
from heatherpier.timers import LoopTimers

ZONES = ("north-a", "central-a", "south-a")
SERVICE = "claims"
MAX_AGE_S = 1.5
STATEMENT_TIMEOUT_S = 0.8
GRACE_S = 3.0
READY_S = 20.0
# A caller gives its connection up after this long.
PATIENCE_S = 4.0
PAUSE_S = 0.1
FAULT_GAP_S = 1.0
LONGEST_FAULT_S = 5.0
# The longest wait for rights of proxies that don't answer, a promotion, and rests.
RECOVERY_S = 25.0
MAIN = "import sys; from heatherpier._serve import main; main(sys.argv[1])"
DATABASES = {
    "exact": ("primary", 0),
    "aged": ("bounded_staleness", MAX_AGE_S * 1000),
}

Fault = Callable[[float], Awaitable[None]]

_ids = itertools.count(1)


class ProxyProcess:
    """One proxy with its settings file; started again after each end."""

    def __init__(self, name: str, *, host: str, settings: Path, program: str) -> None:
        self.name = name
        self.host = host
        # Exit codes of stops by SIGTERM.
        self.exits: list[int] = []
        self.errors = b""
        self._settings = settings
        self._program = program
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process."""
        command = [sys.executable, "-c", self._program, str(self._settings)]
        with self._settings.with_suffix(".log").open("ab") as output:
            self._process = await asyncio.create_subprocess_exec(
                *command,
                stdout=output,
                stderr=asyncio.subprocess.PIPE,
            )

    def signal(self, number: int) -> None:
        """Sends a signal unless the process has ended."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def ended(self) -> int:
        """Waits for the process and returns its exit code."""
        assert self._process is not None
        _, errors = await self._process.communicate()
        self.errors += errors
        code = self._process.returncode
        assert code is not None
        return code


class Soak:
    """A deployment on loopback.

    Args:
        folder: Where settings and logs of the proxies go.
        seed: Seed of all faults.
        proxies: Count of proxies.
        program: Python source that runs a proxy by its settings file.
        hand_overs_only: Whether all faults are primaries that leave unheard.
    """

    def __init__(
        self,
        folder: Path,
        *,
        seed: int,
        proxies: int = 4,
        program: str = MAIN,
        hand_overs_only: bool = False,
    ) -> None:
        self._hand_overs_only = hand_overs_only
        self.rng = random.Random(seed)
        self.timers = LoopTimers()
        self.store = MemoryRowStore(timers=self.timers)
        self.group = LineGroup(SERVICE, zones=list(ZONES), timers=self.timers)
        self.history = History()
        self.late: list[str] = []
        self._folder = folder
        self._stores = StoreServer(self.store, {SERVICE: self.group})
        self._instances: dict[str, tuple[InstanceServer, int]] = {}
        self.proxies = [
            ProxyProcess(
                f"proxy-{number}",
                host=f"127.0.1.{number + 1}",
                settings=folder / f"proxy-{number}.yaml",
                program=program,
            )
            for number in range(proxies)
        ]
        self.front, self._ready, self._inner, _ = free_ports(4)
        self._busy: set[str] = set()

    async def __aenter__(self) -> "Soak":
        self.store.write("op", "config", json.dumps(self._configuration()).encode())
        for instance in self.group.instances.values():
            server = InstanceServer(self.group, instance, timers=self.timers)
            self._instances[instance.name] = (server, await server.start())
            self.register(instance)
        for proxy, port in zip(
            self.proxies, free_ports(len(self.proxies)), strict=True
        ):
            await self._stores.start(proxy.name, port=port)
            self._write_settings(proxy, store_port=port)
            await proxy.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for proxy in self.proxies:
            proxy.signal(signal.SIGCONT)
            proxy.signal(signal.SIGKILL)
            await proxy.ended()
        for server, _ in self._instances.values():
            await server.close()
        await self._stores.close()

    def register(self, instance: LineInstance) -> None:
        """Has an instance say in the store how it is."""
        port = self._instances[instance.name][1]
        row = instance_row(instance, service=SERVICE, port=port)
        self.store.write("servers", instance.name, row)

    def _configuration(self) -> dict[str, object]:
        routes = [
            {
                "host": name,
                "kind": kind,
                "maxStalenessMs": age_ms,
                "timeoutMs": STATEMENT_TIMEOUT_S * 1000,
                "targetLatencyMs": 400,
                "priority": 1,
                "service": SERVICE,
            }
            for name, (kind, age_ms) in DATABASES.items()
        ]
        services = [{"name": SERVICE, "maxConns": 40}]
        return {"version": 1, "routes": routes, "services": services, "limits": {}}

    def _write_settings(self, proxy: ProxyProcess, *, store_port: int) -> None:
        number = self.proxies.index(proxy)
        settings = {
            "node": proxy.name,
            "ip": proxy.host,
            "zone": ZONES[number % len(ZONES)],
            "zones": {zone: zone.removesuffix("-a") for zone in ZONES},
            "listen": {
                "front": f"{proxy.host}:{self.front}",
                "ready": f"{proxy.host}:{self._ready}",
            },
            "internalPorts": [self._inner, self._inner + 1],
            "seeds": [f"{item.host}:1" for item in self.proxies[:3]],
            "platform": {"address": f"{HOST}:{store_port}"},
            "cloudApi": {"address": f"{HOST}:{store_port}"},
            "bounds": {"graceS": GRACE_S},
        }
        path = self._folder / f"{proxy.name}.yaml"
        path.write_text(json.dumps(settings))

    # Callers

    async def call(self, proxy: ProxyProcess, kind: str, text: str) -> bool:
        """Asks one statement on a new session; tells whether it was served."""
        id_ = f"id-{next(_ids)}"
        began = self.timers.now()
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
        now = self.timers.now()
        if text.startswith("WRITE"):
            self.history.writes.append((began, now, position))
        else:
            fresh_at = began - DATABASES[kind][1] / 1000
            self.history.reads.append((fresh_at, began, position))
        return True

    async def _exchange(self, proxy: ProxyProcess, kind: str, id_: str, text: str):
        reader, writer = await asyncio.open_connection(proxy.host, self.front)
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
            await self.timers.sleep(PAUSE_S)

    async def wait_until_served(self, limit_s: float) -> bool:
        """Tells whether every proxy serves a write within a time."""
        until = self.timers.now() + limit_s
        for proxy in self.proxies:
            while not await self.call(proxy, "exact", "WRITE claim"):
                if self.timers.now() >= until:
                    return False
                await self.timers.sleep(PAUSE_S)
        return True

    # Faults

    def _kinds(self) -> list[Fault]:
        if self._hand_overs_only:
            return [self._hand_over]
        return [
            self._kill,
            self._terminate,
            self._pause,
            self._crash,
            self._silence,
            self._cut,
            self._strand,
            self._reset,
            self._leave,
            self._hand_over,
            self._part_from_store,
            self._refuse_store,
            self._lose_answers,
            self._forget_history,
        ]

    async def break_things(self, for_s: float) -> None:
        """Draws faults that overlap, and ends them all."""
        until = self.timers.now() + for_s
        async with asyncio.TaskGroup() as tasks:
            while self.timers.now() < until:
                kind = self.rng.choice(self._kinds())
                tasks.create_task(kind(self.rng.uniform(0.2, LONGEST_FAULT_S)))
                await self.timers.sleep(self.rng.expovariate(1 / FAULT_GAP_S))
        self.store.faults.lose_answers = 0

    @contextlib.contextmanager
    def _one_proxy(self):
        """Lends a proxy that no other signal is being sent to, or None."""
        free = [item for item in self.proxies if item.name not in self._busy]
        proxy = self.rng.choice(free) if free else None
        if proxy is not None:
            self._busy.add(proxy.name)
        try:
            yield proxy
        finally:
            if proxy is not None:
                self._busy.discard(proxy.name)

    def _one_instance(self) -> LineInstance:
        return self.rng.choice(list(self.group.instances.values()))

    def _primary(self) -> LineInstance | None:
        """Returns the newest primary; none leads while one is being promoted."""
        leading = any(item.leads for item in self.group.instances.values())
        return self.group.primary() if leading else None

    def _some_names(self) -> set[str]:
        names = [item.name for item in self.proxies]
        return set(self.rng.sample(names, len(names) // 2))

    async def _kill(self, for_s: float) -> None:
        await self._end(signal.SIGKILL, for_s)

    async def _terminate(self, for_s: float) -> None:
        await self._end(signal.SIGTERM, for_s)

    async def _end(self, number: int, for_s: float) -> None:
        with self._one_proxy() as proxy:
            if proxy is None:
                return
            listening = await self._listens(proxy)
            proxy.signal(number)
            code = await proxy.ended()
            # A process that has not come so far has nobody to serve to the end.
            if number == signal.SIGTERM and listening:
                proxy.exits.append(code)
            await self.timers.sleep(for_s / 2)
            await proxy.start()

    async def _listens(self, proxy: ProxyProcess) -> bool:
        try:
            _, writer = await asyncio.open_connection(proxy.host, self.front)
        except OSError:
            # Nobody listens, which is the answer.
            return False
        writer.transport.abort()
        return True

    async def _pause(self, for_s: float) -> None:
        with self._one_proxy() as proxy:
            if proxy is None:
                return
            proxy.signal(signal.SIGSTOP)
            await self.timers.sleep(for_s)
            proxy.signal(signal.SIGCONT)

    async def _crash(self, for_s: float) -> None:
        instance = self._one_instance()
        instance.running = False
        self._instances[instance.name][0].reset()
        await self.timers.sleep(for_s)
        instance.running = True
        newest = self._primary()
        if newest is not None and newest is not instance:
            instance.leads = False
            instance.term = newest.term
            instance.log = list(newest.log)

    async def _silence(self, for_s: float) -> None:
        instance = self._one_instance()
        instance.silent = True
        await self.timers.sleep(for_s)
        instance.silent = False

    async def _cut(self, for_s: float) -> None:
        instance, names = self._one_instance(), self._some_names()
        instance.cut_from |= names
        await self.timers.sleep(for_s)
        instance.cut_from -= names

    async def _strand(self, for_s: float) -> None:
        """Leaves the primary to one proxy without store."""
        name = self.rng.choice(self.proxies).name
        others = {item.name for item in self.proxies} - {name}
        primary = self._primary()
        if primary is None:
            return
        primary.cut_from |= others
        self.store.faults.silent.add(name)
        await self.timers.sleep(for_s)
        primary.cut_from -= others
        self.store.faults.silent.discard(name)

    async def _reset(self, for_s: float) -> None:
        self._instances[self._one_instance().name][0].reset()

    async def _hand_over(self, for_s: float) -> None:
        """Has the primary leave while some proxies hear nothing of the store."""
        primary, names = self._primary(), self._some_names()
        if primary is None:
            return
        self.store.faults.silent |= names
        await self._set_leaving(primary, for_s)
        self.store.faults.silent -= names

    async def _leave(self, for_s: float) -> None:
        await self._set_leaving(self._one_instance(), for_s)

    async def _set_leaving(self, instance: LineInstance, for_s: float) -> None:
        staying = instance.record
        if staying.instance.leaving:
            return
        leaving = dataclasses.replace(staying.instance, leaving=True)
        instance.record = dataclasses.replace(staying, instance=leaving)
        self.register(instance)
        await self.timers.sleep(for_s)
        instance.record = staying
        self.register(instance)

    async def _part_from_store(self, for_s: float) -> None:
        names = self._some_names()
        self.store.faults.silent |= names
        await self.timers.sleep(for_s)
        self.store.faults.silent -= names

    async def _refuse_store(self, for_s: float) -> None:
        names = self._some_names()
        self.store.faults.refused |= names
        await self.timers.sleep(for_s)
        self.store.faults.refused -= names

    async def _lose_answers(self, for_s: float) -> None:
        self.store.faults.lose_answers += 1
        self.store.faults.late_s = self.rng.choice([0.0, 0.5, 2.0])

    async def _forget_history(self, for_s: float) -> None:
        self.store.forget_history()


async def play(
    folder: Path, *, seed: int, for_s: float, **options: Any
) -> tuple[Soak, bool]:
    """Plays one seed.

    Args:
        folder: Where settings and logs of the proxies go.
        seed: Seed of all faults.
        for_s: For how long faults are drawn, in seconds.
        **options: Further arguments of `Soak`.

    Returns:
        The deployment, and whether all proxies served again afterwards.
    """
    folder.mkdir(parents=True, exist_ok=True)
    async with Soak(folder, seed=seed, **options) as soak:
        assert await soak.wait_until_served(READY_S)
        stop = asyncio.Event()
        pressing = [
            asyncio.create_task(soak.press(proxy, stop)) for proxy in soak.proxies
        ]
        await soak.break_things(for_s)
        served = await soak.wait_until_served(RECOVERY_S)
        stop.set()
        await asyncio.gather(*pressing)
        return soak, served
