"""Registry of the instances that this proxy knows."""

from collections.abc import Callable

from heatherpier.discovery._types import InstanceRecord
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("discovery")
# A live instance whose entry expired during an outage of the store registers again
# within about 2 s of the store's return.
MISSING_GRACE_S = 2.5


class InstanceRegistry:
    """Keeps the registered instances.

    An instance whose entry is missing is kept for `MISSING_GRACE_S`, because entries
    also expire while the store is unavailable. An instance that was leaving is dropped
    at once.

    Args:
        timers: Timer service.
    """

    def __init__(self, *, timers: Timers) -> None:
        self._timers = timers
        self._records: dict[str, InstanceRecord] = {}
        self._missing_since: dict[str, float] = {}
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

    def put(self, record: InstanceRecord, *, may_be_old: bool = False) -> None:
        """Adds a new record or replaces a changed one.

        Args:
            record: The record.
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

    def _drop(self, name: str) -> None:
        self._missing_since.pop(name, None)
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
