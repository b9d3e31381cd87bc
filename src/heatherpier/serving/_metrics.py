"""Metrics of answers, attempts and sessions."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

DELAY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


class ServingMetrics:
    """Counters and histograms of answers, attempts and sessions.

    Args:
        registry: Registry that the metrics endpoint exposes.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.statements = Counter(
            "heatherpier_answers",
            "Final answers by consistency and outcome.",
            ["consistency", "outcome"],
            registry=registry,
        )
        self.delays = Histogram(
            "heatherpier_answer_seconds",
            "Time from a statement's arrival to its final answer.",
            ["consistency"],
            buckets=DELAY_BUCKETS_S,
            registry=registry,
        )
        self.attempts = Counter(
            "heatherpier_tries",
            "Tries on instances by role and result.",
            ["role", "result"],
            registry=registry,
        )
        self.sessions = Gauge(
            "heatherpier_sessions", "Open sessions of callers.", registry=registry
        )
