"""Models of the configuration document: services, groups and instances."""

from typing import Annotated, Self

from pydantic import Field, model_validator

from heatherpier.settings._base import IpAddress, Name, Port, StrictModel


class InstanceModel(StrictModel):
    """One database instance.

    Attributes:
        name: Name that is unique in the document.
        host: IP address.
        port: TCP port.
        data_centre: Data centre that it is in.
        leaving: Whether it must get no new work.
    """

    name: Name
    host: IpAddress
    port: Port
    data_centre: Name
    leaving: bool = False


class GroupModel(StrictModel):
    """One database group.

    Attributes:
        name: Name that is unique in the document.
        database: Schema by which callers choose the group.
        instances: Its instances; an odd count keeps a majority at the least cost.
    """

    name: Name
    database: Name
    instances: Annotated[tuple[InstanceModel, ...], Field(min_length=1, max_length=9)]


class UserModel(StrictModel):
    """A user of callers.

    Attributes:
        name: User name.
        password_hash: Hexadecimal SHA1 of the SHA1 of the password.
    """

    name: Name
    password_hash: Annotated[str, Field(pattern=r"^[0-9a-f]{40}$")]


class ServiceModel(StrictModel):
    """One service of a user's.

    Attributes:
        name: Name that is unique in the document.
        groups: Its database groups.
        users: Who may call it.
        slots: Statements that an instance runs at once.
        connections: Connections that an instance accepts.
        deadline_ms: Time in milliseconds that a statement may take.
        transaction_idle_ms: Longest time in milliseconds between two statements of
            a transaction; it is rolled back after that.
        max_age_ms: Age in milliseconds that reads accept, or None for reads
            that must see the session's writes.
    """

    name: Name
    groups: Annotated[tuple[GroupModel, ...], Field(min_length=1)]
    users: tuple[UserModel, ...] = ()
    slots: Annotated[int, Field(ge=1, le=1024)] = 3
    connections: Annotated[int, Field(ge=1, le=65536)] = 20
    deadline_ms: Annotated[int, Field(ge=10, le=600_000)] = 5000
    transaction_idle_ms: Annotated[int, Field(ge=100, le=3_600_000)] = 30_000
    max_age_ms: Annotated[int, Field(ge=0, le=86_400_000)] | None = None


class Document(StrictModel):
    """One description of how all database groups are to be reached.

    Attributes:
        services: The services.
    """

    services: Annotated[tuple[ServiceModel, ...], Field(min_length=1)]

    @model_validator(mode="after")
    def _check_consistency(self) -> Self:
        groups = [group for service in self.services for group in service.groups]
        instances = [instance for group in groups for instance in group.instances]
        users = [user for service in self.services for user in service.users]
        _require_unique("service", [service.name for service in self.services])
        _require_unique("group", [group.name for group in groups])
        _require_unique("database", [group.database for group in groups])
        _require_unique("instance", [instance.name for instance in instances])
        _require_unique("user", [user.name for user in users])
        _require_unique("address", [f"{item.host}:{item.port}" for item in instances])
        for service in self.services:
            _check_service(service)
        return self


def _require_unique(kind: str, names: list[str]) -> None:
    duplicates = sorted({name for name in names if names.count(name) > 1})
    if duplicates:
        raise ValueError(f"{kind} {duplicates[0]!r} is used more than once")


def _check_service(service: ServiceModel) -> None:
    for group in service.groups:
        count = len(group.instances)
        if count % 2 == 0:
            raise ValueError(
                f"group {group.name!r}: expected an odd count of instances, got {count}"
            )
        if all(item.leaving for item in group.instances):
            raise ValueError(
                f"group {group.name!r}: expected an instance that is not leaving"
            )
