"""Metrics of forwarded statements."""

from prometheus_client import CollectorRegistry, Counter, Gauge


class ForwardingMetrics:
    """Counters and gauges of forwarding, on both sides.

    Args:
        registry: Registry that the metrics endpoint exposes.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.forwarded = Counter(
            "heatherpier_forwarded",
            "Requests sent to homes by result: replied, refused, overloaded or lost.",
            ["result"],
            registry=registry,
        )
        self.unreachable = Counter(
            "heatherpier_homes_unreachable",
            "Times at which a home was marked because it did not answer or stops.",
            registry=registry,
        )
        self.served = Counter(
            "heatherpier_home_requests",
            "Requests of other proxies at this home by result: replied, refused,"
            " overloaded or lost.",
            ["result"],
            registry=registry,
        )
        self.pinned = Gauge(
            "heatherpier_home_pinned",
            "Transactions of other proxies that hold a connection here.",
            registry=registry,
        )
        self.ended = Counter(
            "heatherpier_home_pins_ended",
            "Transactions of other proxies that were rolled back here, by cause: end,"
            " idle, restarted, lease, leaving or closed.",
            ["cause"],
            registry=registry,
        )
