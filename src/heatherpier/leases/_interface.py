"""What a change of primary needs from instances and from the platform."""

from dataclasses import dataclass
from typing import Protocol

from heatherpier.discovery import InstanceRecord
from heatherpier.groups import LogPosition


class ControlError(Exception):
    """An instance or the platform did not do what it was asked for."""


class InstanceFullError(ControlError):
    """The instance answers, but has no room for another connection."""


class NotRunningError(ControlError):
    """The platform says that the instance does not run, so it can't be promoted."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicationStatus:
    """What an instance tells of itself.

    Attributes:
        leads: Whether it sees itself as the primary.
        term: Term that it leads or follows.
        position: Last position that it has received.
    """

    leads: bool
    term: int
    position: LogPosition


class InstanceControl(Protocol):
    """Control statements to instances, each on a connection of its own."""

    async def replication_status(
        self, record: InstanceRecord, *, timeout_s: float
    ) -> ReplicationStatus:
        """Asks an instance for its replication status.

        Raises:
            InstanceFullError: It is alive, but full.
            ControlError: It did not answer in time.
        """

    async def demote(
        self, record: InstanceRecord, *, term: int, timeout_s: float
    ) -> ReplicationStatus:
        """Makes a primary of a term below ``term`` a replica.

        Raises:
            ControlError: It did not answer in time.
        """


class Promotions(Protocol):
    """Orders the platform to promote instances."""

    async def promote(
        self, service: str, instance: str, *, holder: str, token: int
    ) -> None:
        """Orders a promotion; ordering the same again changes nothing.

        Args:
            service: The service.
            instance: Name of the instance that is to lead.
            holder: Name of the proxy that carries the change out.
            token: Number that rises with each change of the holder.

        Raises:
            NotRunningError: The instance does not run.
            ControlError: The order may have taken effect or not.
        """
