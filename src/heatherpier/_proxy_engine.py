"""Composes a proxy on the users' platform without its sockets.

Joins the copies of the store's tables, instance discovery, routing, leases and changes
of primaries, connection pools and the serving of statements. `_platform_proxy` gives
the engine its sockets; tests and the bench give it simulated ones.
"""

import asyncio
import random
from contextlib import AsyncExitStack
from dataclasses import replace
from functools import partial

from prometheus_client import CollectorRegistry

from heatherpier._connection_warmer import ConnectionWarmer
from heatherpier._engine_ports import Ports, StoreLayout, UnreadableRowError, VmLocation
from heatherpier._engine_times import (
    CONFIGURATION_MAX_AGE_S,
    FLEET_LONG_POLL_S,
    INSTANCES_MAX_AGE_S,
    LONG_POLL_S,
    REGISTRATION_S,
    WATCH_PERIOD_S,
)
from heatherpier._guarded_ports import (
    GuardedConnector,
    GuardedControl,
    UnexpectedErrors,
)
from heatherpier._instance_list import InstanceList
from heatherpier._supervision import Run, run_supervised
from heatherpier.balancing import BalancingMetrics, LoadEstimates
from heatherpier.discovery import InstanceRecord, InstanceRegistry
from heatherpier.forwarding import Forwarding
from heatherpier.identities import CallerDirectory
from heatherpier.leases import (
    FLEET_TABLE,
    ChangeCoordinators,
    Confirmations,
    FirstPrimaries,
    FleetView,
    Grants,
    IndirectProber,
    InFlightWork,
    LeadershipRows,
    LeaseReleases,
    MemberLiveness,
    MemberRemoval,
    PeerLinks,
    PeerRanking,
    PeerTableFallback,
    PeerTableSync,
    PeerTableWatch,
    PrimaryChanger,
    PrimaryLeases,
    PrimaryWatcher,
    Registration,
    ReplicaSets,
    SampleExchange,
    Successors,
)
from heatherpier.pooling import (
    ConnectionShares,
    FairOrder,
    InstancePools,
    PoolLimits,
    WaiterMetrics,
)
from heatherpier.quotas import OpenGate, QuotaWindow, RateLimits
from heatherpier.routing import ActiveRoutes, RoutingTable
from heatherpier.serving import (
    CallerSession,
    InstanceHealth,
    ReadBalancer,
    ReplicaSelector,
    Runner,
    ServingContext,
    ServingMetrics,
    SharedPositions,
    find_route,
    identify_caller,
)
from heatherpier.statements import Failed
from heatherpier.tables import Row, TableCopy, TableFollower
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("engine")
# Width of the number that tells incarnations of a process apart.
CLOCK_ID_BITS = 48


class ProxyEngine:
    """A proxy without its sockets, as an asynchronous context manager.

    Args:
        location: Identity of its VM and the distance to others.
        ports: Interfaces to the store, other proxies and instances.
        layout: Tables of the store and their decoders.
        timers: Timer service.
        rng: Random source.
        metrics: Registry of the engine's metrics.
        quota_window: Windows in which the rates of organisations are limited, or None
            if they are not.
        drain_s: Time in seconds for which a leaving instance accepts new work.
        started_at: Time in seconds by `Timers.elapsed` at which the process was
            started; None for now.

    Attributes:
        context: State that all sessions share.
        view: Members and leaders of the fleet.
        load_estimates: What is known of the load of the instances.
        forwarding: Homes of the instances, and statements of other proxies.
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
        quota_window: QuotaWindow | None = None,
        drain_s: float = float("inf"),
        started_at: float | None = None,
    ) -> None:
        self._location = location
        errors = UnexpectedErrors(metrics)
        self._ports = ports = replace(
            ports,
            connector=GuardedConnector(ports.connector, errors=errors),
            control=GuardedControl(ports.control, errors=errors),
        )
        self._layout = layout
        self._timers = timers
        self._rng = rng
        self._routes = ActiveRoutes()
        self._known = asyncio.Event()
        self._stack = AsyncExitStack()
        self._registry = InstanceRegistry(
            timers=timers, drain_s=drain_s, metrics=metrics
        )
        self._health = InstanceHealth(timers=timers)
        self._configurations = TableCopy(layout.configuration, timers=timers)
        self._instances = TableCopy(layout.instances, timers=timers)
        fleet = TableCopy(FLEET_TABLE, timers=timers)
        self._copies = (self._configurations, self._instances, fleet)
        self._configurations.subscribe(self._apply_configuration)
        self._instance_list = InstanceList(
            self._instances,
            registry=self._registry,
            read=layout.read_instance,
            max_age_s=INSTANCES_MAX_AGE_S,
            metrics=metrics,
            timers=timers,
        )
        self._registry.subscribe(self._forget_if_removed)
        for copy in self._copies:
            copy.subscribe(self._note_known)
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
        self.load_estimates = LoadEstimates()
        self.forwarding = Forwarding(
            location.me.name,
            network=ports.network,
            view=self.view,
            routes=self._routes,
            registry=self._registry,
            leases=leases,
            region=location.region,
            note_load=self.load_estimates.note_report,
            metrics=metrics,
            timers=timers,
        )
        pools = InstancePools(
            connector=ports.connector,
            timers=timers,
            limits=self._pool_limits,
            remote=self.forwarding.pool,
            order=FairOrder(
                active=lambda: self._routes.table.organisations is not None,
                rng=rng,
                metrics=WaiterMetrics(metrics),
            ),
        )
        balancer = ReadBalancer(
            estimates=self.load_estimates,
            active=self.forwarding.active,
            distance=location.distance,
            timers=timers,
            rng=rng,
            metrics=BalancingMetrics(metrics),
        )
        replica_selector = ReplicaSelector(
            registry=self._registry,
            pools=pools,
            health=self._health,
            timers=timers,
            distance=location.distance,
            balancer=balancer,
        )
        limits = (
            None
            if quota_window is None
            else self._make_rate_limits(quota_window, started_at, metrics)
        )
        self._limit_runs = () if limits is None else limits.runs
        self.context = ServingContext(
            timers=timers,
            routes=self._routes,
            callers=CallerDirectory(
                routes=self._routes, configuration_recent=self._configuration_recent
            ),
            registry=self._registry,
            pools=pools,
            leases=leases,
            in_flight=InFlightWork(timers=timers),
            health=self._health,
            replica_selector=replica_selector,
            balancer=balancer,
            positions={},
            read_limiters={},
            metrics=ServingMetrics(metrics),
            configuration_recent=self._configuration_recent,
            quotas=OpenGate() if limits is None else limits.gate,
        )
        self._runner = Runner(self.context)
        self.forwarding.serve(
            pools=pools, in_flight=self.context.in_flight, notes=self._health
        )
        network, me = ports.network, location.me.name
        self._links = PeerLinks(me, network=network, view=self.view)
        self._coordinators = ChangeCoordinators(me, network=network, view=self.view)
        self._prober = IndirectProber(
            links=self._links,
            network=network,
            registry=self._registry,
            control=ports.control,
            note_failure=self._health.note_failed_probe,
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
            granted_table=FLEET_TABLE,
            grants=self._grants,
            exchange=SampleExchange(
                SharedPositions(
                    self.context.positions,
                    positions_of=self.context.positions_of,
                    is_configured=self._is_configured,
                    timers=timers,
                ),
                clock_id=rng.getrandbits(CLOCK_ID_BITS),
                timers=timers,
            ),
            timers=timers,
        )
        self._rows = LeadershipRows(
            store=ports.store,
            network=network,
            links=self._links,
            view=self.view,
            timers=timers,
        )
        self._replica_sets = ReplicaSets(
            me,
            store=ports.store,
            view=self.view,
            registry=self._registry,
            synchronous=self._synchronous_replicas,
            timers=timers,
        )
        self._first_primaries = FirstPrimaries(
            me,
            store=ports.store,
            view=self.view,
            registry=self._registry,
            services=lambda: list(self._routes.table.services),
            timers=timers,
        )
        self._successors = Successors(
            registry=self._registry,
            control=self._ports.control,
            replica_sets=self._replica_sets,
            synchronous=self._synchronous_replicas,
            timers=timers,
        )
        self._changer = self._make_changer()
        self._confirmations = Confirmations(
            me,
            network=network,
            rows=self._rows,
            view=self.view,
            releases=self._releases,
            coordinators=self._coordinators,
            registry=self._registry,
            successors=self._successors,
            instances_known_s=self._instance_list.current_s,
            timers=timers,
        )
        self._watchers: dict[str, asyncio.Task[None]] = {}
        self._records_replicas = False

    def _make_rate_limits(
        self, window: QuotaWindow, started_at: float | None, metrics: CollectorRegistry
    ) -> RateLimits:
        limits = RateLimits(
            self._location.me,
            network=self._ports.network,
            store=self._ports.store,
            view=self.view,
            routes=self._routes,
            distance=self._location.distance,
            metrics=metrics,
            timers=self._timers,
            window=window,
            started_at=started_at,
        )
        self._stack.callback(limits.gate.close)
        return limits

    def _make_changer(self) -> PrimaryChanger:
        return PrimaryChanger(
            self._location.me.name,
            rows=self._rows,
            view=self.view,
            links=self._links,
            releases=self._releases,
            coordinators=self._coordinators,
            successors=self._successors,
            control=self._ports.control,
            promotions=self._ports.promotions,
            prober=self._prober,
            timers=self._timers,
        )

    async def __aenter__(self) -> "ProxyEngine":
        ports, timers, rng = self._ports, self._timers, self._rng
        make_ranking = partial(
            PeerRanking,
            self._location.me.name,
            distance=self._location.distance,
            timers=timers,
        )
        table_watch = PeerTableWatch(
            links=self._links,
            table_sync=self._table_sync,
            view=self.view,
            ranking=make_ranking(),
            timers=timers,
        )
        registration = Registration(
            self._location.me,
            store=ports.store,
            view=self.view,
            leases=self.context.leases,
            timers=timers,
            rng=rng,
            capacity=self._location.capacity,
        )
        for copy in self._copies:
            wait_s = FLEET_LONG_POLL_S if copy is self.view.copy else LONG_POLL_S
            follower = TableFollower(
                store=ports.store,
                copy=copy,
                timers=timers,
                rng=rng,
                wait_s=wait_s,
                min_period_s=WATCH_PERIOD_S,
                gate=table_watch.direct,
                from_beginning=copy is self.view.copy,
            )
            if copy is self.view.copy:
                self._start_task(
                    partial(
                        registration.run_after, follower.run, limit_s=REGISTRATION_S
                    )
                )
            else:
                self._start_task(follower.run)
        liveness = MemberLiveness(
            self._location.me.name,
            network=ports.network,
            removal=MemberRemoval(
                links=self._links, store=ports.store, view=self.view, timers=timers
            ),
            view=self.view,
            timers=timers,
        )
        table_fallback = PeerTableFallback(
            links=self._links,
            table_sync=self._table_sync,
            fleet=self.view.copy,
            others=[self._configurations, self._instances],
            seeds=list(self._location.seeds),
            ranking=make_ranking(),
            timers=timers,
        )
        for run in (
            table_watch.run,
            registration.run,
            liveness.run,
            table_fallback.run,
            self._instance_list.expire,
            ConnectionWarmer(
                self.context,
                forwarding=self.forwarding,
                distance=self._location.distance,
            ).run,
            *self._limit_runs,
        ):
            self._start_task(run)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._watchers.values():
            task.cancel()
        await self._stack.aclose()
        self.forwarding.close()
        self.context.pools.close()

    def _start_task(self, run: Run) -> None:
        task = asyncio.create_task(run_supervised(run, timers=self._timers))
        self._stack.callback(task.cancel)

    def can_serve(self) -> bool:
        """Returns whether the configuration and at least one instance are known."""
        return self._routes.known and bool(self._registry.all())

    async def wait_until_known(self, *, limit_s: float) -> None:
        """Waits for configuration, instances and members, at most ``limit_s`` seconds.

        Statements that came earlier would be refused for want of a fresh instance.
        """
        if self._known.is_set():
            return
        try:
            async with self._timers.timeout(limit_s):
                await self._known.wait()
        except TimeoutError:
            # Sessions or their statements are then refused, since no database or no
            # instance is known.
            return

    def _note_known(self, row: Row) -> None:
        """Ends the wait of callers once rows of all three tables are known.

        All rows of a read are applied at once, before a waiting caller goes on.
        """
        if self.can_serve() and self.view.members:
            self._known.set()

    def open_session(self, database: str, key: str = "") -> CallerSession | Failed:
        """Returns a session for a new caller, or the answer that rejects the caller.

        Args:
            database: Name of the database.
            key: The caller's key, or empty.
        """
        route = find_route(self.context, database)
        if isinstance(route, Failed):
            return route
        identity = identify_caller(self.context, route, key)
        if isinstance(identity, Failed):
            return identity
        return CallerSession(
            database, context=self.context, runner=self._runner, key=key
        )

    def _configuration_recent(self) -> bool:
        return self._configurations.age_s() <= CONFIGURATION_MAX_AGE_S

    def _apply_configuration(self, row: Row) -> None:
        if row.key != self._layout.configuration_key or row.body is None:
            return
        try:
            table = self._layout.read_configuration(row.body)
        except UnreadableRowError as exc:
            log.error(
                "malformed configuration ignored", version=row.version, reason=str(exc)
            )
            return
        if self._routes.replace_if_newer(table):
            self.forwarding.directory.forget()
            self._update_watchers(table)

    def _update_watchers(self, table: RoutingTable) -> None:
        if not self._watchers:
            self._start_task(self._first_primaries.run)
        self.context.keep_positions(table.services.keys() & self._watchers.keys())
        for service in table.services.keys() - self._watchers.keys():
            watcher = self._make_watcher(service)
            self._watchers[service] = asyncio.create_task(
                run_supervised(watcher.run, timers=self._timers)
            )
        for service in self._watchers.keys() - table.services.keys():
            self._watchers.pop(service).cancel()
        if not self._records_replicas and any(
            spec.synchronous_replicas for spec in table.services.values()
        ):
            self._records_replicas = True
            self._start_task(self._replica_sets.run)

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
            confirmations=self._confirmations,
            first_primaries=self._first_primaries,
            instances_known_s=self._instance_list.current_s,
            failing_since=self._health.failing_since,
            note_answer=self._health.note_answer,
            timers=self._timers,
            rng=self._rng,
        )

    def _is_configured(self, service: str) -> bool:
        """Returns whether the configuration has a service, or may have it."""
        return not self._routes.known or service in self._routes.table.services

    def _synchronous_replicas(self, service: str) -> int:
        """Returns how many replicas hold a commit when it is acknowledged."""
        spec = self._routes.table.services.get(service)
        return 0 if spec is None else spec.synchronous_replicas

    def _forget_if_removed(self, record: InstanceRecord | None, name: str) -> None:
        if record is None:
            self.context.pools.drop(name)
            self._health.forget(name)
            self.context.replica_selector.forget(name)
            self.context.balancer.forget(name)
            self.context.read_limiters.pop(name, None)

    def _pool_limits(self, record: InstanceRecord) -> PoolLimits:
        """Returns how many connections this proxy may open to an instance."""
        spec = self._routes.table.services.get(record.service)
        if spec is None:
            return PoolLimits(soft_limit=1, hard_limit=1)
        return self.forwarding.limits(record) or self._shares.share(
            accepted=spec.max_connections, proxies=len(self.view.members)
        )
