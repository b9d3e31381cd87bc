"""Metrics of waiters for connections."""

from prometheus_client import CollectorRegistry, Counter, Histogram

WAIT_BUCKETS_S = (0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


class WaiterMetrics:
    """Counters and histograms of waiters in fair order.

    Classes of statements and causes are few, so their labels are bounded.

    Args:
        registry: Registry that the metrics endpoint exposes.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.refused = Counter(
            "heatherpier_waiters_refused",
            "Waiters for a connection that were refused, by cause.",
            ["cause"],
            registry=registry,
        )
        self.waits = Histogram(
            "heatherpier_waiter_seconds",
            "Time that a statement waited for a connection, by class.",
            ["statement_class"],
            buckets=WAIT_BUCKETS_S,
            registry=registry,
        )
        self.overtakes = Counter(
            "heatherpier_waiter_overtakes",
            "Waiters served before their turn on a connection of their organisation.",
            registry=registry,
        )
