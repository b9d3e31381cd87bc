"""Metrics of quotas; the number of organisations in them is bounded."""

import heapq
from collections import Counter
from collections.abc import Iterator

from prometheus_client import CollectorRegistry
from prometheus_client import Counter as CounterMetric
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

# Number of organisations that metrics name. The others have the label `OTHERS`.
NAMED = 20
OTHERS = "(others)"


class _Operations(Collector):
    """Operations by organisation, of which those with the most are named."""

    def __init__(self) -> None:
        self.admitted: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yields the metric."""
        family = CounterMetricFamily(
            "heatherpier_quota_operations",
            "Operations under a rate limit, by organisation and outcome. Counts move to "
            f"the label {OTHERS} when an organisation is no longer among the first.",
            labels=["organisation", "outcome"],
        )
        total = self.admitted + self.refused
        named = heapq.nlargest(NAMED, total, key=lambda name: (total[name], name))
        for outcome, counts in (("admitted", self.admitted), ("refused", self.refused)):
            for name in named:
                family.add_metric([name, outcome], counts[name])
            rest = counts.total() - sum(counts[name] for name in named)
            family.add_metric([OTHERS, outcome], rest)
        yield family


class QuotaMetrics:
    """Counters of operations, rights and requests.

    Args:
        registry: Registry that the metrics endpoint exposes.

    Attributes:
        asked: Rights asked of allocators.
        received: Rights received from allocators.
        expired: Rights that expired unspent.
        given: Rights given by this proxy as an allocator.
        requests: Requests to allocators by result.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._operations = _Operations()
        registry.register(self._operations)
        self.asked = CounterMetric(
            "heatherpier_rights_asked", "Rights asked of allocators.", registry=registry
        )
        self.received = CounterMetric(
            "heatherpier_rights_received",
            "Rights received from allocators.",
            registry=registry,
        )
        self.expired = CounterMetric(
            "heatherpier_rights_expired",
            "Rights that expired before an operation needed them.",
            registry=registry,
        )
        self.given = CounterMetric(
            "heatherpier_rights_given",
            "Rights that this proxy gave as an allocator.",
            registry=registry,
        )
        self.requests = CounterMetric(
            "heatherpier_rights_requests",
            "Requests to allocators by result.",
            ["result"],
            registry=registry,
        )

    def note_admitted(self, organisation: str) -> None:
        """Counts an operation that may run."""
        self._operations.admitted[organisation] += 1

    def note_refused(self, organisation: str) -> None:
        """Counts an operation that was refused."""
        self._operations.refused[organisation] += 1
