"""Metrics name a bounded number of organisations."""

from prometheus_client import CollectorRegistry

from heatherpier.quotas import QuotaMetrics


def test_only_the_organisations_with_most_operations_are_named():
    """Guards against a metric that grows with the number of organisations."""
    registry = CollectorRegistry()
    metrics = QuotaMetrics(registry)
    for number in range(30):
        for _ in range(number + 1):
            metrics.note_admitted(f"org-{number}")
    metrics.note_refused("org-29")
    [family] = [item for item in registry.collect() if "operations" in item.name]
    counts = {tuple(item.labels.values()): item.value for item in family.samples}
    assert len(counts) == 2 * 21
    assert counts["org-29", "admitted"] == 30
    assert counts["org-29", "refused"] == 1
    assert counts["(others)", "admitted"] == sum(range(1, 11))
