"""Which proxies are homes, and how many connections they may open."""

from collections import Counter

import msgspec
import pytest

from heatherpier.discovery import InstanceRecord
from heatherpier.fleet import Peer
from heatherpier.forwarding import HomeDirectory
from heatherpier.forwarding._ranking import count_homes, rank
from heatherpier.forwarding._receipts import MAX_LINKS, Receipts
from heatherpier.leases import MemberRecord, encode_member
from heatherpier.leases._records import decode_member
from heatherpier.upstreams import Instance


def member(name, zone="north", **attributes):
    peer = Peer(name=name, host=name, port=1, data_centre=zone)
    return MemberRecord(peer=peer, version=1, **attributes)


def record(name="claims-0", zone="north"):
    instance = Instance(name=name, host="h", port=1, data_centre=zone)
    return InstanceRecord(instance=instance, service="claims", claims_primary=True)


def directory(members, *, me="other", accepted=75, identified=True, usable=None):
    return HomeDirectory(
        me,
        members=lambda: {item.peer.name: item for item in members},
        accepted=lambda service: accepted,
        identified=lambda: identified,
        region=lambda zone: zone.split("-")[0],
        usable=usable or (lambda item: True),
    )


def names(members):
    return [item.peer.name for item in members]


NORTH = [member(f"n{number}") for number in range(8)]


@pytest.mark.parametrize(
    ("accepted", "homes"), [(3, 1), (12, 1), (18, 2), (33, 3), (34, 4), (75, 4)]
)
def test_homes_have_eight_connections_at_least(accepted, homes):
    assert count_homes(accepted) == homes
    assert len(directory(NORTH, accepted=accepted).homes(record())) == homes


def test_homes_are_near_the_instance():
    far = [member(f"s{number}", "south") for number in range(4)]
    region = [member(f"e{number}", "north-east") for number in range(2)]
    assert set(names(directory(NORTH + far).homes(record()))) <= set(names(NORTH))
    few = directory([NORTH[0], *region, *far])
    assert set(names(few.homes(record()))) == {"n0", "e0", "e1"}
    alone = directory([NORTH[0], *far])
    assert set(names(alone.homes(record()))) & set(names(far))


def test_loss_of_a_member_moves_only_what_it_held():
    """Guards against a move of all connections at each change of the table."""
    for number in range(200):
        before = names(rank(f"k{number}", NORTH))
        after = names(rank(f"k{number}", NORTH[1:]))
        assert after == [name for name in before if name != "n0"]


def test_members_are_first_in_proportion_to_their_capacity():
    members = [member("small", capacity=0.5), member("large", capacity=1.5)]
    first = Counter(rank(f"k{number}", members)[0].peer.name for number in range(4000))
    assert first["large"] / 4000 == pytest.approx(0.75, abs=0.03)


def test_organisation_has_one_home_for_all_senders():
    chosen = {
        directory(NORTH, me=f"p{number}").choose(record(), "club").name
        for number in range(20)
    }
    assert len(chosen) == 1


def test_statements_without_organisation_are_spread_by_sender():
    chosen = Counter(
        directory(NORTH, me=f"p{number}").choose(record(), "").name
        for number in range(400)
    )
    assert len(chosen) == 4
    assert min(chosen.values()) > 50


def test_home_uses_its_own_pool():
    home = names(directory(NORTH).homes(record()))[0]
    assert directory(NORTH, me=home).ranked(record(), "") is None


def test_homes_leave_an_organisation_to_its_home():
    """Guards against homes whose connections of all organisations displace others."""
    first, second, *_ = names(directory(NORTH).ranked(record(), "club"))
    assert directory(NORTH, me=first).ranked(record(), "club") is None
    assert directory(NORTH, me=second).choose(record(), "club").name == first
    lost = directory(NORTH, me=second, usable=lambda item: item.peer.name != first)
    assert lost.ranked(record(), "club") is None


def test_unreachable_homes_are_passed_over():
    order = names(directory(NORTH).ranked(record(), "club"))
    lost = directory(NORTH, usable=lambda item: item.peer.name != order[0])
    assert names(lost.ranked(record(), "club")) == order[1:]
    none = directory(NORTH, usable=lambda item: False)
    assert none.ranked(record(), "club") == []
    assert none.choose(record(), "club") is None


def test_forwarding_needs_too_few_connections_or_organisations():
    """Guards against forwarding in deployments that have connections for all."""
    assert not directory(NORTH, accepted=10, identified=False).active("claims")
    assert directory(NORTH, accepted=9, identified=False).active("claims")
    assert directory(NORTH, accepted=75, identified=True).active("claims")
    assert not directory(NORTH, accepted=0, identified=True).active("claims")


@pytest.mark.parametrize("accepted", [9, 12, 22, 73, 75, 200])
def test_homes_together_open_no_more_than_an_instance_accepts(accepted):
    homes = names(directory(NORTH, accepted=accepted).homes(record()))
    limits = [
        directory(NORTH, me=home, accepted=accepted).limits(record()).hard_limit
        for home in homes
    ]
    assert sum(limits) <= accepted - 2
    assert min(limits) >= min(7, accepted - 2)
    assert directory(NORTH, accepted=accepted).limits(record()).hard_limit == 2


def test_member_rows_of_other_builds_are_decoded():
    """Guards against a row that another build can't read."""
    peer = NORTH[0].peer
    old = msgspec.json.encode({"host": "n0", "port": 1, "data_centre": "north"})
    assert decode_member("n0", old) == (peer, 1.0)
    assert encode_member(peer) == old
    row = encode_member(peer, capacity=0.36)
    assert decode_member("n0", row) == (peer, 0.36)
    assert (
        msgspec.json.decode(row).keys() - {"capacity"}
        == msgspec.json.decode(old).keys()
    )


def test_forgotten_links_count_as_received():
    """Guards against a very late copy of a request that runs again."""
    receipts = Receipts()
    assert receipts.admit(1, 1)
    assert not receipts.admit(1, 1)
    assert receipts.admit(1, 2)
    for link in range(2, MAX_LINKS + 3):
        assert receipts.admit(link, 1)
    assert not receipts.admit(1, 3)
    assert receipts.admit(1, 3, held=True)
