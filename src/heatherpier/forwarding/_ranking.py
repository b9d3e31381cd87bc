"""Weighted rendezvous hashing of the members that may hold an instance's connections."""

import math
from collections.abc import Callable, Iterable, Sequence

import xxhash

from heatherpier.leases import MemberRecord
from heatherpier.pooling import CONTROL_CONNECTIONS

# Upper bound of the homes of an instance. More homes tolerate more losses at once, but
# divide the connections of an instance, and of an organisation, further.
HOMES_PER_INSTANCE = 4
# Connections that a home has at least, so that a burst of one organisation does not
# take all of them.
MIN_HOME_CONNECTIONS = 8
# Members that are enough in an instance's data centre or region. One alone would take
# all traffic of the instance, and its loss would leave no home.
MIN_NEAR_MEMBERS = 2
_HASH_RANGE = 2.0**64


def score(key: str, member: MemberRecord) -> float:
    """Returns the rank of a member for a key; the highest is first.

    It is highest among members with a probability in proportion to their capacity, and
    the loss of a member changes the order of no others (weighted rendezvous hashing).

    Args:
        key: What is to be placed.
        member: The member.
    """
    number = xxhash.xxh64_intdigest(f"{key}\0{member.peer.name}".encode())
    return -member.capacity / math.log((number + 0.5) / _HASH_RANGE)


def rank(key: str, members: Iterable[MemberRecord]) -> list[MemberRecord]:
    """Returns the members in their order for a key."""
    return sorted(members, key=lambda item: (-score(key, item), item.peer.name))


def count_homes(accepted: int) -> int:
    """Returns how many homes an instance has.

    Args:
        accepted: Connections that the instance accepts from all proxies.
    """
    usable = accepted - CONTROL_CONNECTIONS
    return min(max(usable // MIN_HOME_CONNECTIONS, 1), HOMES_PER_INSTANCE)


def candidates(
    data_centre: str,
    members: Sequence[MemberRecord],
    *,
    region: Callable[[str], str],
) -> list[MemberRecord]:
    """Returns the members that are near enough to an instance to be its homes.

    Args:
        data_centre: Data centre of the instance.
        members: All members.
        region: Returns the region of a data centre.
    """
    near = [item for item in members if item.peer.data_centre == data_centre]
    if len(near) >= MIN_NEAR_MEMBERS:
        return near
    own = region(data_centre)
    near = [item for item in members if region(item.peer.data_centre) == own]
    return near if len(near) >= MIN_NEAR_MEMBERS else list(members)
