"""Registry of the instances that this proxy knows."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Histogram

from heatherpier.discovery._types import InstanceRecord
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("discovery")
# A live instance whose entry expired during an outage of the store registers again
# within about 2 s of the store's return.
MISSING_GRACE_S = 2.5
# Longest time for which sent data may be on its way to an instance: a connection whose
# data stays unacknowledged for longer fails.
DELIVERY_S = 2.5
# Longest time that a process which is not delayed takes from the check of an instance to
# the system call that sends.
SENDING_S = 0.5
# A leaving instance gets no new work for this long before it may end: the work has to
# reach it in time.
DRAIN_MARGIN_S = DELIVERY_S + SENDING_S
# Time for which a delay of this process extends the margin.
DELAY_MEMORY_S = 30.0
LEAVING_WORK_BUCKETS_S = (0.5, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0)
# Time after which an entry that may be one of a backup counts as the present one: its
# instance has written since, or the entry has been removed.
BACKUP_ENTRY_S = 5.0
# Time for which it is remembered since when a dropped instance has been leaving.
LEAVING_RETENTION_S = 60.0


class InstanceRegistry:
    """Keeps the registered instances.

    An instance whose entry is missing is kept for `MISSING_GRACE_S`, because entries
    also expire while the store is unavailable. An instance that was leaving is dropped
    at once.

    Args:
        timers: Timer service.
        drain_s: Time in seconds for which an instance still accepts new work after it
            has said that it leaves; infinite if it is not known.
        metrics: Registry for the metrics of leaving instances; None for none.
    """

    def __init__(
        self,
        *,
        timers: Timers,
        drain_s: float = float("inf"),
        metrics: CollectorRegistry | None = None,
    ) -> None:
        self._timers = timers
        self._new_work_s = drain_s - min(DRAIN_MARGIN_S, drain_s / 2)
        # The longest recent delay of this process, and until when it counts, by
        # `Timers.elapsed`.
        self._delay = (0.0, float("-inf"))
        self._leaving_work = Histogram(
            "heatherpier_leaving_work_seconds",
            "Time from when an instance may have begun to leave to new work for it.",
            buckets=LEAVING_WORK_BUCKETS_S,
            registry=metrics,
        )
        self._records: dict[str, InstanceRecord] = {}
        self._missing_since: dict[str, float] = {}
        # Time by `Timers.elapsed` at which an instance was last known not to leave, with
        # its start.
        self._leaving_since: dict[str, tuple[int, float]] = {}
        # Time by `Timers.elapsed` at which an instance no longer counts as leaving, since
        # an entry that may be one of a backup says that it stays.
        self._stays_from: dict[str, float] = {}
        self._listeners: list[Callable[[InstanceRecord | None, str], None]] = []

    def subscribe(self, listener: Callable[[InstanceRecord | None, str], None]) -> None:
        """Calls ``listener`` with each changed record (None: dropped) and its name."""
        self._listeners.append(listener)

    def get(self, name: str) -> InstanceRecord | None:
        """Returns the record of an instance, or None if it is not registered."""
        return self._records.get(name)

    def of_service(self, service: str) -> list[InstanceRecord]:
        """Returns the registered instances of a service."""
        return [
            record for record in self._records.values() if record.service == service
        ]

    def claiming_primary(self, service: str) -> list[InstanceRecord]:
        """Returns the registered instances of a service that claim to lead it."""
        return [item for item in self.of_service(service) if item.claims_primary]

    def all(self) -> list[InstanceRecord]:
        """Returns all registered instances."""
        return list(self._records.values())

    def is_missing(self, name: str) -> bool:
        """Returns whether the instance is kept although its entry is missing."""
        return name in self._missing_since

    def accepts_new_work(self, name: str) -> bool:
        """Returns whether an instance may be given work that is not bound to it.

        One that leaves ends some time after it has said so, and the work with it. One
        that is not registered has ended.
        """
        return name in self._records and self.new_work_left_s(name) > 0

    def new_work_left_s(self, name: str) -> float:
        """Returns for how long an instance may still be given new work, in seconds.

        It is infinite unless the instance leaves, and negative once the time is over.
        """
        leaving = self._leaving_since.get(name)
        if leaving is None or self._new_work_s == float("inf"):
            return float("inf")
        limit_s = self._new_work_s - max(self._recent_delay_s() - SENDING_S, 0.0)
        return leaving[1] + limit_s - self._timers.elapsed()

    def note_new_work(self, name: str) -> None:
        """Records that new work is being sent to an instance."""
        leaving = self._leaving_since.get(name)
        if leaving is not None:
            self._leaving_work.observe(self._timers.elapsed() - leaving[1])

    def note_delay(self, delay_s: float) -> None:
        """Records that this process ran later than it was due.

        What it sends may be as late, so the margin before the end of a leaving instance
        grows by such delays for `DELAY_MEMORY_S`.

        Args:
            delay_s: The delay in seconds.
        """
        if delay_s >= self._recent_delay_s():
            self._delay = (delay_s, self._timers.elapsed() + DELAY_MEMORY_S)

    def _recent_delay_s(self) -> float:
        delay_s, until = self._delay
        return delay_s if self._timers.elapsed() < until else 0.0

    def put(
        self,
        record: InstanceRecord,
        *,
        may_be_old: bool = False,
        list_age_s: float = 0.0,
    ) -> None:
        """Adds a new record or replaces a changed one.

        Args:
            record: The record.
            list_age_s: Age in seconds of the list in which the change was not seen yet;
                infinite for the first list.
            may_be_old: Whether the record may be from before the known one, which it does
                not replace then. Otherwise a lower sequence does not matter, as an entry
                of another writer may have stated any.
        """
        name = record.name
        self._missing_since.pop(name, None)
        known = self._records.get(name)
        if known == record:
            return
        if may_be_old and known is not None and _is_older(record, known):
            log.info(
                "older entry of an instance ignored",
                instance=name,
                sequence=record.sequence,
                known=known.sequence,
            )
            return
        self._records[name] = record
        self._note_leaving(record, list_age_s, may_be_old=may_be_old)
        if known is None or known.instance != record.instance:
            log.info(
                "instance added or changed",
                instance=name,
                service=record.service,
                data_centre=record.instance.data_centre,
                leaving=record.instance.leaving,
                primary=record.claims_primary,
            )
        self._notify(record, name)

    def remove(self, name: str, *, reason: str) -> None:
        """Records that the entry of an instance is missing or cannot be read.

        Args:
            name: Name of the instance.
            reason: Cause, for the log.
        """
        record = self._records.get(name)
        if record is None or name in self._missing_since:
            return
        log.info("instance entry missing", instance=name, reason=reason)
        if record.instance.leaving:
            self._drop(name)
            return
        self._missing_since[name] = self._timers.now()

    def expire(self) -> None:
        """Drops instances whose entries have been missing for `MISSING_GRACE_S`."""
        now = self._timers.now()
        for name, since in list(self._missing_since.items()):
            if now - since >= MISSING_GRACE_S:
                self._drop(name)
        for name, stays_from in list(self._stays_from.items()):
            if self._timers.elapsed() >= stays_from:
                self._forget_leaving(name)
        oldest = self._timers.elapsed() - LEAVING_RETENTION_S
        self._leaving_since = {
            name: leaving
            for name, leaving in self._leaving_since.items()
            if name in self._records or leaving[1] >= oldest
        }

    def _note_leaving(
        self, record: InstanceRecord, list_age_s: float, *, may_be_old: bool
    ) -> None:
        """Records since when an instance may have been leaving.

        Its entry may have been missing for a while. It has not begun anew then, and a
        record that may be from before does not show at once that it stays.
        """
        started_ms, since = self._leaving_since.get(record.name, (None, 0.0))
        if not record.instance.leaving:
            if may_be_old and started_ms == record.started_ms:
                now = self._timers.elapsed()
                self._stays_from[record.name] = now + BACKUP_ENTRY_S
            else:
                self._forget_leaving(record.name)
            return
        self._stays_from.pop(record.name, None)
        if started_ms != record.started_ms:
            since = self._timers.elapsed() - list_age_s
            self._leaving_since[record.name] = (record.started_ms, since)

    def _forget_leaving(self, name: str) -> None:
        self._leaving_since.pop(name, None)
        self._stays_from.pop(name, None)

    def _drop(self, name: str) -> None:
        self._missing_since.pop(name, None)
        self._stays_from.pop(name, None)
        record = self._records.pop(name)
        log.info("instance dropped", instance=name, service=record.service)
        self._notify(None, name)

    def _notify(self, record: InstanceRecord | None, name: str) -> None:
        for listener in self._listeners:
            listener(record, name)


def _is_older(record: InstanceRecord, known: InstanceRecord) -> bool:
    """Returns whether a record was written before another one of its incarnation.

    A store that was restored from a backup shows such records until the instances have
    written theirs again.
    """
    same_incarnation = record.started_ms == known.started_ms > 0
    return same_incarnation and 0 < record.sequence < known.sequence
