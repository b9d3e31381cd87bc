"""Status that a MySQL proxy reports at its admin endpoint."""

from dataclasses import dataclass

from heatherpier.groups import Group, InstanceStatus, NoPrimaryError


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceSummary:
    """State of an instance as last seen by the proxy.

    Attributes:
        name: Name of the instance.
        role: Role of the instance: ``primary``, ``replica`` or ``unknown``.
        term: Term that the instance has adopted, or 0 if not known.
        index: Index of the last log entry that it has applied, or 0 if not known.
        age_ms: Age of the instance's data in milliseconds, or None if not known.
        connections: Number of connections that this proxy has open to it.
        connection_limit: Number of connections that this proxy may open to it.
    """

    name: str
    role: str
    term: int
    index: int
    age_ms: int | None
    connections: int
    connection_limit: int


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupSummary:
    """State of a database group as last seen by the proxy.

    Attributes:
        name: Name of the group.
        primary: Name of the group's primary, or None if not known.
        term: Term of that primary, or 0 if not known.
        instances: State of each instance of the group.
    """

    name: str
    primary: str | None
    term: int
    instances: list[InstanceSummary]


@dataclass(frozen=True, slots=True, kw_only=True)
class ProxyStatus:
    """State of a proxy.

    Attributes:
        proxy: Name of the proxy.
        data_centre: Data centre of the proxy.
        version: Version of the program.
        ready: Whether the balancer should send new callers.
        callers: Number of connected callers.
        groups: State of each group that the proxy serves.
        configuration: Version of the active configuration, or 0 if it was read from a
            file.
    """

    proxy: str
    data_centre: str
    version: str
    ready: bool
    callers: int
    groups: list[GroupSummary]
    configuration: int = 0


def group_status(group: Group) -> GroupSummary:
    """Summarises the state of ``group`` as last seen."""
    primary: InstanceStatus | None
    try:
        primary = group.primary()
    except NoPrimaryError:
        primary = None
    return GroupSummary(
        name=group.spec.name,
        primary=primary.instance if primary else None,
        term=primary.adopted_term if primary else 0,
        instances=[_instance_summary(group, name) for name in group.pools],
    )


def _instance_summary(group: Group, name: str) -> InstanceSummary:
    status = group.statuses.get(name)
    return InstanceSummary(
        name=name,
        role=status.role.value if status else "unknown",
        term=status.adopted_term if status else 0,
        index=status.position.index if status else 0,
        age_ms=status.age_ms if status else None,
        connections=group.pools[name].open_connections,
        connection_limit=group.spec.connections,
    )
