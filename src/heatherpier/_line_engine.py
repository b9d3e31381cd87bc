"""A proxy on the users' platform without its sockets: all knowledge and decisions."""

import asyncio
import random
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from typing import Any

from prometheus_client import CollectorRegistry

from heatherpier._line_ports import Place, Ports, Tables, UnreadableRowError
from heatherpier.discovery import InstanceRecord, InstanceRegistry
from heatherpier.feeds import Row, TableCopy, TableFollower
from heatherpier.leases import (
    FLEET_TABLE,
    CopyExchange,
    CopyRelay,
    FleetView,
    Grants,
    Holders,
    MemberLiveness,
    PeerLinks,
    PeerWatch,
    PrimaryChanger,
    PrimaryRights,
    PrimaryUse,
    PrimaryWatcher,
    Registration,
    Releases,
    Surveys,
)
from heatherpier.lending import (
    ConnectionShares,
    InstancePools,
    PoolLimits,
)
from heatherpier.routing import RoutesInForce, RoutingTable
from heatherpier.serving import (
    CallerSession,
    Core,
    InstanceHealth,
    Placement,
    Runner,
    ServingMetrics,
    find_route,
)
from heatherpier.statements import Failed
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers
from heatherpier.upstreams import ConnectError

log = get_logger("engine")
# How long one watch of a table waits for a change. A watch that hangs on a silent
# connection is given up 1.2 s after it, within the 5 s after which a VM counts as
# being in touch again.
WATCH_S = 3.2
# Watches of the fleet's table renew the right to use primaries, twice in a lease.
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


class LineEngine:
    """All of a proxy but its sockets. Use it as an asynchronous context manager.

    Args:
        place: What it knows of its VM.
        ports: What it reaches others by.
        tables: How to read the store.
        timers: Timer service.
        rng: Random source.
        metrics: Where counters are registered.

    Attributes:
        core: What sessions share.
        view: Members and leaders.
    """

    def __init__(
        self,
        place: Place,
        *,
        ports: Ports,
        tables: Tables,
        timers: Timers,
        rng: random.Random,
        metrics: CollectorRegistry,
    ) -> None:
        self._place = place
        self._ports = ports
        self._tables = tables
        self._timers = timers
        self._rng = rng
        self._routes = RoutesInForce()
        self._registry = InstanceRegistry(timers=timers)
        self._health = InstanceHealth(timers=timers)
        self._configurations = TableCopy(tables.configuration, timers=timers)
        self._instances = TableCopy(tables.instances, timers=timers)
        fleet = TableCopy(FLEET_TABLE, timers=timers)
        self._copies = (self._configurations, self._instances, fleet)
        self._configurations.subscribe(self._take_configuration)
        self._instances.subscribe(self._take_instance)
        self._registry.subscribe(self._instance_changed)
        self._instances_since = timers.elapsed()
        self.view = FleetView(fleet, timers=timers)
        self._grants = Grants(place.me.name, view=self.view, timers=timers)
        rights = PrimaryRights(
            place.me.name,
            view=self.view,
            grants=self._grants,
            registry=self._registry,
            timers=timers,
        )
        self._shares = ConnectionShares(timers=timers)
        pools = InstancePools(
            connector=ports.connector, timers=timers, limits=self._limits
        )
        placement = Placement(
            registry=self._registry,
            pools=pools,
            health=self._health,
            timers=timers,
            distance=place.distance,
        )
        self.core = Core(
            timers=timers,
            routes=self._routes,
            registry=self._registry,
            pools=pools,
            rights=rights,
            use=PrimaryUse(timers=timers),
            health=self._health,
            placement=placement,
            samples={},
            budgets={},
            metrics=ServingMetrics(metrics),
            configuration_recent=self._configuration_recent,
        )
        self._runner = Runner(self.core)
        network, me = ports.network, place.me.name
        self._links = PeerLinks(me, network=network, view=self.view)
        self._holders = Holders(me, network=network, view=self.view)
        self._surveys = Surveys(
            links=self._links,
            network=network,
            registry=self._registry,
            control=ports.control,
            note_failure=self._note_failure,
        )
        self._releases = Releases(
            network=network,
            view=self.view,
            rights=rights,
            grants=self._grants,
            use=self.core.use,
            timers=timers,
        )
        self._exchange = CopyExchange(
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
            self._place.me.name,
            store=self._ports.store,
            view=self.view,
            links=self._links,
            releases=self._releases,
            holders=self._holders,
            registry=self._registry,
            control=self._ports.control,
            promotions=self._ports.promotions,
            synchronous=self._synchronous,
            timers=self._timers,
        )

    async def __aenter__(self) -> "LineEngine":
        ports, timers, rng = self._ports, self._timers, self._rng
        peer_watch = PeerWatch(
            links=self._links,
            exchange=self._exchange,
            view=self.view,
            distance=self._place.distance,
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
                gate=peer_watch.direct,
                from_beginning=copy is self.view.copy,
            )
            self._start(follower.run())
        registration = Registration(
            self._place.me,
            store=ports.store,
            view=self.view,
            rights=self.core.rights,
            timers=timers,
            rng=rng,
        )
        liveness = MemberLiveness(
            self._place.me.name,
            network=ports.network,
            links=self._links,
            store=ports.store,
            view=self.view,
            timers=timers,
        )
        relay = CopyRelay(
            links=self._links,
            exchange=self._exchange,
            fleet=self.view.copy,
            others=[self._configurations, self._instances],
            seeds=list(self._place.seeds),
            timers=timers,
        )
        for work in (
            peer_watch.run(),
            registration.run(),
            liveness.run(),
            relay.run(),
            self._expire(),
            self._warm(),
        ):
            self._start(work)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._watchers.values():
            task.cancel()
        await self._stack.aclose()
        self.core.pools.close()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        self._stack.callback(asyncio.create_task(work).cancel)

    # Callers

    def can_serve(self) -> bool:
        """Tells whether configuration and instances are known."""
        return self._routes.known and bool(self._registry.all())

    def open_session(self, database: str) -> CallerSession | Failed:
        """Makes the session of a new caller, or says why there is none."""
        route = find_route(self.core, database)
        if isinstance(route, Failed):
            return route
        return CallerSession(database, core=self.core, runner=self._runner)

    def _configuration_recent(self) -> bool:
        return self._configurations.age_s() <= CONFIRMED_S

    # Tables

    def _take_configuration(self, row: Row) -> None:
        if row.key != self._tables.configuration_key or row.body is None:
            return
        try:
            table = self._tables.read_configuration(row.body)
        except UnreadableRowError as exc:
            log.error(
                "configuration not readable", version=row.version, reason=str(exc)
            )
            return
        if self._routes.offer(table):
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
            me=self._place.me.name,
            view=self.view,
            registry=self._registry,
            control=self._ports.control,
            links=self._links,
            surveys=self._surveys,
            holders=self._holders,
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
            record = self._tables.read_instance(row.key, row.body)
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
            self.core.pools.drop(name)
            self._health.forget(name)
            self.core.placement.forget(name)
            self.core.budgets.pop(name, None)

    async def _warm(self) -> None:
        """Keeps a connection to each instance that work is likely to go to."""
        async for _ in self._timers.every(WARM_PERIOD_S):
            for record in self._registry.all():
                near = self._place.distance(record.instance.data_centre) < FAR
                primary = self.core.primary(record.service) == record.name
                rests = self._health.rests(record.name) or record.instance.leaving
                if (near or primary) and not rests:
                    await self._warm_one(record)

    async def _warm_one(self, record: InstanceRecord) -> None:
        try:
            await self.core.pools.of(record).warm()
        except ConnectError as exc:
            self._note_failure(record.name, str(exc))

    def _limits(self, service: str) -> PoolLimits:
        """Returns how many connections this proxy may open to one instance."""
        spec = self._routes.table.services.get(service)
        if spec is None:
            return PoolLimits(connections=1, most=1)
        return self._shares.share(
            accepted=spec.max_connections, proxies=len(self.view.members)
        )
