"""Which instance each service began with, as long as its primary was never changed.

Such a service has no leadership row: its primary is the one instance whose entry claims
to lead. If that instance is lost, its entry expires, and processes that start later could
not tell from the entries that there was a primary. So its name is kept in a row of the
fleet's table.
"""

from collections.abc import Callable

import msgspec

from heatherpier.decoding import DECODE_ERRORS
from heatherpier.discovery import InstanceRegistry
from heatherpier.leases._primary_leases import LEASE_S
from heatherpier.leases._service_rows import CHECK_PERIOD_S, ServiceRows
from heatherpier.leases._view import FleetView
from heatherpier.tables import RowStore
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
FIRST_PREFIX = "first/"


class _FirstPrimary(msgspec.Struct, frozen=True, kw_only=True):
    """Content of a row: the name of the instance."""

    instance: str


_decoder = msgspec.json.Decoder(_FirstPrimary)


class FirstPrimaries:
    """Keeps the first primary of each service.

    Args:
        me: Name of this proxy.
        store: The store.
        view: Members and leaders.
        registry: The registered instances.
        services: Returns the names of the configured services.
        timers: Timer service.
    """

    def __init__(
        self,
        me: str,
        *,
        store: RowStore,
        view: FleetView,
        registry: InstanceRegistry,
        services: Callable[[], list[str]],
        timers: Timers,
    ) -> None:
        self._view = view
        self._registry = registry
        self._services = services
        self._timers = timers
        self._recorded: dict[str, str] = {}
        self._rows = ServiceRows(
            me, FIRST_PREFIX, store=store, view=view, on_row=self._apply, timers=timers
        )

    def get(self, service: str) -> str | None:
        """Returns the instance that a service began with, or None if it is not known.

        It does not tell who leads a service that has a leadership row.
        """
        return self._recorded.get(service)

    def _apply(self, service: str, body: bytes | None) -> None:
        self._recorded.pop(service, None)
        if body is None:
            return
        try:
            self._recorded[service] = _decoder.decode(body).instance
        except DECODE_ERRORS as exc:
            # The row is written anew while the primary is registered.
            log.warning(
                "row of a first primary can't be decoded",
                service=service,
                reason=str(exc),
            )

    async def run(self) -> None:
        """Records first primaries in the rows of their services, until cancelled."""
        async for _ in self._timers.every(CHECK_PERIOD_S):
            # An old view may lack a leadership row.
            if self._rows.is_voter() and self._view.copy.age_s() < LEASE_S:
                await self._record_all()

    async def _record_all(self) -> None:
        for service in self._services():
            primary = self._find(service)
            if primary is None or primary == self._recorded.get(service):
                await self._rows.update(service, None)
                continue
            body = msgspec.json.encode(_FirstPrimary(instance=primary))
            version = await self._rows.update(service, body)
            if version:
                log.info(
                    "first primary recorded",
                    service=service,
                    instance=primary,
                    version=version,
                )

    def _find(self, service: str) -> str | None:
        """Returns the primary of a service that was never changed, if it is known."""
        if self._view.needs_confirmation(service) or service in self._view.leaders:
            return None
        claims = self._registry.claiming_primary(service)
        return claims[0].name if len(claims) == 1 else None
