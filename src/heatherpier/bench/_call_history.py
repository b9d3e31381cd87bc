"""Records calls to proxies and checks them against the logs of the instances."""

from dataclasses import dataclass, field

from heatherpier.bench._simulated_group import SimulatedGroup
from heatherpier.positions import LogPosition


@dataclass(slots=True)
class CallHistory:
    """Records the answers that callers got; times are in seconds by `Timers.now`.

    Attributes:
        writes: For each acknowledged write, the times of its request and its answer,
            and its position.
        reads: For each read, the time whose acknowledged commits it has to see, the
            time of its request, and the position that it saw.
        not_run: Ids of statements whose answer says that they did not run.
    """

    writes: list[tuple[float, float, LogPosition]] = field(default_factory=list)
    reads: list[tuple[float, float, LogPosition]] = field(default_factory=list)
    not_run: list[str] = field(default_factory=list)


def find_old_commits(group: SimulatedGroup, history: CallHistory) -> list[LogPosition]:
    """Returns acknowledged commits of an old primary made after a later term began."""
    return [
        position
        for _, _, position in history.writes
        for term, began in group.term_started_at.items()
        if term > position.term and group.committed_at[position] > began
    ]


def find_stale_reads(
    group: SimulatedGroup, history: CallHistory
) -> list[tuple[LogPosition, LogPosition]]:
    """Returns reads that miss a commit which they have to see.

    Commits that the current primary does not have are left out.

    Returns:
        The position that each such read saw, and the position that it missed.
    """
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


def find_false_refusals(group: SimulatedGroup, history: CallHistory) -> set[str]:
    """Returns ids of statements that ran although their answers deny it."""
    ran = {
        statement.id for item in group.instances.values() for statement in item.executed
    }
    return ran & set(history.not_run)


def find_repeated_writes(group: SimulatedGroup) -> list[str]:
    """Returns ids of writes that ran more than once, on one or several instances."""
    ids = [
        statement.id
        for item in group.instances.values()
        for statement in item.executed
        if statement.text.startswith("WRITE")
    ]
    return sorted({id_ for id_ in ids if ids.count(id_) > 1})
