"""The instances of all services as this proxy knows them."""

from collections.abc import Callable

from heatherpier.discovery._types import InstanceRecord
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("discovery")
# A live instance whose entry expired during an outage of the store is registered
# again within about two seconds of its return.
MISSING_GRACE_S = 2.5


class InstanceRegistry:
    """Keeps the registered instances.

    A removed entry goes on counting for `MISSING_GRACE_S`, because entries also
    expire while the store is away. An instance that was leaving is gone at once.

    Args:
        timers: Timer service.
    """

    def __init__(self, *, timers: Timers) -> None:
        self._timers = timers
        self._records: dict[str, InstanceRecord] = {}
        self._missing_since: dict[str, float] = {}
        self._listeners: list[Callable[[InstanceRecord | None, str], None]] = []

    def subscribe(self, listener: Callable[[InstanceRecord | None, str], None]) -> None:
        """Has ``listener`` called with each changed record, or None, and its name."""
        self._listeners.append(listener)

    def get(self, name: str) -> InstanceRecord | None:
        """Returns a registered instance, or None."""
        return self._records.get(name)

    def of_service(self, service: str) -> list[InstanceRecord]:
        """Returns the instances of a service that are not gone."""
        return [item for item in self._records.values() if item.service == service]

    def all(self) -> list[InstanceRecord]:
        """Returns all instances that are not gone."""
        return list(self._records.values())

    def is_missing(self, name: str) -> bool:
        """Tells whether the instance's entry is missing at present."""
        return name in self._missing_since

    def put(self, record: InstanceRecord) -> None:
        """Takes in a new or changed record."""
        name = record.name
        self._missing_since.pop(name, None)
        known = self._records.get(name)
        if known == record:
            return
        self._records[name] = record
        if known is None or known.instance != record.instance:
            log.info(
                "instance known",
                instance=name,
                service=record.service,
                data_centre=record.instance.data_centre,
                leaving=record.instance.leaving,
                primary=record.claims_primary,
            )
        self._notify(record, name)

    def remove(self, name: str, *, reason: str) -> None:
        """Takes in that an entry is missing or can't be read."""
        record = self._records.get(name)
        if record is None or name in self._missing_since:
            return
        log.info("instance entry missing", instance=name, reason=reason)
        if record.instance.leaving:
            self._drop(name)
            return
        self._missing_since[name] = self._timers.now()

    def expire(self) -> None:
        """Drops instances whose entries have been missing for too long."""
        now = self._timers.now()
        for name, since in list(self._missing_since.items()):
            if now - since >= MISSING_GRACE_S:
                self._drop(name)

    def _drop(self, name: str) -> None:
        self._missing_since.pop(name, None)
        record = self._records.pop(name)
        log.info("instance gone", instance=name, service=record.service)
        self._notify(None, name)

    def _notify(self, record: InstanceRecord | None, name: str) -> None:
        for listener in self._listeners:
            listener(record, name)
