"""Formats the report of the demo as a table."""

import statistics
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import pairwise

from heatherpier.bench._checker import Fault, Violation
from heatherpier.bench._history import History, Outcome, StatementClass
from heatherpier.bench._load import LoadResult
from heatherpier.bench._monitor import ReadCounts

GAP_WINDOW_S = 12.0
NAME_WIDTH = 40


@dataclass(frozen=True, slots=True, kw_only=True)
class Loss:
    """The loss of a primary that the demo caused.

    Attributes:
        group: Database group that lost its primary.
        at: Monotonic time in seconds of the loss.
        kind: Kind of the loss, as the report names it.
    """

    group: str
    at: float
    kind: str


def failover_gap_s(history: History, loss: Loss, *, load_end: float) -> float:
    """Returns the longest time without an acknowledged write around a loss.

    The window runs from the last acknowledgement before the loss until
    `GAP_WINDOW_S` after the loss, or until the last arrival if that is earlier. The
    result is in seconds.

    Args:
        history: Records of the callers.
        loss: The loss of the primary.
        load_end: Monotonic time in seconds of the last arrival.
    """
    end = min(loss.at + GAP_WINDOW_S, load_end)
    times = [item.ended for item in history.acknowledged(loss.group)]
    before = max((time for time in times if time <= loss.at), default=loss.at)
    in_window = [time for time in times if loss.at < time <= end]
    return max(b - a for a, b in pairwise([before, *in_window, end]))


def unserved_classes(result: LoadResult) -> list[StatementClass]:
    """Returns the classes without a successful operation, so none was checked."""
    served = result.history.served()
    return [kind for kind in result.arrivals if not served[kind]]


def format_report(
    *,
    result: LoadResult,
    losses: Sequence[Loss],
    reads: ReadCounts,
    violations: Sequence[Violation],
    seed: int,
) -> str:
    """Returns the report as text, one row a line."""
    history = result.history
    gaps = [failover_gap_s(history, loss, load_end=result.load_end) for loss in losses]
    rows = [
        *_class_rows(result),
        ("statements sent in all", f"{history.sent}"),
        ("reads from replicas", f"{reads.replica_share():.1%}"),
        ("failover gap, median", f"{statistics.median(gaps):.2f} s" if gaps else "-"),
        ("failover gap, worst", f"{max(gaps):.2f} s" if gaps else "-"),
        *(
            (f"  {loss.kind}", f"{gap:.2f} s")
            for loss, gap in zip(losses, gaps, strict=True)
        ),
        *_outcome_rows(history),
        *_fault_rows(violations),
        ("seed", f"{seed}"),
    ]
    return "\n".join(f"{name:<{NAME_WIDTH}} {value:>24}" for name, value in rows)


def _class_rows(result: LoadResult) -> Iterable[tuple[str, str]]:
    served = result.history.served()
    for kind, delays in result.delays.items():
        median, p99 = (delays.get_value_at_percentile(share) for share in (50, 99))
        yield (
            f"{kind.value}, served of arrived",
            f"{served[kind]} of {result.arrivals[kind]}",
        )
        yield "  delay, median and 99th percentile", f"{median} and {p99} ms"


def _outcome_rows(history: History) -> Iterable[tuple[str, str]]:
    outcomes = Counter(item.outcome for item in history.writes)
    for outcome in Outcome:
        yield f"writes {outcome.value}", f"{outcomes[outcome]}"
    yield "tries of reads that failed", f"{len(history.failed_reads)}"


def _fault_rows(violations: Sequence[Violation]) -> Iterable[tuple[str, str]]:
    counts = Counter(item.fault for item in violations)
    for fault in Fault:
        yield fault.value, f"{counts[fault]}"
