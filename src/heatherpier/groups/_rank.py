"""Ranks the proxies in the order in which they propose a new primary."""

from collections.abc import Collection

import xxhash


def proposer_rank(
    group: str, proxy: str, *, peers: Collection[str] = (), proxies: int = 1
) -> int:
    """Returns a proxy's rank among the proposers of a group, from 0.

    Args:
        group: Name of the group.
        proxy: Name of the proxy.
        peers: Names of all proxies. They are ranked by rendezvous hashing, so the
            order differs by group and the loss of a proxy changes only the ranks
            after it.
        proxies: Count of proxies. Used while ``proxy`` is not among ``peers``; two
            proxies may then have the same rank.
    """
    if proxy in peers:
        own_weight = _weight(group, proxy)
        return sum(1 for peer in peers if _weight(group, peer) > own_weight)
    weight, _ = _weight(group, proxy)
    return weight % proxies


def _weight(group: str, proxy: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{group}/{proxy}".encode()), proxy
