"""One database group and its proxies' decision code in memory, under virtual time."""

import asyncio
import random
from dataclasses import dataclass, field

from heatherpier.bench._instance import Instance
from heatherpier.bench._memory import MemoryNetwork
from heatherpier.groups import (
    Directory,
    Group,
    GroupSpec,
    Promoter,
    start_watcher,
)
from heatherpier.timers import Timers
from heatherpier.upstreams import Instance as Address

DATA_CENTRES = ("north-a", "central-a", "south-a")
GROUP = "assist-core-1"


@dataclass(slots=True)
class MemoryGroup:
    """Three stand-in instances and any number of proxies' views of them.

    Attributes:
        network: Connects everything.
        instances: The instances, in order of their data centres.
    """

    network: MemoryNetwork
    instances: list[Instance]
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _views: list[Group] = field(default_factory=list)

    def view(self, peer: str, *, connections: int = 5) -> Group:
        """Returns the group as the proxy named ``peer`` sees it."""
        spec = GroupSpec(
            name=GROUP,
            service="assist-core",
            database=GROUP.replace("-", "_"),
            instances=tuple(instance.address for instance in self.instances),
            connections=connections,
        )
        group = Group(
            spec, connector=self.network.connector(peer), timers=self.network.timers
        )
        self._views.append(group)
        return group

    def watch(
        self,
        peer: str,
        *,
        rank: int = 0,
        connections: int = 5,
        directory: Directory | None = None,
    ) -> Group:
        """Returns the group as ``peer`` sees it, watched by it.

        Args:
            peer: Name of the proxy; it seeds its random numbers too.
            rank: Its place among the proposers.
            connections: Connections that it may open to each instance.
            directory: Where it records promotions.
        """
        group = self.view(peer, connections=connections)
        rng = random.Random(peer)
        timers = self.network.timers
        promoter = Promoter(
            group, proxy=peer, timers=timers, rng=rng, directory=directory
        )
        start_watcher(
            group, promoter=promoter, timers=timers, rng=rng, rank=lambda: rank
        )
        return group

    async def close(self) -> None:
        """Ends replication and closes all pools."""
        for group in self._views:
            group.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def start_memory_group(timers: Timers, *, lag_ms: int = 50) -> MemoryGroup:
    """Starts a group whose first instance is the primary of term 1.

    Args:
        timers: Timer service.
        lag_ms: Replication delay in milliseconds.
    """
    network = MemoryNetwork(timers=timers)
    addresses = [
        Address(name=f"{GROUP}-{place}", host="10.0.0.1", port=3306, data_centre=place)
        for place in DATA_CENTRES
    ]
    group = MemoryGroup(network=network, instances=[])
    for address in addresses:
        instance = Instance(
            address,
            peers=addresses,
            connector=network.connector(address.name),
            timers=timers,
        )
        instance.faults.lag_ms = lag_ms
        instance.bootstrap(addresses[0].name)
        network.add(instance)
        group.instances.append(instance)
        group._tasks.append(asyncio.create_task(instance.replicate()))
    return group
