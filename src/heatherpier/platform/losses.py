"""Table of the credit that a play of the users' bench lost, by cause.

``python -m heatherpier.platform.losses REPORT [LOG]`` prints it. REPORT is the JSON file
of the play, LOG its output with the lines of all processes.
"""

import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from heatherpier.platform._errors import MalformedRecordError
from heatherpier.platform._plays import Disruption, Play, Refusal, Window, read_play

# Interval in which the bench counts requests.
WINDOW_S = 2.0
# Retries of a request are refused this long after it was sent, at most.
RETRY_SPAN_S = 2.0
# A disruption still shows for this long after its end.
AFTERMATH_S = 4.0
# Windows that lost less than this fraction are not shown one by one.
MIN_SHOWN_LOSS = 0.01
UNEXPLAINED = "not explained"
EXIT_INVALID = 2


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Cause:
    """Why requests of a play lost credit.

    Attributes:
        ending: How they ended: refused, failed or late.
        reason: Reason of the refusals, or the disruptions at that time.
    """

    ending: str
    reason: str


def losses_by_cause(play: Play) -> dict[Cause, float]:
    """Returns the lost credit by cause, in requests of mean worth.

    Refused and failed requests lose all their credit; the rest of a window's loss is
    that of late answers. The refused ones are divided by the reasons that proxies logged
    then. The sum is the loss of the whole play.
    """
    losses: dict[Cause, float] = defaultdict(float)
    for window in play.windows:
        for cause, lost in _window_losses(window, play).items():
            losses[cause] += lost
    return dict(losses)


def _window_losses(window: Window, play: Play) -> dict[Cause, float]:
    lost = window.requests * (1 - window.earned)
    losses: dict[Cause, float] = defaultdict(float)
    reasons = _reasons(window, play.refusals)
    total = sum(reasons.values())
    refused = min(float(window.refused), lost)
    for reason, count in reasons.items():
        losses[Cause(ending="refused", reason=reason)] += refused * count / total
    if not total:
        losses[Cause(ending="refused", reason=UNEXPLAINED)] += refused
    around = _disruptions(window, play.disruptions) or UNEXPLAINED
    failed = min(float(window.failed), lost - refused)
    losses[Cause(ending="failed", reason=around)] += failed
    losses[Cause(ending="late", reason=around)] += lost - refused - failed
    return losses


def _reasons(window: Window, refusals: Iterable[Refusal]) -> Counter[str]:
    until = window.began_s + WINDOW_S + RETRY_SPAN_S
    return Counter(
        item.reason for item in refusals if window.began_s <= item.at_s < until
    )


def _disruptions(window: Window, disruptions: Iterable[Disruption]) -> str:
    kinds = {
        item.kind
        for item in disruptions
        if item.began_s < window.began_s + WINDOW_S
        and window.began_s < item.ended_s + AFTERMATH_S
    }
    return ", ".join(sorted(kinds))


def print_losses(report: Path, log: Path | None) -> None:
    """Prints the losses of a play by cause, and of its worst windows.

    Raises:
        MalformedRecordError: A file can't be read, or the report is malformed.
    """
    play = read_play(report, log)
    owed = sum(window.requests for window in play.windows)
    losses = losses_by_cause(play)
    total = sum(losses.values())
    print(f"lost {total:.1f} of {owed} requests' worth, {total / max(owed, 1):.4f}")
    for cause, lost in sorted(losses.items(), key=lambda item: -item[1]):
        if lost:
            share = lost / total
            print(f"{lost:9.1f} {share:6.1%}  {cause.ending}: {cause.reason}")
    for window in play.windows:
        if 1 - window.earned >= MIN_SHOWN_LOSS:
            print(
                f"from {window.began_s:g} s: earned {window.earned:.3f}, "
                f"late {window.late}, refused {window.refused}, "
                f"failed {window.failed} of {window.requests}"
            )


def main(arguments: list[str]) -> int:
    """Prints the table for the files in the arguments and returns the exit code."""
    if len(arguments) not in (1, 2):
        print("usage: REPORT [LOG]", file=sys.stderr)
        return EXIT_INVALID
    report, *logs = map(Path, arguments)
    try:
        print_losses(report, logs[0] if logs else None)
    except MalformedRecordError as exc:
        print(f"losses: {exc}", file=sys.stderr)
        return EXIT_INVALID
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
