"""What a proxy knows of voter sets from before its own start."""

import pytest

from heatherpier.fleet import Peer
from heatherpier.leases import FLEET_TABLE, MEMBER_PREFIX, FleetView, encode_member
from heatherpier.tables import Changes, Row, TableCopy

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


def panels(view, timers):
    return view.history.voter_sets_since(timers.elapsed() - WINDOW_S)


def learn(view, other):
    view.history.learn(other.history.describe())


async def test_panels_from_before_the_first_read_are_unknown(make_view, timers):
    view = make_view()
    await timers.sleep(WINDOW_S)
    view.copy.replace(changes(member("a", 1), version=1))
    assert panels(view, timers) is None
    await timers.sleep(WINDOW_S)
    assert frozenset("a") in panels(view, timers)


async def test_a_table_known_from_its_beginning_has_no_earlier_panel(make_view, timers):
    view = make_view()
    view.copy.apply_from_beginning(changes(member("a", 1), member("b", 2), version=2))
    assert frozenset("ab") in panels(view, timers)


async def test_an_earlier_panel_is_learnt_from_a_peer(make_view, timers):
    old, new = make_view(), make_view()
    old.copy.replace(changes(member("a", 1), member("b", 2), version=2))
    await timers.sleep(WINDOW_S)
    removal = member("b", 3, removed=True)
    old.copy.apply(changes(removal, version=3))
    new.copy.replace(changes(member("a", 1), version=3))
    learn(new, old)
    assert frozenset("ab") in panels(new, timers)
    await timers.sleep(WINDOW_S + 0.1)
    assert frozenset("ab") not in panels(new, timers)


async def test_a_peer_that_lags_behind_the_own_beginning_teaches_nothing(
    make_view, timers
):
    old, new = make_view(), make_view()
    old.copy.replace(changes(member("a", 1), version=1))
    await timers.sleep(WINDOW_S)
    new.copy.replace(changes(member("a", 1), version=3))
    learn(new, old)
    assert panels(new, timers) is None


async def test_a_member_that_came_and_went_unseen_ends_what_is_known(make_view, timers):
    view = make_view()
    view.copy.replace(changes(member("a", 1), version=1))
    await timers.sleep(WINDOW_S)
    view.copy.apply(changes(member("b", 3, removed=True), version=3))
    assert panels(view, timers) is None


async def test_what_a_peer_told_does_not_reach_over_a_later_whole_read(
    make_view, timers
):
    old, new = make_view(), make_view()
    old.copy.replace(changes(member("a", 1), version=1))
    await timers.sleep(WINDOW_S)
    new.copy.replace(changes(member("a", 1), version=1))
    learn(new, old)
    assert panels(new, timers) is not None
    new.copy.replace(changes(member("a", 1), version=5))
    assert panels(new, timers) is None


async def test_a_member_that_registers_again_may_have_been_away(make_view, timers):
    view = make_view()
    view.copy.apply_from_beginning(changes(member("a", 1), member("b", 2), version=2))
    view.copy.apply(changes(member("b", 9), version=9))
    assert frozenset("a") in panels(view, timers)


async def test_the_last_removal_is_learnt_from_a_peer(make_view, timers):
    old, new = make_view(), make_view()
    old.copy.replace(changes(member("a", 1), member("b", 2), version=2))
    await timers.sleep(1.0)
    old.copy.apply(changes(member("b", 3, removed=True), version=3))
    removed_at = timers.elapsed()
    await timers.sleep(4.0)
    new.copy.replace(changes(member("a", 1), version=3))
    assert new.history.last_removal() == pytest.approx(timers.elapsed())
    learn(new, old)
    assert new.history.last_removal() == pytest.approx(removed_at)
