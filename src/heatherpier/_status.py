"""What a proxy tells of itself at its admin endpoint."""

from dataclasses import dataclass

from heatherpier.groups import Group, InstanceStatus, NoPrimaryError


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceSummary:
    """One instance as the proxy last saw it.

    Attributes:
        name: Name of the instance.
        role: ``primary``, ``replica`` or ``unknown``.
        term: Term that it has adopted.
        index: Index of its last applied log entry.
        age_ms: Age of its data in milliseconds, or None if not known.
        connections: Connections that this proxy has open to it.
        connection_limit: Connections that this proxy may open to it.
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
    """One database group as the proxy last saw it.

    Attributes:
        name: Name of the group.
        primary: Name of its primary, or None.
        term: Term of that primary, or 0.
        instances: Its instances.
    """

    name: str
    primary: str | None
    term: int
    instances: list[InstanceSummary]


@dataclass(frozen=True, slots=True, kw_only=True)
class ProxyStatus:
    """One proxy.

    Attributes:
        proxy: Its name.
        data_centre: Its data centre.
        version: Version of the program.
        ready: Whether the balancer should send new callers.
        callers: Count of connected callers.
        groups: The groups that it serves.
        configuration: Version of the active configuration, or 0 for the file.
    """

    proxy: str
    data_centre: str
    version: str
    ready: bool
    callers: int
    groups: list[GroupSummary]
    configuration: int = 0


def group_status(group: Group) -> GroupSummary:
    """Returns a summary of what is known of ``group``."""
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
