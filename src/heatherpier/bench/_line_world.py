"""A deployment in memory for tests of whole proxies under virtual time."""

import itertools
import random
from contextlib import AsyncExitStack

from prometheus_client import CollectorRegistry

from heatherpier._engine_ports import Ports, StoreLayout, VmLocation
from heatherpier._proxy_engine import ProxyEngine
from heatherpier.bench._line_group import LineGroup, LineGroupControl, LineInstance
from heatherpier.bench._line_link import LineGroupConnector
from heatherpier.bench._memory_peers import MemoryFleet
from heatherpier.bench._row_store import MemoryRowStore
from heatherpier.discovery import InstanceRecord
from heatherpier.fleet import Codec, Peer
from heatherpier.leases import LEASE_MESSAGES
from heatherpier.routing import (
    AnyCommit,
    BoundedStaleness,
    Consistency,
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
NEWEST = "newest"
ZONES = ("north", "central", "south")
MAX_AGE_S = 1.5
STATEMENT_TIMEOUT_S = 0.8
OBJECTIVE_S = 0.4
CONNECTIONS = 22
# Time for proxies to read the store and register.
START_S = 1.0

_ids = itertools.count(1)


class LineWorld:
    """Proxies, instances and the store of one deployment.

    Args:
        timers: Timer service.
        seed: Seed of all random choices.
        proxies: Count of proxies, spread over three data centres.
        services: Names of the services, of three instances each.
        connections: Connections that an instance accepts.
        synchronous: Replicas that hold a commit when it is acknowledged.

    Attributes:
        store: The store.
        fleet: The network between proxies.
        groups: Instances by service.
        engines: Running proxies by name.
    """

    def __init__(
        self,
        *,
        timers: Timers,
        seed: int = 1,
        proxies: int = 4,
        services: tuple[str, ...] = ("claims",),
        connections: int = CONNECTIONS,
        synchronous: int = 0,
    ) -> None:
        self.timers = timers
        self.rng = random.Random(seed)
        self.store = MemoryRowStore(timers=timers)
        self.fleet = MemoryFleet(
            timers=timers, codec=Codec(LEASE_MESSAGES), rng=self.rng
        )
        self.groups = {
            name: LineGroup(name, zones=list(ZONES), timers=timers) for name in services
        }
        self.engines: dict[str, ProxyEngine] = {}
        self.names = [f"proxy-{number}" for number in range(proxies)]
        self._connections = connections
        self._synchronous = synchronous
        self._stacks: dict[str, AsyncExitStack] = {}
        self._tables: dict[bytes, RoutingTable] = {}
        self._records: dict[bytes, InstanceRecord] = {}
        self._version = 0

    async def __aenter__(self) -> "LineWorld":
        self.configure(self.routes())
        for group in self.groups.values():
            for instance in group.instances.values():
                self.register(instance)
        for name in self.names:
            await self.start(name)
        await self.timers.sleep(START_S)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for name in list(self.engines):
            await self.kill(name)

    # The operator and the instances

    def routes(self) -> dict[str, Consistency]:
        """Returns the databases of each service by consistency."""
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

    def configure(self, routes: dict[str, Consistency]) -> int:
        """Puts a new configuration into the store and returns its version."""
        self._version += 1
        table = RoutingTable(
            version=self._version,
            routes={
                database: Route(
                    database=database,
                    service=database.rsplit("-", 1)[0],
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
                for name in self.groups
            },
        )
        body = f"configuration {self._version}".encode()
        self._tables[body] = table
        self.store.write(CONFIGURATION, NEWEST, body)
        return self._version

    def register(self, instance: LineInstance) -> None:
        """Has an instance say in the store how it is."""
        body = f"{instance.name} {next(_ids)}".encode()
        self._records[body] = instance.record
        self.store.write(INSTANCES, instance.name, body)

    def unregister(self, instance: LineInstance) -> None:
        """Removes an instance's entry from the store."""
        self.store.write(INSTANCES, instance.name, None)

    # Proxies

    def _peer(self, name: str) -> Peer:
        return Peer(
            name=name,
            host=name,
            port=7000,
            data_centre=ZONES[self.names.index(name) % len(ZONES)],
        )

    async def start(self, name: str, *, seeds: tuple[str, ...] = ()) -> ProxyEngine:
        """Starts a proxy.

        Args:
            name: Its name.
            seeds: Names of proxies that it may ask for tables.
        """
        me = self._peer(name)
        self.fleet.ended_addresses.discard((me.host, me.port))
        control = LineGroupControl(name, groups=self.groups, timers=self.timers)
        engine = ProxyEngine(
            VmLocation(
                me=me,
                seeds=tuple(self._peer(seed) for seed in seeds),
                distance=lambda zone: 0 if zone == me.data_centre else 2,
            ),
            ports=Ports(
                store=self.store.client(name),
                network=self.fleet.network(me),
                connector=LineGroupConnector(
                    name, groups=self.groups, timers=self.timers
                ),
                control=control,
                promotions=control,
            ),
            layout=StoreLayout(
                configuration=CONFIGURATION,
                configuration_key=NEWEST,
                instances=INSTANCES,
                read_configuration=self._tables.__getitem__,
                read_instance=lambda _, body: self._records[body],
            ),
            timers=self.timers,
            rng=random.Random(self.rng.random()),
            metrics=CollectorRegistry(),
        )
        stack = AsyncExitStack()
        await stack.enter_async_context(engine)
        self._stacks[name] = stack
        self.engines[name] = engine
        self.fleet.start(name)
        return engine

    async def kill(self, name: str) -> None:
        """Ends a proxy's process; its VM goes on."""
        self.fleet.stop(name)
        self.fleet.ended_addresses.add((name, 7000))
        self.fleet.nodes.pop((name, 7000), None)
        del self.engines[name]
        await self._stacks.pop(name).aclose()

    async def power_off(self, name: str) -> None:
        """Ends a proxy together with its VM."""
        await self.kill(name)
        self.fleet.ended_addresses.discard((name, 7000))

    def isolate(self, name: str, *, instances: bool = True) -> None:
        """Cuts a proxy from the store, its peers and, if asked, all instances."""
        self.store.faults.silent.add(name)
        self.fleet.stop(name)
        if instances:
            for group in self.groups.values():
                for instance in group.instances.values():
                    instance.cut_from.add(name)

    def rejoin(self, name: str) -> None:
        """Undoes `isolate`."""
        self.store.faults.silent.discard(name)
        self.fleet.start(name)
        for group in self.groups.values():
            for instance in group.instances.values():
                instance.cut_from.discard(name)

    # Callers

    def open(self, database: str, *, proxy: str = "proxy-0") -> CallerSession:
        """Opens a caller's session."""
        session = self.engines[proxy].open_session(database)
        assert not isinstance(session, Failed), session
        return session


def query(text: str) -> Query:
    """Returns a statement with a new id; knows the plain kinds."""
    kinds: dict[str, Statement] = {
        "BEGIN": Begin(read_only=text.endswith("READ")),
        "COMMIT": Commit(),
        "ROLLBACK": Rollback(),
        "READ": Read(),
        "WRITE": Write(),
    }
    return Query(id=f"id-{next(_ids)}", text=text, statement=kinds[text.split(" ")[0]])


async def ask(session: CallerSession, text: str) -> Reply:
    """Runs one statement of a session."""
    return await session.execute(query(text))
