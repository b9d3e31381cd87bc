"""Instances that may hold acknowledged commits of services with synchronous replicas.

A commit is acknowledged once some replicas have received it. Whether a log surely has all
acknowledged commits depends on all instances that could have received them, also on those
that are down now, whose entries have expired, and that only earlier processes have seen.
So the instances of each such service are kept in a row of the fleet's table.
"""

from collections.abc import Callable

import msgspec

from heatherpier.decoding import DECODE_ERRORS
from heatherpier.discovery import InstanceRecord, InstanceRegistry
from heatherpier.leases._service_rows import CHECK_PERIOD_S, ServiceRows
from heatherpier.leases._view import FleetView
from heatherpier.tables import RowStore
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
REPLICAS_PREFIX = "replicas/"
# An instance whose entry has been missing for this long is lost for good. Its commits can't
# be waited for any longer, so a service is then served by the furthest log that is left.
GONE_AFTER_S = 30.0


class _ReplicaSet(msgspec.Struct, frozen=True, kw_only=True):
    """Content of a row: the address of each instance, by name."""

    instances: dict[str, str]


_decoder = msgspec.json.Decoder(_ReplicaSet)


class ReplicaSets:
    """Keeps the set of instances of each service with synchronous replicas.

    Args:
        me: Name of this proxy.
        store: The store.
        view: Members and leaders.
        registry: The registered instances.
        synchronous: Returns how many replicas of a service hold a commit when it is
            acknowledged.
        timers: Timer service.
    """

    def __init__(
        self,
        me: str,
        *,
        store: RowStore,
        view: FleetView,
        registry: InstanceRegistry,
        synchronous: Callable[[str], int],
        timers: Timers,
    ) -> None:
        self._registry = registry
        self._synchronous = synchronous
        self._timers = timers
        # Address of each instance that a row or this process knows, by service and name.
        self._recorded: dict[str, dict[str, str]] = {}
        self._seen: dict[str, dict[str, str]] = {}
        # Time by `Timers.elapsed` since which an instance has not been registered.
        self._absent_since: dict[str, float] = {}
        self._rows = ServiceRows(
            me,
            REPLICAS_PREFIX,
            store=store,
            view=view,
            on_row=self._apply,
            timers=timers,
        )
        registry.subscribe(self._note_instance)

    def missing(self, service: str, *, answering: set[str]) -> set[str]:
        """Returns the instances that may hold acknowledged commits, but do not answer.

        Args:
            service: Name of the service.
            answering: Names of the instances that answer.
        """
        registered = {item.name for item in self._registry.of_service(service)}
        return (self._expected(service).keys() | registered) - answering

    def _expected(self, service: str) -> dict[str, str]:
        """Returns the known instances without those that are lost for good or replaced.

        The log of a leaving instance passes to the one that takes its address.
        """
        known = self._recorded.get(service, {}) | self._seen.get(service, {})
        registered = self._registry.of_service(service)
        addresses = {_address(item): item.name for item in registered}
        return {
            name: address
            for name, address in known.items()
            if addresses.get(address, name) == name and not self._is_gone(name)
        }

    def _is_gone(self, name: str) -> bool:
        since = self._absent_since.get(name)
        return since is not None and self._timers.elapsed() - since >= GONE_AFTER_S

    def _apply(self, service: str, body: bytes | None) -> None:
        try:
            recorded = _decoder.decode(body or b'{"instances":{}}')
        except DECODE_ERRORS as exc:
            log.warning(
                "replicas row can't be decoded", service=service, reason=str(exc)
            )
            # What was recorded before still holds, and the row is written anew.
            earlier = self._recorded.pop(service, {})
            self._seen[service] = earlier | self._seen.get(service, {})
            return
        self._recorded[service] = recorded.instances
        for name in self._recorded[service]:
            if self._registry.get(name) is None:
                self._absent_since.setdefault(name, self._timers.elapsed())

    def _note_instance(self, record: InstanceRecord | None, name: str) -> None:
        if record is None:
            self._absent_since[name] = self._timers.elapsed()
            return
        self._absent_since.pop(name, None)
        self._seen.setdefault(record.service, {})[name] = _address(record)

    async def run(self) -> None:
        """Records instances in the rows of their services, until cancelled."""
        async for _ in self._timers.every(CHECK_PERIOD_S):
            if self._rows.is_voter():
                await self._record_all()

    async def _record_all(self) -> None:
        for service in {item.service for item in self._registry.all()}:
            if not self._synchronous(service):
                continue
            recorded = self._recorded.get(service, {})
            expected = self._expected(service)
            if not expected or expected == recorded:
                await self._rows.update(service, None)
                continue
            body = msgspec.json.encode(_ReplicaSet(instances=expected))
            version = await self._rows.update(service, body)
            if version:
                log.info(
                    "replicas recorded",
                    service=service,
                    instances=sorted(expected),
                    dropped=sorted(recorded.keys() - expected.keys()),
                    version=version,
                )


def _address(record: InstanceRecord) -> str:
    return f"{record.instance.host}:{record.instance.port}"
