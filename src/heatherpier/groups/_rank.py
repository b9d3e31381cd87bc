"""The order in which proxies propose a new primary."""

from collections.abc import Collection

import xxhash


def proposer_rank(
    group: str, proxy: str, *, peers: Collection[str] = (), proxies: int = 1
) -> int:
    """Returns a proxy's place in the order of proposers of a group, from 0.

    Args:
        group: Name of the group.
        proxy: Name of the proxy.
        peers: Names of all proxies. The order is by rendezvous hashing, so each
            group has another order and a lost proxy moves only those after it.
        proxies: Count of proxies. Used while ``proxy`` is not among ``peers``; two
            proxies may then have the same rank.
    """
    if proxy in peers:
        own = _weight(group, proxy)
        return sum(1 for peer in peers if _weight(group, peer) > own)
    weight, _ = _weight(group, proxy)
    return weight % proxies


def _weight(group: str, proxy: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{group}/{proxy}".encode()), proxy
