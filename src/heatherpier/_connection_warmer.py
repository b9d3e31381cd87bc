"""Opens connections to instances ahead of use."""

from collections.abc import Callable

from heatherpier.discovery import InstanceRecord
from heatherpier.forwarding import Forwarding
from heatherpier.serving import ServingContext
from heatherpier.upstreams import ConnectError

WARM_PERIOD_S = 1.0
# Distance of data centres in other regions, see `VmLocation.distance`.
OTHER_REGION_DISTANCE = 2


class ConnectionWarmer:
    """Keeps a connection open to each instance that is likely to be used.

    These are the primaries and all instances of this VM's region, except those in
    back-off or leaving. Connections that only homes should hold are closed instead.

    Args:
        context: State that all sessions share.
        forwarding: Homes of the instances.
        distance: Returns the distance of a data centre.
    """

    def __init__(
        self,
        context: ServingContext,
        *,
        forwarding: Forwarding,
        distance: Callable[[str], int],
    ) -> None:
        self._context = context
        self._forwarding = forwarding
        self._distance = distance

    async def run(self) -> None:
        """Opens and closes connections periodically, until cancelled."""
        context = self._context
        async for _ in context.timers.every(WARM_PERIOD_S):
            for record in context.registry.all():
                if not self._forwarding.may_hold(record):
                    context.pools.close_idle(record.name)
                elif self._is_likely_used(record):
                    await self._warm(record)

    def _is_likely_used(self, record: InstanceRecord) -> bool:
        context = self._context
        if context.routes.table.organisations is not None:
            # A connection opened ahead of use would belong to no organisation.
            return False
        if context.health.in_backoff(record.name) or record.instance.leaving:
            return False
        near = self._distance(record.instance.data_centre) < OTHER_REGION_DISTANCE
        return near or context.primary(record.service) == record.name

    async def _warm(self, record: InstanceRecord) -> None:
        context = self._context
        try:
            await context.pools.direct(record).warm()
        except ConnectError as exc:
            context.health.note_failure(
                record.name, reason=str(exc), sent_at=context.timers.now()
            )
