"""Runs proxies as processes on loopback against simulated instances and a store."""

import asyncio
import json
import signal
import sys
from pathlib import Path

from heatherpier.bench import free_ports
from heatherpier.bench._row_store import MemoryRowStore
from heatherpier.bench._simulated_group import SimulatedGroup, SimulatedInstance
from heatherpier.platform.tests._peer_relays import RELAYS_KEY, PeerRelays
from heatherpier.platform.tests._stand_ins import (
    HOST,
    InstanceServer,
    StoreServer,
    instance_row,
)
from heatherpier.positions import LogPosition
from heatherpier.timers import LoopTimers

ZONES = ("north-a", "central-a", "south-a")
SERVICE = "claims"
# Service that the route of `MOVING_DATABASE` moves to and from.
OTHER_SERVICE = "archive"
MOVING_DATABASE = "own"
MAX_AGE_S = 1.5
STATEMENT_TIMEOUT_S = 0.8
GRACE_S = 3.0
# Time for which an instance accepts work after it has said that it leaves.
DRAIN_S = 7.0
PROXY_PROGRAM = (
    "import sys\n"
    "from heatherpier._serve import main\n"
    "from heatherpier.platform.tests._peer_relays import redirect_peers\n"
    "redirect_peers(sys.argv[1])\n"
    "main(sys.argv[1])\n"
)
# Kind and maximum staleness in milliseconds of each database.
DATABASES = {
    "exact": ("primary", 0),
    "aged": ("bounded_staleness", MAX_AGE_S * 1000),
    MOVING_DATABASE: ("read_own_writes", MAX_AGE_S * 1000),
}


class ProxyProcess:
    """A proxy that can be started again with the same settings after it has ended.

    Args:
        name: Name of the proxy.
        host: Address that the proxy listens on.
        settings: Settings file; the standard output goes to a file beside it.
        program: Python source that runs a proxy with the settings file given as the
            first argument.

    Attributes:
        sigterm_exit_codes: Exit codes after SIGTERM.
        stderr: Error output of all runs that have ended.
    """

    def __init__(self, name: str, *, host: str, settings: Path, program: str) -> None:
        self.name = name
        self.host = host
        self.sigterm_exit_codes: list[int] = []
        self.stderr = b""
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

    async def wait_until_ended(self) -> int:
        """Waits until the process ends, and returns its exit code."""
        assert self._process is not None
        _, errors = await self._process.communicate()
        self.stderr += errors
        code = self._process.returncode
        assert code is not None
        return code


class Deployment:
    """Runs proxies, simulated groups and a simulated store.

    Args:
        folder: Folder for the settings and logs of the proxies.
        proxies: Number of proxies.
        program: Python source that runs a proxy with the settings file given as the
            first argument.
        moves: Whether there is a second service, which a route can move to.

    Attributes:
        timers: Timer service.
        store: Store of the deployment.
        group: Group of the first service, which faults hit.
        groups: Groups by service.
        proxies: All proxies, also those that have ended.
        relays: Relays of the connections between proxies.
        callers_port: Port for callers, on the address of each proxy.
        lost: Names of the instances that are lost for good.
        late_work: Times in seconds since an instance said that it leaves at which new
            work reached it, beyond `DRAIN_S`.
        latest_work_s: The latest such time of all leaving instances, late or not.
        missed_commits: For each read of a session whose route moves that lacks a commit
            of its session: the service, the position read and that of the commit.
        replica_reads: Number of reads of such sessions that replicas ran.
    """

    def __init__(
        self,
        folder: Path,
        *,
        proxies: int = 4,
        program: str = PROXY_PROGRAM,
        moves: bool = False,
    ) -> None:
        self.timers = LoopTimers()
        self.store = MemoryRowStore(timers=self.timers)
        services = (SERVICE, OTHER_SERVICE) if moves else (SERVICE,)
        self.groups = {
            name: SimulatedGroup(name, zones=list(ZONES), timers=self.timers)
            for name in services
        }
        self.group = self.groups[SERVICE]
        self._configuration_version = 0
        self.lost: set[str] = set()
        self.late_work: list[float] = []
        self.latest_work_s = 0.0
        self.missed_commits: list[tuple[str, LogPosition, LogPosition]] = []
        self.replica_reads = 0
        self._folder = folder
        self._store_server = StoreServer(self.store, self.groups)
        self._instance_servers: dict[str, tuple[InstanceServer, int]] = {}
        self.proxies = [
            ProxyProcess(
                f"proxy-{number}",
                host=f"127.0.1.{number + 1}",
                settings=folder / f"proxy-{number}.yaml",
                program=program,
            )
            for number in range(proxies)
        ]
        self.callers_port, self._ready_port, self._internal_port, _ = free_ports(4)
        self.relays = PeerRelays(
            {proxy.name: proxy.host for proxy in self.proxies},
            port=self._internal_port,
            timers=self.timers,
        )

    async def __aenter__(self) -> "Deployment":
        self.configure()
        for group in self.groups.values():
            for instance in group.instances.values():
                server = InstanceServer(group, instance, timers=self.timers)
                self._instance_servers[instance.name] = (server, await server.start())
                self.register(instance)
        relay_ports = await self.relays.start()
        for proxy, port in zip(
            self.proxies, free_ports(len(self.proxies)), strict=True
        ):
            await self._store_server.start(proxy.name, port=port)
            self._write_settings(
                proxy, store_port=port, relay_ports=relay_ports[proxy.name]
            )
            await proxy.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for proxy in self.proxies:
            proxy.signal(signal.SIGCONT)
            proxy.signal(signal.SIGKILL)
            await proxy.wait_until_ended()
        await self.relays.close()
        for server, _ in self._instance_servers.values():
            await server.close()
        await self._store_server.close()

    def register(self, instance: SimulatedInstance) -> None:
        """Writes the current entry of an instance to the store."""
        port = self._instance_servers[instance.name][1]
        row = instance_row(instance, service=instance.record.service, port=port)
        self.store.write("servers", instance.name, row)

    def unregister(self, instance: SimulatedInstance) -> None:
        """Removes the entry of an instance from the store."""
        self.store.write("servers", instance.name, None)

    def lose(self, instance: SimulatedInstance) -> None:
        """Loses an instance for good."""
        self.lost.add(instance.name)
        instance.running = False
        self.unregister(instance)
        self.reset(instance)

    def note_leave(self, instance: SimulatedInstance, announced_at: float) -> None:
        """Records when new work reached an instance that has left.

        Args:
            instance: The instance.
            announced_at: Monotonic time in seconds of its announcement.
        """
        server = self._instance_servers[instance.name][0]
        times = [at - announced_at for at in server.new_work if at > announced_at]
        self.latest_work_s = max(self.latest_work_s, *times, 0.0)
        self.late_work += [time_s for time_s in times if time_s > DRAIN_S]

    def reset(self, instance: SimulatedInstance) -> None:
        """Resets all connections of an instance."""
        self._instance_servers[instance.name][0].reset()

    def configure(self, *, moved_to: str = SERVICE) -> None:
        """Writes a new configuration.

        Args:
            moved_to: Service that serves `MOVING_DATABASE`.
        """
        self._configuration_version += 1
        body = self._configuration(self._configuration_version, moved_to)
        self.store.write("op", "config", json.dumps(body).encode())

    def _configuration(self, version: int, moved_to: str) -> dict[str, object]:
        routes = [
            {
                "host": name,
                "kind": kind,
                "maxStalenessMs": age_ms,
                "timeoutMs": STATEMENT_TIMEOUT_S * 1000,
                "targetLatencyMs": 400,
                "priority": 1,
                "service": moved_to if name == MOVING_DATABASE else SERVICE,
            }
            for name, (kind, age_ms) in DATABASES.items()
        ]
        services = [{"name": name, "maxConns": 40} for name in self.groups]
        return {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {},
        }

    def _write_settings(
        self, proxy: ProxyProcess, *, store_port: int, relay_ports: dict[str, int]
    ) -> None:
        number = self.proxies.index(proxy)
        settings = {
            "node": proxy.name,
            "ip": proxy.host,
            "zone": ZONES[number % len(ZONES)],
            "zones": {zone: zone.removesuffix("-a") for zone in ZONES},
            "listen": {
                "front": f"{proxy.host}:{self.callers_port}",
                "ready": f"{proxy.host}:{self._ready_port}",
            },
            "internalPorts": [self._internal_port, self._internal_port + 1],
            "seeds": [f"{item.host}:1" for item in self.proxies[:3]],
            "platform": {"address": f"{HOST}:{store_port}"},
            "cloudApi": {"address": f"{HOST}:{store_port}"},
            "bounds": {"graceS": GRACE_S, "drainMs": DRAIN_S * 1000},
            RELAYS_KEY: relay_ports,
        }
        path = self._folder / f"{proxy.name}.yaml"
        path.write_text(json.dumps(settings))
