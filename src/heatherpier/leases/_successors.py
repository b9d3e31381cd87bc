"""Choice of the instance that leads a service after a change of primary."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass

from heatherpier.discovery import InstanceRecord, InstanceRegistry
from heatherpier.leases._fence import CONTROL_TIMEOUT_S, PrimaryChange
from heatherpier.leases._interface import (
    ControlError,
    InstanceControl,
    ReplicationStatus,
)
from heatherpier.leases._replica_sets import ReplicaSets
from heatherpier.positions import LogPosition
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# Time for the successor to receive the last commits of a leaving primary.
CATCH_UP_TIMEOUT_S = 1.0
POLL_PERIOD_S = 0.03


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An instance that answers and may lead.

    Attributes:
        record: Entry of the instance.
        status: What the instance says of itself.
    """

    record: InstanceRecord
    status: ReplicationStatus

    @property
    def position(self) -> LogPosition:
        """Last log position that the instance has received."""
        return self.status.position

    @property
    def stays(self) -> bool:
        """Whether the instance is not leaving."""
        return not self.record.instance.leaving


class Successors:
    """Chooses successors from what instances say of themselves.

    Args:
        registry: The registered instances.
        control: Control statements to instances.
        replica_sets: Instances that may hold acknowledged commits.
        synchronous: Returns how many replicas of a service hold a commit when it is
            acknowledged.
        timers: Timer service.
    """

    def __init__(
        self,
        *,
        registry: InstanceRegistry,
        control: InstanceControl,
        replica_sets: ReplicaSets,
        synchronous: Callable[[str], int],
        timers: Timers,
    ) -> None:
        self._registry = registry
        self._control = control
        self._replica_sets = replica_sets
        self._synchronous = synchronous
        self._timers = timers

    async def fetch_status(self, record: InstanceRecord) -> ReplicationStatus | None:
        """Returns the replication status of an instance, or None without an answer."""
        try:
            return await self._control.replication_status(
                record, timeout_s=CONTROL_TIMEOUT_S
            )
        except ControlError as exc:
            log.info(
                "replication status unavailable", instance=record.name, reason=str(exc)
            )
            return None

    async def fetch_statuses(
        self, change: PrimaryChange
    ) -> dict[str, ReplicationStatus]:
        """Returns the replication status of each instance that answers, by name.

        The old primary is left out: if it is lost, asking it only costs the timeout.
        """
        records = self._others(change)
        answers = await asyncio.gather(*(self.fetch_status(item) for item in records))
        return {
            item.name: answer
            for item, answer in zip(records, answers, strict=True)
            if answer is not None
        }

    async def choose(
        self,
        change: PrimaryChange,
        *,
        min_position: LogPosition | None,
        excluded: Collection[str],
    ) -> Candidate | None:
        """Returns the instance that is to lead, or None if no instance answers.

        If the log of the preferred candidate does not reach ``min_position``, the choice
        waits until `_may_promote` allows it. The old primary is chosen if it answers
        while no candidate can take its place.

        Args:
            change: The change.
            min_position: Last position of the old primary, or None if it is not known.
            excluded: Names of instances that could not be promoted.
        """
        until = self._timers.now() + CATCH_UP_TIMEOUT_S
        waits = False
        while True:
            candidates = await self._find_candidates(change, excluded)
            if candidates:
                best = self._preferred(change, candidates)
                complete = min_position is not None and best.position >= min_position
                if complete or self._may_promote(
                    change, candidates, min_position, until=until
                ):
                    _log_choice(change, best, min_position, count=len(candidates))
                    return best
                if not waits:
                    waits = True
                    log.info(
                        "successor not chosen yet",
                        service=change.service,
                        furthest=best.record.name,
                        position=str(best.position),
                        least=str(min_position),
                        missing=sorted(self._missing(change, candidates)),
                    )
            if not candidates or self._timers.now() >= until:
                previous = await self._find_previous(change, excluded)
                if previous is not None or not candidates:
                    return previous
            await self._timers.sleep(POLL_PERIOD_S)

    async def _find_candidates(
        self, change: PrimaryChange, excluded: Collection[str]
    ) -> list[Candidate]:
        statuses = await self.fetch_statuses(change)
        return [
            Candidate(record=record, status=status)
            for name, status in statuses.items()
            if name not in excluded
            if (record := self._registry.get(name)) is not None
        ]

    async def _find_previous(
        self, change: PrimaryChange, excluded: Collection[str]
    ) -> Candidate | None:
        """Returns the old primary if it is registered and answers, or None."""
        record = self._registry.get(change.previous)
        if (
            record is None
            or change.previous in excluded
            or self._registry.is_missing(change.previous)
        ):
            return None
        status = await self.fetch_status(record)
        if status is None:
            return None
        log.info(
            "no successor, old primary chosen",
            service=change.service,
            instance=record.name,
            leads=status.leads,
            term=status.term,
        )
        return Candidate(record=record, status=status)

    def _others(self, change: PrimaryChange) -> list[InstanceRecord]:
        return [
            item
            for item in self._registry.of_service(change.service)
            if item.name != change.previous
        ]

    def _preferred(
        self, change: PrimaryChange, candidates: list[Candidate]
    ) -> Candidate:
        """Returns the best successor.

        With synchronous replicas it is the one whose log is furthest, as only that log
        surely has all acknowledged commits. Otherwise instances that are not leaving
        come first.
        """
        if self._synchronous(change.service):
            return max(
                candidates,
                key=lambda item: (item.position, item.stays, item.record.name),
            )
        return max(
            candidates, key=lambda item: (item.stays, item.position, item.record.name)
        )

    def _may_promote(
        self,
        change: PrimaryChange,
        candidates: list[Candidate],
        min_position: LogPosition | None,
        *,
        until: float,
    ) -> bool:
        """Returns whether to promote without a log that reaches ``min_position``.

        With n synchronous replicas, each acknowledged commit is in the logs of n
        instances besides the old primary. As long as fewer than n of the instances that
        may hold them are missing, the furthest log among the candidates has every
        acknowledged commit. Without synchronous replicas, a planned change waits until
        ``until`` for the log to catch up.
        """
        synchronous = self._synchronous(change.service)
        if synchronous:
            return len(self._missing(change, candidates)) < synchronous
        return min_position is None or self._timers.now() >= until

    def _missing(self, change: PrimaryChange, candidates: list[Candidate]) -> set[str]:
        answering = {item.record.name for item in candidates}
        return self._replica_sets.missing(
            change.service, answering=answering | {change.previous}
        )


def _log_choice(
    change: PrimaryChange,
    best: Candidate,
    min_position: LogPosition | None,
    *,
    count: int,
) -> None:
    log.info(
        "successor chosen",
        service=change.service,
        instance=best.record.name,
        position=str(best.position),
        least=str(min_position),
        candidates=count,
    )
