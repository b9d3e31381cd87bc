"""Metrics of one proxy; units stand in the names, labels are bounded."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

DELAY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)
GAP_BUCKETS_S = (0.1, 0.25, 0.5, 1, 2, 3, 5, 10, 30, 60)
OWN_CODES = range(7000, 7100)


class Metrics:
    """Counts what a proxy does.

    Attributes:
        registry: What the admin endpoint shows.
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
            buckets=GAP_BUCKETS_S,
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
        """Counts one statement.

        Args:
            kind: ``read``, ``write``, ``transaction`` or ``other``.
            code: Error number of its final answer, or None for a result.
            delay_s: Time in seconds that it took.
        """
        self._statements.labels(kind, _outcome(code)).inc()
        self._delays.labels(kind).observe(delay_s)

    def observe_read(self, *, replica: bool) -> None:
        """Counts one read by the role of the instance that served it."""
        self._reads.labels("replica" if replica else "primary").inc()

    def observe_gap(self, group: str, *, gap_s: float) -> None:
        """Counts one time without a primary, in seconds."""
        self._gaps.labels(group).observe(gap_s)


def _outcome(code: int | None) -> str:
    if code is None:
        return "ok"
    return str(code) if code in OWN_CODES else "rejected"
