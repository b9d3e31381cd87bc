"""An in-memory database group and its proxies' group code, under virtual time."""

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
    """A group of three stand-in instances, as any number of proxies see it.

    Attributes:
        network: Connects instances with each other and with the proxies.
        instances: The instances, in the order of `DATA_CENTRES`.
    """

    network: MemoryNetwork
    instances: list[Instance]
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _views: list[Group] = field(default_factory=list)

    def view(self, peer: str, *, connections: int = 5) -> Group:
        """Returns the group as the proxy named ``peer`` sees it, without a watcher."""
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
        """Returns the group as ``peer`` sees it, with a started watcher.

        Args:
            peer: Name of the proxy, and seed of its random numbers.
            rank: Rank of the proxy among the proposers, from 0.
            connections: Connections that the proxy may open to each instance.
            directory: Where the proxy records promotions, or None for nowhere.
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
        """Closes all pools and stops replication."""
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
        Address(
            name=f"{GROUP}-{data_centre}",
            host="10.0.0.1",
            port=3306,
            data_centre=data_centre,
        )
        for data_centre in DATA_CENTRES
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
