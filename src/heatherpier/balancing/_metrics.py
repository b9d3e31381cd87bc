"""Metrics of the choice of instances for reads."""

from prometheus_client import CollectorRegistry, Counter, Histogram

AGE_BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)


class BalancingMetrics:
    """Counters and histograms of choices.

    Args:
        registry: Registry that the metrics endpoint exposes.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.choices = Counter(
            "heatherpier_balanced_reads",
            "Choices of an instance for a read, by its role and by distance.",
            ["role", "nearest"],
            registry=registry,
        )
        self.report_age = Histogram(
            "heatherpier_balancing_report_age_seconds",
            "Age of the load report on the chosen instance.",
            buckets=AGE_BUCKETS_S,
            registry=registry,
        )

    def observe(self, *, role: str, nearest: bool, report_age_s: float | None) -> None:
        """Records one choice.

        Args:
            role: ``primary`` or ``replica``.
            nearest: Whether no candidate was nearer than the chosen one.
            report_age_s: Age in seconds of the report on it, or None without one.
        """
        self.choices.labels(role, "yes" if nearest else "no").inc()
        if report_age_s is not None:
            self.report_age.observe(report_age_s)
