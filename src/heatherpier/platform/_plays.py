"""Reads reports and logs of the users' bench.

A report is the JSON file of one play. A log is the play's output with the lines of the
processes; each line begins with the simulated time in seconds.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from heatherpier.platform._errors import MalformedRecordError

NOT_SERVED_MESSAGE = "statement not served"
# What differs from one refusal to the next: names of instances and proxies, numbers.
_INSTANCE = re.compile(r"\bi-[0-9a-f]+")
_PROXY = re.compile(r"\bfront-[a-z0-9-]+")
_NUMBER = re.compile(r"\d+(\.\d+)?")


class _WireWindow(msgspec.Struct, kw_only=True):
    # Second at which the window begins.
    name: str
    # Requests whose clients were owed an answer, and how they ended.
    n: int
    late: int
    refused: int
    failed: int
    # Credit earned as a fraction of the credit owed.
    worth: float


class _WireEvent(msgspec.Struct, kw_only=True):
    at_s: float
    to_s: float
    kind: str


class _WireReport(msgspec.Struct, kw_only=True):
    windows: list[_WireWindow]
    events: list[_WireEvent]


class _WireLine(msgspec.Struct, kw_only=True):
    message: str
    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Window:
    """Requests that were sent in one interval of a play.

    Attributes:
        began_s: Start of the interval, in seconds from the start of traffic.
        requests: Count of requests.
        late: Count of those served after their latency objective.
        refused: Count of those refused in the end.
        failed: Count of those that ended without an answer, or with a failure.
        earned: Credit earned as a fraction of the credit owed.
    """

    began_s: float
    requests: int
    late: int
    refused: int
    failed: int
    earned: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Disruption:
    """A disruption of a play.

    Attributes:
        kind: Kind and variant, as the bench names them.
        began_s: Start in seconds from the start of traffic.
        ended_s: End in seconds from the start of traffic.
    """

    kind: str
    began_s: float
    ended_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """An attempt that a proxy refused.

    Attributes:
        at_s: Time in seconds from the start of traffic.
        reason: Reason without names and numbers.
    """

    at_s: float
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Play:
    """One day as the users' bench played it."""

    windows: tuple[Window, ...]
    disruptions: tuple[Disruption, ...]
    refusals: tuple[Refusal, ...]


def read_play(report: Path, log: Path | None) -> Play:
    """Returns what a report and a log say of one play.

    Raises:
        MalformedRecordError: A file can't be read, or the report is malformed.
    """
    try:
        wire = msgspec.json.decode(report.read_bytes(), type=_WireReport)
        windows = tuple(_decode_window(item) for item in wire.windows)
        lines = [] if log is None else log.read_text(errors="replace").splitlines()
    except (OSError, ValueError) as exc:
        raise MalformedRecordError(f"{report}: {exc}") from exc
    return Play(
        windows=windows,
        disruptions=tuple(
            Disruption(kind=item.kind, began_s=item.at_s, ended_s=item.to_s)
            for item in wire.events
        ),
        refusals=tuple(_read_refusals(lines)),
    )


def _decode_window(wire: _WireWindow) -> Window:
    return Window(
        began_s=float(wire.name),
        requests=wire.n,
        late=wire.late,
        refused=wire.refused,
        failed=wire.failed,
        earned=wire.worth,
    )


def _read_refusals(lines: Iterable[str]) -> Iterable[Refusal]:
    for line in lines:
        # Two processes may write to the same line of the output, so a line may not be
        # JSON. Such lines are few, and are left out.
        head, brace, tail = line.partition("{")
        try:
            at_s = float(head.split()[0])
            fields = msgspec.json.decode((brace + tail).encode(), type=_WireLine)
        except (IndexError, ValueError):
            continue
        if fields.message == NOT_SERVED_MESSAGE:
            yield Refusal(at_s=at_s, reason=_generalise(fields.reason))


def _generalise(reason: str) -> str:
    reason = _INSTANCE.sub("INSTANCE", reason)
    reason = _PROXY.sub("PROXY", reason)
    return _NUMBER.sub("N", reason)
