"""A proxy on the users' platform without its sockets: all knowledge and decisions."""

import asyncio
import random
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from typing import Any

from prometheus_client import CollectorRegistry

from heatherpier._engine_ports import Ports, StoreLayout, UnreadableRowError, VmLocation
from heatherpier.discovery import InstanceRecord, InstanceRegistry
from heatherpier.leases import (
    FLEET_TABLE,
    ChangeCoordinators,
    FleetView,
    Grants,
    IndirectProber,
    InFlightWork,
    LeaseReleases,
    MemberLiveness,
    PeerLinks,
    PeerTableFallback,
    PeerTableSync,
    PeerTableWatch,
    PrimaryChanger,
    PrimaryLeases,
    PrimaryWatcher,
    Registration,
)
from heatherpier.pooling import (
    ConnectionShares,
    InstancePools,
    PoolLimits,
)
from heatherpier.routing import ActiveRoutes, RoutingTable
from heatherpier.serving import (
    CallerSession,
    InstanceHealth,
    ReplicaSelector,
    Runner,
    ServingContext,
    ServingMetrics,
    find_route,
)
from heatherpier.statements import Failed
from heatherpier.tables import Row, TableCopy, TableFollower
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers
from heatherpier.upstreams import ConnectError

log = get_logger("engine")
# How long one watch of a table waits for a change. A watch that hangs on a silent
# connection is given up 1.2 s after it, within the 5 s after which a VM counts as
# being in touch again.
WATCH_S = 3.2
# Watches of the fleet's table renew the lease to use primaries, twice in a lease.
FLEET_WATCH_S = 1.2
EXPIRY_PERIOD_S = 0.25
WARM_PERIOD_S = 1.0
# A routing table that was confirmed within this time may deny a database. A watch that
# went silent is noticed within it, and the VM does not count as being in touch before.
CONFIRMED_S = 5.0
# Distance of data centres in other regions.
FAR = 2
# Older than this, the list of instances says nothing about entries that are missing.
INSTANCES_STALE_S = WATCH_S + 1.5


class ProxyEngine:
    """All of a proxy but its sockets. Use it as an asynchronous context manager.

    Args:
        location: What it knows of its VM.
        ports: What it reaches others by.
        layout: How to read the store.
        timers: Timer service.
        rng: Random source.
        metrics: Where counters are registered.

    Attributes:
        context: What sessions share.
        view: Members and leaders.
    """

    def __init__(
        self,
        location: VmLocation,
        *,
        ports: Ports,
        layout: StoreLayout,
        timers: Timers,
        rng: random.Random,
        metrics: CollectorRegistry,
    ) -> None:
        self._location = location
        self._ports = ports
        self._layout = layout
        self._timers = timers
        self._rng = rng
        self._routes = ActiveRoutes()
        self._registry = InstanceRegistry(timers=timers)
        self._health = InstanceHealth(timers=timers)
        self._configurations = TableCopy(layout.configuration, timers=timers)
        self._instances = TableCopy(layout.instances, timers=timers)
        fleet = TableCopy(FLEET_TABLE, timers=timers)
        self._copies = (self._configurations, self._instances, fleet)
        self._configurations.subscribe(self._take_configuration)
        self._instances.subscribe(self._take_instance)
        self._registry.subscribe(self._instance_changed)
        self._instances_since = timers.elapsed()
        self.view = FleetView(fleet, timers=timers)
        self._grants = Grants(location.me.name, view=self.view, timers=timers)
        leases = PrimaryLeases(
            location.me.name,
            view=self.view,
            grants=self._grants,
            registry=self._registry,
            timers=timers,
        )
        self._shares = ConnectionShares(timers=timers)
        pools = InstancePools(
            connector=ports.connector, timers=timers, limits=self._limits
        )
        replica_selector = ReplicaSelector(
            registry=self._registry,
            pools=pools,
            health=self._health,
            timers=timers,
            distance=location.distance,
        )
        self.context = ServingContext(
            timers=timers,
            routes=self._routes,
            registry=self._registry,
            pools=pools,
            leases=leases,
            in_flight=InFlightWork(timers=timers),
            health=self._health,
            replica_selector=replica_selector,
            positions={},
            read_limiters={},
            metrics=ServingMetrics(metrics),
            configuration_recent=self._configuration_recent,
        )
        self._runner = Runner(self.context)
        network, me = ports.network, location.me.name
        self._links = PeerLinks(me, network=network, view=self.view)
        self._coordinators = ChangeCoordinators(me, network=network, view=self.view)
        self._prober = IndirectProber(
            links=self._links,
            network=network,
            registry=self._registry,
            control=ports.control,
            note_failure=self._note_failure,
        )
        self._releases = LeaseReleases(
            network=network,
            view=self.view,
            leases=leases,
            grants=self._grants,
            in_flight=self.context.in_flight,
            timers=timers,
        )
        self._table_sync = PeerTableSync(
            network=network,
            copies={copy.table: copy for copy in self._copies},
            grants=self._grants,
            timers=timers,
        )
        self._changer = self._make_changer()
        self._watchers: dict[str, asyncio.Task[None]] = {}
        self._stack = AsyncExitStack()

    def _note_failure(self, name: str, reason: str) -> None:
        self._health.note_failure(name, reason=reason, sent_at=self._timers.now())

    def _make_changer(self) -> PrimaryChanger:
        return PrimaryChanger(
            self._location.me.name,
            store=self._ports.store,
            view=self.view,
            links=self._links,
            releases=self._releases,
            coordinators=self._coordinators,
            registry=self._registry,
            control=self._ports.control,
            promotions=self._ports.promotions,
            synchronous=self._synchronous,
            timers=self._timers,
        )

    async def __aenter__(self) -> "ProxyEngine":
        ports, timers, rng = self._ports, self._timers, self._rng
        table_watch = PeerTableWatch(
            links=self._links,
            table_sync=self._table_sync,
            view=self.view,
            distance=self._location.distance,
            timers=timers,
        )
        for copy in self._copies:
            wait_s = FLEET_WATCH_S if copy is self.view.copy else WATCH_S
            follower = TableFollower(
                store=ports.store,
                copy=copy,
                timers=timers,
                rng=rng,
                wait_s=wait_s,
                gate=table_watch.direct,
                from_beginning=copy is self.view.copy,
            )
            self._start(follower.run())
        registration = Registration(
            self._location.me,
            store=ports.store,
            view=self.view,
            leases=self.context.leases,
            timers=timers,
            rng=rng,
        )
        liveness = MemberLiveness(
            self._location.me.name,
            network=ports.network,
            links=self._links,
            store=ports.store,
            view=self.view,
            timers=timers,
        )
        table_fallback = PeerTableFallback(
            links=self._links,
            table_sync=self._table_sync,
            fleet=self.view.copy,
            others=[self._configurations, self._instances],
            seeds=list(self._location.seeds),
            timers=timers,
        )
        for work in (
            table_watch.run(),
            registration.run(),
            liveness.run(),
            table_fallback.run(),
            self._expire(),
            self._warm(),
        ):
            self._start(work)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._watchers.values():
            task.cancel()
        await self._stack.aclose()
        self.context.pools.close()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        self._stack.callback(asyncio.create_task(work).cancel)

    # Callers

    def can_serve(self) -> bool:
        """Tells whether configuration and instances are known."""
        return self._routes.known and bool(self._registry.all())

    def open_session(self, database: str) -> CallerSession | Failed:
        """Makes the session of a new caller, or says why there is none."""
        route = find_route(self.context, database)
        if isinstance(route, Failed):
            return route
        return CallerSession(database, context=self.context, runner=self._runner)

    def _configuration_recent(self) -> bool:
        return self._configurations.age_s() <= CONFIRMED_S

    # Tables

    def _take_configuration(self, row: Row) -> None:
        if row.key != self._layout.configuration_key or row.body is None:
            return
        try:
            table = self._layout.read_configuration(row.body)
        except UnreadableRowError as exc:
            log.error(
                "configuration not readable", version=row.version, reason=str(exc)
            )
            return
        if self._routes.replace_if_newer(table):
            self._watch_services(table)

    def _watch_services(self, table: RoutingTable) -> None:
        for service in table.services.keys() - self._watchers.keys():
            self._watchers[service] = asyncio.create_task(
                self._make_watcher(service).run()
            )
        for service in self._watchers.keys() - table.services.keys():
            self._watchers.pop(service).cancel()

    def _make_watcher(self, service: str) -> PrimaryWatcher:
        return PrimaryWatcher(
            service,
            me=self._location.me.name,
            view=self.view,
            registry=self._registry,
            control=self._ports.control,
            links=self._links,
            prober=self._prober,
            coordinators=self._coordinators,
            changer=self._changer,
            instances_known_s=self._instances_known_s,
            failing_since=self._health.failing_since,
            note_answer=self._health.note_answer,
            timers=self._timers,
            rng=self._rng,
        )

    def _take_instance(self, row: Row) -> None:
        if row.body is None:
            self._registry.remove(row.key, reason="entry removed")
            return
        try:
            record = self._layout.read_instance(row.key, row.body)
        except UnreadableRowError as exc:
            self._registry.remove(row.key, reason=str(exc))
            return
        self._registry.put(record)

    def _instances_known_s(self) -> float:
        """Returns for how long the list of instances has been up to date."""
        if self._instances.age_s() >= INSTANCES_STALE_S:
            return 0.0
        return self._timers.elapsed() - self._instances_since

    def _synchronous(self, service: str) -> int:
        """Returns how many replicas hold a commit when it is acknowledged."""
        spec = self._routes.table.services.get(service)
        return 0 if spec is None else spec.synchronous_replicas

    async def _expire(self) -> None:
        async for _ in self._timers.every(EXPIRY_PERIOD_S):
            if self._instances.age_s() >= INSTANCES_STALE_S:
                self._instances_since = self._timers.elapsed()
                continue
            self._registry.expire()

    # Instances

    def _instance_changed(self, record: InstanceRecord | None, name: str) -> None:
        if record is None:
            self.context.pools.drop(name)
            self._health.forget(name)
            self.context.replica_selector.forget(name)
            self.context.read_limiters.pop(name, None)

    async def _warm(self) -> None:
        """Keeps a connection to each instance that work is likely to go to."""
        async for _ in self._timers.every(WARM_PERIOD_S):
            for record in self._registry.all():
                near = self._location.distance(record.instance.data_centre) < FAR
                primary = self.context.primary(record.service) == record.name
                in_backoff = (
                    self._health.in_backoff(record.name) or record.instance.leaving
                )
                if (near or primary) and not in_backoff:
                    await self._warm_one(record)

    async def _warm_one(self, record: InstanceRecord) -> None:
        try:
            await self.context.pools.of(record).warm()
        except ConnectError as exc:
            self._note_failure(record.name, str(exc))

    def _limits(self, service: str) -> PoolLimits:
        """Returns how many connections this proxy may open to one instance."""
        spec = self._routes.table.services.get(service)
        if spec is None:
            return PoolLimits(soft_limit=1, hard_limit=1)
        return self._shares.share(
            accepted=spec.max_connections, proxies=len(self.view.members)
        )
