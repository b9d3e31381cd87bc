"""A proxy's part in the fleet (membership and configuration), in memory."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from heatherpier.bench._memory_peers import MemoryFleet
from heatherpier.bench._platform import MemoryPlatform, PlatformLink
from heatherpier.configuration import Follower
from heatherpier.fleet import Membership, Peer
from heatherpier.settings import Document

FIRST_PORT = 4000


@dataclass(frozen=True, slots=True, kw_only=True)
class MemoryFleetNode:
    """The parts of one proxy that take part in the fleet.

    Attributes:
        members: Membership protocol.
        follower: Follows the configuration.
        link: Path to the platform, which can be cut.
    """

    members: Membership
    follower: Follower
    link: PlatformLink


def make_fleet_node(
    peer: Peer,
    *,
    fleet: MemoryFleet,
    platform: MemoryPlatform,
    rng: random.Random,
    apply: Callable[[Document, int], Awaitable[None]],
) -> MemoryFleetNode:
    """Builds membership and configuration of one proxy, joined as in production.

    Args:
        peer: Address of the proxy.
        fleet: Network between the proxies.
        platform: Stores the configuration.
        rng: Random source.
        apply: Activates a configuration document of the given version.
    """
    network = fleet.network(peer)
    link = PlatformLink(platform)
    follower = Follower(
        tables=link,
        objects=link,
        network=network,
        timers=fleet.timers,
        rng=rng,
        apply=apply,
    )
    members = Membership(
        peer,
        network=network,
        timers=fleet.timers,
        rng=rng,
        incarnation=1,
        version=follower.version,
        on_version=follower.note_peer_version,
    )
    follower.use_members(members)
    return MemoryFleetNode(members=members, follower=follower, link=link)


def make_peers(count: int, *, data_centres: tuple[str, ...]) -> list[Peer]:
    """Returns the addresses of proxies, spread evenly over the data centres.

    Args:
        count: Count of proxies.
        data_centres: Names of the data centres.
    """
    return [
        Peer(
            name=f"proxy-{number}",
            host="10.0.0.1",
            port=FIRST_PORT + number,
            data_centre=data_centres[number % len(data_centres)],
        )
        for number in range(count)
    ]
