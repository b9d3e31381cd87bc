"""Configuration of a database group."""

from dataclasses import dataclass

from heatherpier.upstreams import Instance


def connection_share(*, accepted: int, instances: int, proxies: int) -> int:
    """Returns how many connections one proxy may open to an instance.

    One connection for each other instance and one for probes are left free.
    Otherwise the replicas might find no connection to a new primary.

    Args:
        accepted: Maximum connections that the instance accepts.
        instances: Count of the group's instances.
        proxies: Count of proxies that share the instance.
    """
    return max((accepted - instances) // proxies, 1)


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupSpec:
    """Configuration of one group.

    Attributes:
        name: Name of the group, unique in the deployment.
        service: Name of the service that the group belongs to.
        database: Schema by which callers name the group.
        instances: Instances of the group.
        connections: Maximum connections of this proxy to each instance.
    """

    name: str
    service: str
    database: str
    instances: tuple[Instance, ...]
    connections: int

    @property
    def majority(self) -> int:
        """Minimum number of instances that is more than half of them."""
        return len(self.instances) // 2 + 1

    @property
    def leaving(self) -> frozenset[str]:
        """Names of the instances that must get no new work."""
        return frozenset(item.name for item in self.instances if item.leaving)
