"""What callers of proxies saw, checked against the instances' own logs."""

from dataclasses import dataclass, field

from heatherpier.bench._line_group import LineGroup
from heatherpier.groups import LogPosition


@dataclass(slots=True)
class History:
    """What callers saw; times are in seconds by `Timers.now`.

    Attributes:
        writes: When each acknowledged write was asked and answered, and its position.
        reads: Up to when each read has to show all, when it was asked, and the
            position that it showed.
        not_run: Ids of statements that were answered as not run.
    """

    writes: list[tuple[float, float, LogPosition]] = field(default_factory=list)
    reads: list[tuple[float, float, LogPosition]] = field(default_factory=list)
    not_run: list[str] = field(default_factory=list)


def find_old_commits(group: LineGroup, history: History) -> list[LogPosition]:
    """Returns acknowledged commits of an old primary after a newer term began."""
    return [
        position
        for _, _, position in history.writes
        for term, began in group.effects.items()
        if term > position.term and group.commits[position] > began
    ]


def find_stale_reads(
    group: LineGroup, history: History
) -> list[tuple[LogPosition, LogPosition]]:
    """Returns reads that miss a commit which was acknowledged long enough before."""
    kept = {position for position, _ in group.primary().log}
    acknowledged = sorted(
        (at, position) for _, at, position in history.writes if position in kept
    )
    return [
        (position, missed)
        for fresh_at, _, position in history.reads
        for at, missed in acknowledged
        if at < fresh_at and missed > position
    ]


def find_false_refusals(group: LineGroup, history: History) -> set[str]:
    """Returns ids of statements that ran though their callers were told otherwise."""
    ran = {run.id for item in group.instances.values() for run in item.runs}
    return ran & set(history.not_run)


def find_repeated_writes(group: LineGroup) -> list[str]:
    """Returns ids of writes that ran more than once, on any instances."""
    ids = [
        run.id
        for item in group.instances.values()
        for run in item.runs
        if run.text.startswith("WRITE")
    ]
    return sorted({id_ for id_ in ids if ids.count(id_) > 1})
