"""Membership and configuration of one proxy over networks in memory."""

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
class MemoryControl:
    """The control code of one proxy.

    Attributes:
        members: Its membership.
        follower: Its configuration.
        link: Its way to the platform, which can be cut.
    """

    members: Membership
    follower: Follower
    link: PlatformLink


def make_control(
    peer: Peer,
    *,
    fleet: MemoryFleet,
    platform: MemoryPlatform,
    rng: random.Random,
    apply: Callable[[Document, int], Awaitable[None]],
) -> MemoryControl:
    """Makes the control code of one proxy as `heatherpier` itself joins it.

    Args:
        peer: Address of the proxy.
        fleet: Carries messages to the others.
        platform: Holds the configuration.
        rng: Random source.
        apply: Activates a document.
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
    return MemoryControl(members=members, follower=follower, link=link)


def make_peers(count: int, *, places: tuple[str, ...]) -> list[Peer]:
    """Returns proxies that are spread over data centres in turn.

    Args:
        count: Count of proxies.
        places: Names of the data centres.
    """
    return [
        Peer(
            name=f"proxy-{number}",
            host="10.0.0.1",
            port=FIRST_PORT + number,
            data_centre=places[number % len(places)],
        )
        for number in range(count)
    ]
