"""Reports metrics of reads and of the time that groups have no primary."""

from collections.abc import Callable, Iterable
from typing import Any

from heatherpier.groups import Group, NoPrimaryError
from heatherpier.reads import Reader
from heatherpier.requests import Answer, Request
from heatherpier.telemetry import Metrics
from heatherpier.timers import Timers

PRIMARY_CHECK_PERIOD_S = 0.1


class MeteredReader(Reader):
    """A reader that counts which role served each read.

    Args:
        metrics: Metrics that count the reads.
        options: Arguments of `Reader`.
    """

    def __init__(self, *, metrics: Metrics, **options: Any) -> None:
        super().__init__(**options)
        self._metrics = metrics

    async def execute(self, group: Group, req: Request) -> Answer:
        """Runs a read and counts it; see `Reader.execute`."""
        answer = await super().execute(group, req)
        self._metrics.observe_read(replica=answer.replica)
        return answer


async def observe_primary_gaps(
    groups: Callable[[], Iterable[Group]], *, timers: Timers, metrics: Metrics
) -> None:
    """Reports for how long each group had no known primary, until cancelled.

    The time before a group's first primary is known does not count.

    Args:
        groups: Returns the active groups.
        timers: Timer service.
        metrics: Metrics that the gaps are reported to.
    """
    last_seen: dict[str, float] = {}
    async for now in timers.every(PRIMARY_CHECK_PERIOD_S):
        for group in groups():
            name = group.spec.name
            if not _has_primary(group):
                continue
            gap_s = now - last_seen.get(name, now)
            if gap_s > 2 * PRIMARY_CHECK_PERIOD_S:
                metrics.observe_gap(name, gap_s=gap_s)
            last_seen[name] = now


def _has_primary(group: Group) -> bool:
    try:
        group.primary()
    except NoPrimaryError:
        return False
    return True
