"""Interfaces to instances and to the platform that a change of primary needs."""

from dataclasses import dataclass
from typing import Protocol

from heatherpier.discovery import InstanceRecord
from heatherpier.positions import LogPosition


class ControlError(Exception):
    """A control statement to an instance, or a call of the platform, failed."""


class InstanceFullError(ControlError):
    """The instance is alive, but accepts no further connection."""


class NotRunningError(ControlError):
    """The platform reports that the instance does not run, so it can't be promoted."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicationStatus:
    """Role, term and log position that an instance reports.

    Attributes:
        leads: Whether the instance sees itself as the primary.
        term: Term in which the instance leads, or that it follows.
        position: Last log position that the instance has received.
    """

    leads: bool
    term: int
    position: LogPosition


class InstanceControl(Protocol):
    """Control statements to instances, each on a connection of its own."""

    async def replication_status(
        self, record: InstanceRecord, *, timeout_s: float
    ) -> ReplicationStatus:
        """Returns the replication status that an instance reports.

        Raises:
            InstanceFullError: The instance is alive, but accepts no connection.
            ControlError: The instance did not answer in time.
        """

    async def demote(
        self, record: InstanceRecord, *, term: int, timeout_s: float
    ) -> ReplicationStatus:
        """Makes the instance a replica if it is a primary of a term below ``term``.

        Returns:
            The replication status of the instance afterwards.

        Raises:
            ControlError: The instance did not answer in time.
        """


class Promotions(Protocol):
    """Requests promotions of instances from the platform."""

    async def promote(
        self, service: str, instance: str, *, holder: str, token: int
    ) -> None:
        """Requests a promotion. The call is idempotent.

        Args:
            service: Name of the service.
            instance: Name of the instance that becomes the primary.
            holder: Name of the proxy that coordinates the change.
            token: Fencing token; it rises with each change of the coordinator.

        Raises:
            NotRunningError: The instance does not run.
            ControlError: The outcome is unknown; the promotion may take effect.
        """
