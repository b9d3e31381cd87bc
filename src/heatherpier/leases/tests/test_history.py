"""Past voter sets that a proxy knows from its own copy or from a peer."""

import pytest

from heatherpier.fleet import Peer
from heatherpier.leases import FLEET_TABLE, MEMBER_PREFIX, FleetView, encode_member
from heatherpier.tables import Changes, Row, TableCopy

# `GRANT_MAX_STALENESS_S` and `GRANT_S`: the past that `Fence` asks for.
WINDOW_S = 9.2


@pytest.fixture
def make_view(timers):
    return lambda: FleetView(TableCopy(FLEET_TABLE, timers=timers), timers=timers)


def member(name, version, *, removed=False):
    peer = Peer(name=name, host=name, port=7000, data_centre="north")
    body = None if removed else encode_member(peer)
    return Row(key=MEMBER_PREFIX + name, version=version, body=body)


def changes(*rows, version):
    return Changes(rows=rows, version=version, as_of=0.0)


def recent_voter_sets(view, timers):
    return view.history.voter_sets_since(timers.elapsed() - WINDOW_S)


def extend_from_peer(view, other):
    view.history.extend_from_peer(other.history.to_message())


async def test_voter_sets_before_the_first_read_are_unknown(make_view, timers):
    view = make_view()
    await timers.sleep(WINDOW_S)
    view.copy.replace(changes(member("a", 1), version=1))
    assert recent_voter_sets(view, timers) is None
    await timers.sleep(WINDOW_S)
    assert frozenset("a") in recent_voter_sets(view, timers)


async def test_a_table_followed_from_its_beginning_has_a_whole_history(
    make_view, timers
):
    view = make_view()
    view.copy.apply_from_beginning(changes(member("a", 1), member("b", 2), version=2))
    assert frozenset("ab") in recent_voter_sets(view, timers)


async def test_a_peer_provides_an_earlier_voter_set(make_view, timers):
    old, new = make_view(), make_view()
    old.copy.replace(changes(member("a", 1), member("b", 2), version=2))
    await timers.sleep(WINDOW_S)
    removal = member("b", 3, removed=True)
    old.copy.apply(changes(removal, version=3))
    new.copy.replace(changes(member("a", 1), version=3))
    extend_from_peer(new, old)
    assert frozenset("ab") in recent_voter_sets(new, timers)
    await timers.sleep(WINDOW_S + 0.1)
    assert frozenset("ab") not in recent_voter_sets(new, timers)


async def test_a_history_that_ends_before_the_local_one_starts_is_ignored(
    make_view, timers
):
    old, new = make_view(), make_view()
    old.copy.replace(changes(member("a", 1), version=1))
    await timers.sleep(WINDOW_S)
    new.copy.replace(changes(member("a", 1), version=3))
    extend_from_peer(new, old)
    assert recent_voter_sets(new, timers) is None


async def test_an_unseen_member_that_is_removed_cuts_the_history_off(make_view, timers):
    view = make_view()
    view.copy.replace(changes(member("a", 1), version=1))
    await timers.sleep(WINDOW_S)
    view.copy.apply(changes(member("b", 3, removed=True), version=3))
    assert recent_voter_sets(view, timers) is None


async def test_a_later_whole_read_invalidates_the_history_of_a_peer(make_view, timers):
    old, new = make_view(), make_view()
    old.copy.replace(changes(member("a", 1), version=1))
    await timers.sleep(WINDOW_S)
    new.copy.replace(changes(member("a", 1), version=1))
    extend_from_peer(new, old)
    assert recent_voter_sets(new, timers) is not None
    new.copy.replace(changes(member("a", 1), version=5))
    assert recent_voter_sets(new, timers) is None


async def test_a_member_that_registers_again_may_have_been_removed_between(
    make_view, timers
):
    view = make_view()
    view.copy.apply_from_beginning(changes(member("a", 1), member("b", 2), version=2))
    view.copy.apply(changes(member("b", 9), version=9))
    assert frozenset("a") in recent_voter_sets(view, timers)


async def test_a_peer_provides_the_time_of_the_last_removal(make_view, timers):
    old, new = make_view(), make_view()
    old.copy.replace(changes(member("a", 1), member("b", 2), version=2))
    await timers.sleep(1.0)
    old.copy.apply(changes(member("b", 3, removed=True), version=3))
    removed_at = timers.elapsed()
    await timers.sleep(4.0)
    new.copy.replace(changes(member("a", 1), version=3))
    assert new.history.last_removal() == pytest.approx(timers.elapsed())
    extend_from_peer(new, old)
    assert new.history.last_removal() == pytest.approx(removed_at)
