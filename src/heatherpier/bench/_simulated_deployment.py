"""Simulates a deployment in memory, to test proxies under virtual time.

The proxies are real except for their sockets. The network between them, the store and
the instances are simulated.
"""

import itertools
import random
from collections.abc import Collection, Mapping
from contextlib import AsyncExitStack

from prometheus_client import CollectorRegistry

from heatherpier._engine_ports import Ports, StoreLayout, VmLocation
from heatherpier._proxy_engine import ProxyEngine
from heatherpier.bench._memory_peers import MemoryFleet
from heatherpier.bench._row_store import MemoryRowStore
from heatherpier.bench._simulated_group import (
    SimulatedGroup,
    SimulatedGroupControl,
    SimulatedInstance,
)
from heatherpier.bench._simulated_link import SimulatedConnector
from heatherpier.discovery import InstanceRecord
from heatherpier.fleet import Codec, Peer
from heatherpier.forwarding import FORWARDING_MESSAGES
from heatherpier.leases import LEASE_MESSAGES
from heatherpier.quotas import QUOTA_MESSAGES, QuotaWindow
from heatherpier.routing import (
    AnyCommit,
    BoundedStaleness,
    CallerLimits,
    Consistency,
    Organisation,
    ReadOwnWrites,
    Route,
    RoutingTable,
    ServiceSpec,
)
from heatherpier.serving import CallerSession
from heatherpier.statements import (
    Begin,
    Commit,
    Failed,
    Query,
    Read,
    Reply,
    Rollback,
    Statement,
    Write,
)
from heatherpier.timers import Timers

CONFIGURATION = "configuration"
INSTANCES = "instances"
CONFIGURATION_KEY = "newest"
ZONES = ("north", "central", "south")
MAX_AGE_S = 1.5
STATEMENT_TIMEOUT_S = 0.8
OBJECTIVE_S = 0.4
MAX_CONNECTIONS = 22
# Time within which proxies read the store and register.
STARTUP_S = 1.0

_ids = itertools.count(1)


class SimulatedDeployment:
    """Runs proxies against simulated groups and a simulated store.

    Args:
        timers: Timer service.
        seed: Seed of all random choices.
        proxies: Number of proxies, spread over three data centres.
        services: Names of the services, which have three instances each.
        connections: Maximum number of connections to an instance, as configured.
        synchronous: Number of replicas that hold a commit when it is acknowledged, as
            configured.
        limits_rates: Whether the rates of organisations are limited.
        drain_s: Time in seconds for which a leaving instance accepts new work.

    Attributes:
        timers: Timer service.
        rng: Source of all random choices.
        store: Store of the deployment.
        fleet: Network between the proxies.
        groups: Groups by service.
        engines: Running proxies by name.
        names: Names of all proxies, running or not.
    """

    def __init__(
        self,
        *,
        timers: Timers,
        seed: int = 1,
        proxies: int = 4,
        services: tuple[str, ...] = ("claims",),
        connections: int = MAX_CONNECTIONS,
        synchronous: int = 0,
        limits_rates: bool = False,
        drain_s: float = float("inf"),
    ) -> None:
        self.timers = timers
        self.rng = random.Random(seed)
        self.store = MemoryRowStore(timers=timers)
        self.fleet = MemoryFleet(
            timers=timers,
            codec=Codec((*LEASE_MESSAGES, *QUOTA_MESSAGES, *FORWARDING_MESSAGES)),
            rng=self.rng,
            detached=FORWARDING_MESSAGES,
        )
        self.groups = {
            name: SimulatedGroup(name, zones=list(ZONES), timers=timers)
            for name in services
        }
        self.engines: dict[str, ProxyEngine] = {}
        self.names = [f"proxy-{number}" for number in range(proxies)]
        self._connections = connections
        self._synchronous = synchronous
        self._limits_rates = limits_rates
        self._drain_s = drain_s
        self._exit_stacks: dict[str, AsyncExitStack] = {}
        self._routing_tables: dict[bytes, RoutingTable] = {}
        self._instance_records: dict[bytes, InstanceRecord] = {}
        self._configuration_version = 0

    async def __aenter__(self) -> "SimulatedDeployment":
        self.configure(self.routes())
        for group in self.groups.values():
            for instance in group.instances.values():
                self.register(instance)
        for name in self.names:
            await self.start(name)
        await self.timers.sleep(STARTUP_S)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for name in list(self.engines):
            await self.kill(name)
        self.fleet.close()

    def routes(self) -> dict[str, Consistency]:
        """Returns the consistency of each database; a service has one of each kind."""
        kinds: dict[str, Consistency] = {
            "exact": AnyCommit(),
            "aged": BoundedStaleness(max_age_s=MAX_AGE_S),
            "own": ReadOwnWrites(max_age_s=MAX_AGE_S),
        }
        return {
            f"{service}-{kind}": consistency
            for service in self.groups
            for kind, consistency in kinds.items()
        }

    def configure(
        self,
        routes: dict[str, Consistency],
        *,
        padding: str = "",
        organisations: tuple[Organisation, ...] | None = None,
        keys: dict[str, str] | None = None,
        limits: CallerLimits | None = None,
        served_by: Mapping[str, str] | None = None,
        without: Collection[str] = (),
    ) -> int:
        """Writes a new configuration to the store and returns its version.

        Args:
            routes: Consistency of each database, whose name is the name of its service
                and a suffix after a hyphen, unless ``served_by`` names another one.
            padding: Text that makes the row as large as that of many routes.
            organisations: The organisations, or None if callers are not identified.
            keys: Name of the organisation that holds each key.
            limits: Limits on the connections of callers, or None for the defaults.
            served_by: Service of databases that another service serves, by database.
            without: Services that are left out of the configuration.
        """
        services = served_by or {}
        self._configuration_version += 1
        table = RoutingTable(
            version=self._configuration_version,
            routes={
                database: Route(
                    database=database,
                    service=services.get(database, database.rsplit("-", 1)[0]),
                    consistency=consistency,
                    statement_timeout_s=STATEMENT_TIMEOUT_S,
                    objective_s=OBJECTIVE_S,
                    priority=1 if isinstance(consistency, AnyCommit) else 2,
                )
                for database, consistency in routes.items()
            },
            services={
                name: ServiceSpec(
                    name=name,
                    max_connections=self._connections,
                    synchronous_replicas=self._synchronous,
                )
                for name in self.groups.keys() - set(without)
            },
            organisations=None
            if organisations is None
            else {item.name: item for item in organisations},
            keys=keys or {},
            limits=limits or CallerLimits(),
        )
        body = f"configuration {self._configuration_version}{padding}".encode()
        self._routing_tables[body] = table
        self.store.write(CONFIGURATION, CONFIGURATION_KEY, body)
        return self._configuration_version

    def register(self, instance: SimulatedInstance) -> None:
        """Writes the current entry of an instance to the store."""
        body = f"{instance.name} {next(_ids)}".encode()
        self._instance_records[body] = instance.record
        self.store.write(INSTANCES, instance.name, body)

    def unregister(self, instance: SimulatedInstance) -> None:
        """Removes an instance's entry from the store."""
        self.store.write(INSTANCES, instance.name, None)

    def _peer(self, name: str) -> Peer:
        return Peer(
            name=name,
            host=name,
            port=7000,
            data_centre=ZONES[self.names.index(name) % len(ZONES)],
        )

    async def start(
        self, name: str, *, seeds: tuple[str, ...] = (), started_ago_s: float = 0.0
    ) -> ProxyEngine:
        """Starts a proxy.

        Args:
            name: Name of the proxy.
            seeds: Names of proxies from which it may fetch tables.
            started_ago_s: Time in seconds that the process has spent on its imports.
        """
        me = self._peer(name)
        self.fleet.ended_addresses.discard((me.host, me.port))
        control = SimulatedGroupControl(name, groups=self.groups, timers=self.timers)
        engine = ProxyEngine(
            VmLocation(
                me=me,
                seeds=tuple(self._peer(seed) for seed in seeds),
                distance=lambda zone: 0 if zone == me.data_centre else 2,
            ),
            ports=Ports(
                store=self.store.client(name),
                network=self.fleet.network(me),
                connector=SimulatedConnector(
                    name, groups=self.groups, timers=self.timers
                ),
                control=control,
                promotions=control,
            ),
            layout=StoreLayout(
                configuration=CONFIGURATION,
                configuration_key=CONFIGURATION_KEY,
                instances=INSTANCES,
                read_configuration=self._routing_tables.__getitem__,
                read_instance=lambda _, body: self._instance_records[body],
            ),
            timers=self.timers,
            rng=random.Random(self.rng.random()),
            metrics=CollectorRegistry(),
            quota_window=QuotaWindow() if self._limits_rates else None,
            drain_s=self._drain_s,
            started_at=self.timers.elapsed() - started_ago_s,
        )
        stack = AsyncExitStack()
        await stack.enter_async_context(engine)
        self._exit_stacks[name] = stack
        self.engines[name] = engine
        self.fleet.start(name)
        return engine

    async def kill(self, name: str) -> None:
        """Kills a proxy's process; its VM keeps running and refuses connections."""
        self.fleet.stop(name)
        self.fleet.ended_addresses.add((name, 7000))
        node = self.fleet.nodes.pop((name, 7000), None)
        if node is not None:
            node.close()
        del self.engines[name]
        await self._exit_stacks.pop(name).aclose()

    async def power_off(self, name: str) -> None:
        """Stops a proxy together with its VM, which then does not answer."""
        await self.kill(name)
        self.fleet.ended_addresses.discard((name, 7000))

    def isolate(self, name: str, *, instances: bool = True) -> None:
        """Cuts a proxy off from the store and its peers.

        Args:
            name: Name of the proxy.
            instances: Whether all instances are cut off from the proxy too.
        """
        self.store.faults.unresponsive_to.add(name)
        self.fleet.stop(name)
        if instances:
            for group in self.groups.values():
                for instance in group.instances.values():
                    instance.cut_from.add(name)

    def rejoin(self, name: str) -> None:
        """Undoes `isolate`."""
        self.store.faults.unresponsive_to.discard(name)
        self.fleet.start(name)
        for group in self.groups.values():
            for instance in group.instances.values():
                instance.cut_from.discard(name)

    async def restore_store(
        self, *, back_s: float, away_s: float = 0.5, rewrite_s: float = 1.0
    ) -> None:
        """Makes the store unavailable, then restores it from an older backup.

        Args:
            back_s: Age of the backup when the store stops answering, in seconds.
            away_s: Time in seconds for which the store does not answer.
            rewrite_s: Time in seconds after which the operator and the instances have
                written their rows again.
        """
        faults = self.store.faults
        down = set(self.names) - faults.unresponsive_to
        faults.unresponsive_to |= down
        await self.timers.sleep(away_s)
        self.store.restore(back_s=back_s + away_s)
        faults.unresponsive_to -= down
        await self.timers.sleep(rewrite_s)
        self.store.rewrite_external()

    def open(
        self, database: str, *, proxy: str = "proxy-0", key: str = ""
    ) -> CallerSession:
        """Opens a session through a proxy, which has to accept it."""
        session = self.engines[proxy].open_session(database, key)
        assert not isinstance(session, Failed), session
        return session


def query(text: str) -> Query:
    """Returns a query with a new id for a statement of one of the basic kinds."""
    kinds: dict[str, Statement] = {
        "BEGIN": Begin(read_only=text.endswith("READ")),
        "COMMIT": Commit(),
        "ROLLBACK": Rollback(),
        "READ": Read(),
        "WRITE": Write(),
    }
    return Query(id=f"id-{next(_ids)}", text=text, statement=kinds[text.split(" ")[0]])


async def ask(session: CallerSession, text: str) -> Reply:
    """Runs one statement in a session."""
    return await session.execute(query(text))
