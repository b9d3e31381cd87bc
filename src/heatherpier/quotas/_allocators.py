"""The choice of allocators, the proxies that create rights."""

import heapq
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from functools import lru_cache

import xxhash

from heatherpier.fleet import Peer

# Number of allocators. Each creates this share of every rate.
ALLOCATORS = 5
# Number of members, in the same order, that prove their rows: the allocators and their
# standbys, which become allocators without a further wait when others are lost.
PROVING_MEMBERS = 2 * ALLOCATORS
# Maximum age of an allocator's copy of the members' table, and minimum time for which
# its own row has stood. Leases on primaries end 9.4 s after the store has been lost, so
# a longer time would serve little more.
MAX_VIEW_AGE_S = 9.5
# Both, as long as no member's row is proven to have stood for `MAX_VIEW_AGE_S`. It lets
# a new deployment create rights soon, and exceeds the usual age of a copy, which is the
# longest wait of a watch.
FIRST_VIEW_AGE_S = 3.0
# Time for which a removed member counts as present. It exceeds `MAX_VIEW_AGE_S`, for
# which the member may still create rights, by the delay of slow clocks.
REMOVED_RETENTION_S = 12.5
# Validity of a right, from the sending of the request for it.
RIGHT_VALIDITY_S = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Standing:
    """What a proxy knows of the fleet at one time.

    Attributes:
        view_age_s: Age of the copy of the members' table, in seconds.
        row_stood_s: Time in seconds for which this proxy's row had surely stood when
            the copy was complete.
        followed_s: Time in seconds over which all removals are known.
        running_s: Age of this process, in seconds.
        proven: Whether the copy shows the proof that this proxy's row has stood for
            `MAX_VIEW_AGE_S`.
        settled: Whether that proof was written at least `FIRST_VIEW_AGE_S` after the
            first one of any member, and the store was never restored.
        none_proven: Whether there surely was no such proof for any member when the copy
            was complete.
    """

    view_age_s: float
    row_stood_s: float
    followed_s: float
    running_s: float
    proven: bool
    settled: bool
    none_proven: bool


@lru_cache(maxsize=4096)
def _rank(name: str) -> int:
    return int(xxhash.xxh64_intdigest(f"allocator {name}".encode()))


def first_allocators(names: Collection[str]) -> tuple[str, ...]:
    """Returns the first `ALLOCATORS` of the names by rendezvous hashing."""
    return tuple(heapq.nsmallest(ALLOCATORS, names, key=_rank))


def why_inactive(
    me: str, first: Collection[str], standing: Standing, *, pause_s: float = 0.0
) -> str:
    """Returns why a proxy creates no rights, or an empty text if it does.

    Args:
        me: Name of the proxy.
        first: First of its members by `first_allocators`, with those removed within
            `REMOVED_RETENTION_S` counted as present.
        standing: What the proxy knows of the fleet.
        pause_s: Time in seconds after the start in which it creates no rights.
    """
    if me not in first:
        return "others come first"
    if standing.running_s < pause_s:
        return "just started"
    if standing.view_age_s > (MAX_VIEW_AGE_S if standing.proven else FIRST_VIEW_AGE_S):
        return "members out of date"
    if standing.none_proven:
        is_old = standing.row_stood_s >= FIRST_VIEW_AGE_S
    else:
        is_old = standing.proven
    if not is_old:
        return "own row is new"
    if standing.followed_s < MAX_VIEW_AGE_S and not standing.settled:
        return "earlier removals unknown"
    return ""


def proving_members(names: Collection[str]) -> tuple[str, ...]:
    """Returns the allocators and their standbys."""
    return tuple(heapq.nsmallest(PROVING_MEMBERS, names, key=_rank))


def peers_to_ask(
    first: Collection[str],
    members: Mapping[str, Peer],
    *,
    distance: Callable[[str], int],
) -> tuple[Peer, ...]:
    """Returns the allocators that have an address, nearest first.

    Args:
        first: Names of the allocators.
        members: Present members by name.
        distance: Distance to a data centre.
    """
    peers = [members[name] for name in first if name in members]
    peers.sort(key=lambda peer: (distance(peer.data_centre), _rank(peer.name)))
    return tuple(peers)
