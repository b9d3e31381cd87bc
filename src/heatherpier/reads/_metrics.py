"""Metrics of reads."""

from prometheus_client import Counter

READS = Counter(
    "heatherpier_reads",
    "Reads that were answered, by group and by the role of the instance.",
    ["group", "role"],
)
READS_GIVEN_UP = Counter(
    "heatherpier_reads_given_up",
    "Reads that got a final answer other than a result, by group and answer.",
    ["group", "answer"],
)
