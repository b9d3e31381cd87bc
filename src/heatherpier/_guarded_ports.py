"""Turns unexpected errors of interfaces to instances into their usual ones.

Callers of these interfaces handle the errors that the interfaces name. Any other error of
one instance would end what was being decided for all of them, and end it again each time.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from prometheus_client import CollectorRegistry, Counter

from heatherpier.discovery import InstanceRecord
from heatherpier.leases import ControlError, InstanceControl, ReplicationStatus
from heatherpier.pooling import InstanceConnector, InstanceLink
from heatherpier.telemetry import get_logger
from heatherpier.upstreams import ConnectError, Instance, UpstreamError

log = get_logger("engine")
# Bound of the instances for which it is remembered that an error was logged.
MAX_LOGGED = 256


class UnexpectedErrors:
    """Counts unexpected errors, and logs the first one of each instance.

    Args:
        metrics: Registry for the counter.
    """

    def __init__(self, metrics: CollectorRegistry) -> None:
        self._logged: set[tuple[str, str]] = set()
        self._count = Counter(
            "heatherpier_unexpected_instance_errors",
            "Errors of instances that no caller expects, by action.",
            ["action"],
            registry=metrics,
        )

    def note(self, instance: str, exc: Exception, *, action: str) -> None:
        """Records an error.

        Args:
            instance: Name of the instance.
            exc: The error.
            action: What failed, as the label of the metric.
        """
        self._count.labels(action).inc()
        if (instance, action) in self._logged:
            return
        if len(self._logged) >= MAX_LOGGED:
            self._logged.clear()
        self._logged.add((instance, action))
        log.error(
            "unexpected error of an instance",
            instance=instance,
            action=action,
            exc_info=(type(exc), exc, exc.__traceback__),
        )


class GuardedConnector:
    """Implements `InstanceConnector`; raises no other errors than that names.

    Args:
        connector: Opens the connections.
        errors: Records unexpected errors.
    """

    def __init__(
        self, connector: InstanceConnector, *, errors: UnexpectedErrors
    ) -> None:
        self._connector = connector
        self._errors = errors

    async def connect(
        self, instance: Instance, *, service: str, organisation: str = ""
    ) -> InstanceLink:
        """Opens a connection to the instance of that name and service.

        Raises:
            ConnectError: No connection can be opened, whatever the reason.
            TooManyConnectionsError: The instance is at its connection limit.
        """
        try:
            return await self._connector.connect(
                instance, service=service, organisation=organisation
            )
        except UpstreamError:
            raise
        except Exception as exc:
            self._errors.note(instance.name, exc, action="connect")
            raise ConnectError(
                f"{instance.name}: unexpected {type(exc).__name__}: {exc}"
            ) from exc


class GuardedControl:
    """Implements `InstanceControl`; raises no other errors than that names.

    Args:
        control: Sends the control statements.
        errors: Records unexpected errors.
    """

    def __init__(self, control: InstanceControl, *, errors: UnexpectedErrors) -> None:
        self._control = control
        self._errors = errors

    async def replication_status(
        self, record: InstanceRecord, *, timeout_s: float
    ) -> ReplicationStatus:
        """Returns the replication status that an instance reports.

        Raises:
            InstanceFullError: The instance is alive, but accepts no connection.
            ControlError: There is no usable answer, whatever the reason.
        """
        async with self._guard(record.name, action="status"):
            return await self._control.replication_status(record, timeout_s=timeout_s)

    async def demote(
        self, record: InstanceRecord, *, term: int, timeout_s: float
    ) -> ReplicationStatus:
        """Makes the instance a replica if it is a primary of a term below ``term``.

        Raises:
            ControlError: There is no usable answer, whatever the reason.
        """
        async with self._guard(record.name, action="demote"):
            return await self._control.demote(record, term=term, timeout_s=timeout_s)

    @asynccontextmanager
    async def _guard(self, instance: str, *, action: str) -> AsyncIterator[None]:
        try:
            yield
        except ControlError:
            raise
        except Exception as exc:
            self._errors.note(instance, exc, action=action)
            raise ControlError(
                f"{instance}: unexpected {type(exc).__name__}: {exc}"
            ) from exc
