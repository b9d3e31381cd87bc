"""Composes both sides of forwarding in one proxy."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry

from heatherpier.discovery import InstanceRecord, InstanceRegistry
from heatherpier.fleet import PeerNetwork
from heatherpier.forwarding._connector import NoteLoad, RemoteConnector, RemotePool
from heatherpier.forwarding._homes import HomeDirectory
from heatherpier.forwarding._loads import HomeLoads
from heatherpier.forwarding._metrics import ForwardingMetrics
from heatherpier.forwarding._monitor import HomeMonitor
from heatherpier.forwarding._server import ForwardingServer, InstanceNotes
from heatherpier.leases import FleetView, InFlightWork, Lease, PrimaryLeases
from heatherpier.pooling import InstancePools, PoolLimits
from heatherpier.routing import ActiveRoutes
from heatherpier.timers import Timers


class Forwarding:
    """Forwards statements to homes, and serves as a home for others.

    Args:
        me: Name of this proxy.
        network: Messages to and from other proxies.
        view: Members and leaders of the fleet.
        routes: The active routing table.
        registry: The registered instances.
        leases: Leases on primaries.
        region: Returns the region of a data centre.
        note_load: Records the load of an instance that an answer reports.
        metrics: Registry of metrics.
        timers: Timer service.

    Attributes:
        loads: Load of the homes.
        directory: The homes of each instance.
    """

    def __init__(
        self,
        me: str,
        *,
        network: PeerNetwork,
        view: FleetView,
        routes: ActiveRoutes,
        registry: InstanceRegistry,
        leases: PrimaryLeases,
        region: Callable[[str], str],
        note_load: NoteLoad,
        metrics: CollectorRegistry,
        timers: Timers,
    ) -> None:
        self._network = network
        self._routes = routes
        self._registry = registry
        self._leases = leases
        self._timers = timers
        # A later process of this proxy gets a higher number unless the clock was set
        # back. Homes then end transactions of the earlier one at their idle limit.
        self._incarnation = timers.wall_ms()
        self._metrics = ForwardingMetrics(metrics)
        self._server: ForwardingServer | None = None
        self.loads = HomeLoads(timers=timers)
        self._monitor = HomeMonitor(
            network=network,
            members=lambda: view.members,
            metrics=self._metrics,
            timers=timers,
        )
        self.directory = HomeDirectory(
            me,
            members=lambda: view.members,
            accepted=self._accepted_connections,
            identified=lambda: routes.table.organisations is not None,
            region=region,
            usable=self._monitor.usable,
            burdened=lambda home, name: self.loads.burdened(home.peer.name, name),
        )
        view.copy.subscribe(lambda _: self.directory.forget())
        registry.subscribe(self._note_instance)
        self._connector = RemoteConnector(
            network=network,
            incarnation=self._incarnation,
            directory=self.directory,
            monitor=self._monitor,
            loads=self.loads,
            primary_version=self._primary_version,
            note_load=note_load,
            fair=lambda: routes.table.organisations is not None,
            metrics=self._metrics,
            timers=timers,
        )

    def serve(
        self, *, pools: InstancePools, in_flight: InFlightWork, notes: InstanceNotes
    ) -> None:
        """Begins to run statements of other proxies.

        Args:
            pools: Connection pools of the instances.
            in_flight: In-flight work on primaries.
            notes: Records how instances answer.
        """
        self._server = ForwardingServer(
            network=self._network,
            incarnation=self._incarnation,
            registry=self._registry,
            pools=pools,
            leases=self._leases,
            in_flight=in_flight,
            notes=notes,
            idle_limit_s=lambda: self._routes.table.limits.transaction_idle_s,
            metrics=self._metrics,
            timers=self._timers,
        )

    def active(self) -> bool:
        """Returns whether statements are forwarded for any service."""
        return any(map(self.directory.active, self._routes.table.services))

    def pool(self, record: InstanceRecord, organisation: str) -> RemotePool | None:
        """Returns the pool for a statement, or None to use this proxy's own."""
        return self._connector.pool(record, organisation)

    def limits(self, record: InstanceRecord) -> PoolLimits | None:
        """Returns the bounds of this proxy's own pool, or None if not forwarding."""
        if not self.directory.active(record.service):
            return None
        return self.directory.limits(record)

    def may_hold(self, record: InstanceRecord) -> bool:
        """Returns whether this proxy may hold unused connections to an instance."""
        if not self.directory.active(record.service):
            return True
        return self.directory.is_home(record)

    def stop(self) -> None:
        """Refuses new statements of other proxies, because this one is stopping."""
        if self._server is not None:
            self._server.stop()

    def end_transactions(self) -> None:
        """Rolls back open transactions of other proxies between two requests."""
        if self._server is not None:
            self._server.end_transactions()

    def is_busy(self) -> bool:
        """Returns whether work of other proxies is running here."""
        return self._server is not None and self._server.is_busy()

    def close(self) -> None:
        """Ends probes and rolls back transactions of other proxies."""
        self._connector.close()
        self._monitor.close()
        if self._server is not None:
            self._server.close()

    def _note_instance(self, record: InstanceRecord | None, name: str) -> None:
        if record is None:
            self.loads.forget_instance(name)

    def _accepted_connections(self, service: str) -> int:
        """Returns how many connections an instance accepts, or 0 if unknown."""
        spec = self._routes.table.services.get(service)
        return 0 if spec is None else spec.max_connections

    def _primary_version(self, record: InstanceRecord) -> int | None:
        """Returns the version of the lease on an instance, or None without one."""
        lease = self._leases.lease(record.service)
        if isinstance(lease, Lease) and lease.instance == record.name:
            return lease.version
        return None
