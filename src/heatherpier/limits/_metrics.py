"""Metrics of admission."""

from prometheus_client import Counter, Gauge

REFUSED = Counter(
    "heatherpier_admission_refused",
    "Statements refused as overloaded, by instance and priority class.",
    ["instance", "priority"],
)
WAITING = Gauge(
    "heatherpier_admission_waiting",
    "Statements that wait for a place on an instance.",
    ["instance"],
)
CONCURRENCY = Gauge(
    "heatherpier_admission_concurrency",
    "Statements that may run on an instance at once.",
    ["instance"],
)
