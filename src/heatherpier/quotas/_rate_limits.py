"""Composes the parts that limit the rates of organisations in one proxy."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry

from heatherpier.fleet import Peer, PeerNetwork
from heatherpier.leases import FleetView
from heatherpier.quotas._buckets import QuotaWindow
from heatherpier.quotas._fleet_rows import FleetRows
from heatherpier.quotas._gate import QuotaGate
from heatherpier.quotas._metrics import QuotaMetrics
from heatherpier.quotas._row_proof import RowProof
from heatherpier.routing import ActiveRoutes
from heatherpier.tables import RowStore
from heatherpier.timers import Timers


class RateLimits:
    """The gate of a proxy and the duties behind it.

    It has to be created before the first read of the members' table.

    Args:
        me: This proxy.
        network: Messages between proxies.
        store: The store.
        view: Members of the fleet.
        routes: The active routing table, with the rate limits.
        distance: Returns the distance of a data centre.
        metrics: Registry of metrics.
        timers: Timer service.
        window: Windows in which the limits hold.
        started_at: Time in seconds by `Timers.elapsed` at which the process was
            started; None for now.

    Attributes:
        gate: Admits operations.
        runs: Duties to run until the proxy ends.
    """

    def __init__(
        self,
        me: Peer,
        *,
        network: PeerNetwork,
        store: RowStore,
        view: FleetView,
        routes: ActiveRoutes,
        distance: Callable[[str], int],
        metrics: CollectorRegistry,
        timers: Timers,
        window: QuotaWindow,
        started_at: float | None = None,
    ) -> None:
        rows = FleetRows(me, view=view, timers=timers)
        self.gate = QuotaGate(
            me,
            network=network,
            rows=rows,
            routes=routes,
            distance=distance,
            timers=timers,
            metrics=QuotaMetrics(metrics),
            window=window,
            started_at=started_at,
        )
        proof = RowProof(
            me.name,
            rows=rows,
            store=store,
            needed=lambda: self.gate.in_use,
            timers=timers,
        )
        self.runs = (self.gate.run, proof.run)
