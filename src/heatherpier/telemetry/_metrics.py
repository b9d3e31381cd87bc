"""Metrics of one proxy. Names contain the unit; label values are bounded in number."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

DELAY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)
PRIMARY_GAP_BUCKETS_S = (0.1, 0.25, 0.5, 1, 2, 3, 5, 10, 30, 60)
PROXY_ERROR_CODES = range(7000, 7100)


class Metrics:
    """Metrics of a proxy.

    Attributes:
        registry: Registry that the admin endpoint exposes.
        callers: Gauge of connected callers.
        refused_callers: Counter of connections refused beyond the limit.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._statements = Counter(
            "heatherpier_statements",
            "Statements by kind and by final answer.",
            ["kind", "outcome"],
            registry=self.registry,
        )
        self._delays = Histogram(
            "heatherpier_statement_seconds",
            "Time from a statement's arrival to its final answer.",
            ["kind"],
            buckets=DELAY_BUCKETS_S,
            registry=self.registry,
        )
        self._reads = Counter(
            "heatherpier_reads",
            "Reads served, by the role of the instance.",
            ["role"],
            registry=self.registry,
        )
        self._gaps = Histogram(
            "heatherpier_primary_gap_seconds",
            "Time during which this proxy knew no primary of a group.",
            ["group"],
            buckets=PRIMARY_GAP_BUCKETS_S,
            registry=self.registry,
        )
        self.callers = Gauge(
            "heatherpier_callers_connected",
            "Callers that are connected.",
            registry=self.registry,
        )
        self.refused_callers = Counter(
            "heatherpier_callers_refused",
            "Connections beyond the limit.",
            registry=self.registry,
        )

    def observe_statement(self, kind: str, *, code: int | None, delay_s: float) -> None:
        """Records one statement.

        Args:
            kind: ``read``, ``write``, ``transaction`` or ``other``.
            code: Error number of its final answer, or None for a result.
            delay_s: Time in seconds from its arrival to its final answer.
        """
        self._statements.labels(kind, _outcome(code)).inc()
        self._delays.labels(kind).observe(delay_s)

    def observe_read(self, *, replica: bool) -> None:
        """Counts one read by the role of the instance that served it."""
        self._reads.labels("replica" if replica else "primary").inc()

    def observe_gap(self, group: str, *, gap_s: float) -> None:
        """Records how long this proxy knew no primary of a group, in seconds."""
        self._gaps.labels(group).observe(gap_s)


def _outcome(code: int | None) -> str:
    if code is None:
        return "ok"
    return str(code) if code in PROXY_ERROR_CODES else "rejected"
