"""Tests the order of proposers."""

import pytest

from heatherpier.groups import proposer_rank

PEERS = tuple(f"proxy-{number}" for number in range(1, 13))
GROUPS = ("assist-core-1", "assist-core-2", "assist-core-3")


def order(group, peers):
    return sorted(peers, key=lambda peer: proposer_rank(group, peer, peers=peers))


@pytest.mark.parametrize("group", GROUPS)
def test_each_known_peer_has_a_rank_of_its_own(group):
    ranks = {proposer_rank(group, peer, peers=PEERS) for peer in PEERS}
    assert ranks == set(range(len(PEERS)))


def test_lost_peer_leaves_the_order_of_the_others():
    first, *rest = order(GROUPS[0], PEERS)
    assert order(GROUPS[0], rest) == rest
    assert first not in rest


def test_groups_have_different_orders():
    assert len({tuple(order(group, PEERS)) for group in GROUPS}) == len(GROUPS)


@pytest.mark.parametrize("proxies", [1, 4, 12])
def test_unknown_peer_ranks_below_the_count_of_proxies(proxies):
    ranks = {proposer_rank(GROUPS[0], peer, proxies=proxies) for peer in PEERS}
    assert max(ranks) < proxies
