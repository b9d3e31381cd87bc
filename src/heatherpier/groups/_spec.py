"""What the configuration says of a database group."""

from dataclasses import dataclass

from heatherpier.upstreams import Instance


def connection_share(*, accepted: int, instances: int, proxies: int) -> int:
    """Returns how many connections one proxy may open to an instance.

    Each replica needs a connection to the primary, and one more is left for
    probes, or a change of primary would find no connection for replication.

    Args:
        accepted: Connections that the instance accepts.
        instances: Count of the group's instances.
        proxies: Count of proxies that share the instance.
    """
    return max((accepted - instances) // proxies, 1)


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupSpec:
    """What the configuration says of a group.

    Attributes:
        name: Name that is unique in the deployment.
        service: Service that the group belongs to.
        database: Schema by which callers name the group.
        instances: Its instances.
        connections: Connections that this proxy may open to each instance.
    """

    name: str
    service: str
    database: str
    instances: tuple[Instance, ...]
    connections: int

    @property
    def majority(self) -> int:
        """Least count of instances that is more than half."""
        return len(self.instances) // 2 + 1

    @property
    def leaving(self) -> frozenset[str]:
        """Names of the instances that must get no new work."""
        return frozenset(item.name for item in self.instances if item.leaving)
