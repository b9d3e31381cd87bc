"""Versions, copies of tables and checks of a client across restores of the store."""

import pytest

from heatherpier.tables import (
    ChangeConflictError,
    Changes,
    HistoryLostError,
    Row,
    StoreEpoch,
    StoreUnavailableError,
    TableCopy,
    epoch_of,
    make_version,
    number_of,
)


def row(key, epoch, number, body=b"x"):
    return Row(key=key, version=make_version(epoch, number), body=body)


def changes(*rows, epoch, number):
    return Changes(rows=rows, version=make_version(epoch, number), as_of=0.0)


def test_versions_rise_across_epochs_although_numbers_go_back():
    before, after = make_version(1, 9_000_000), make_version(2, 3)
    assert after > before
    assert (epoch_of(after), number_of(after)) == (2, 3)


def test_versions_equal_the_numbers_of_the_store_before_the_first_restore():
    assert make_version(0, 77) == 77


def test_versions_fit_a_float_without_loss():
    version = make_version(8000, 2**39 + 1)
    assert int(float(version)) == version


@pytest.fixture
def epoch():
    epoch = StoreEpoch()
    epoch.note(2)
    return epoch


def test_an_answer_from_before_a_known_restore_is_not_used(epoch):
    with pytest.raises(StoreUnavailableError, match="epoch 1"):
        epoch.note(1)


def test_a_watch_from_a_version_of_an_earlier_epoch_is_not_sent(epoch):
    with pytest.raises(HistoryLostError):
        epoch.check_watch(make_version(1, 5))


def test_a_watch_answered_in_a_later_epoch_is_not_used(epoch):
    with pytest.raises(HistoryLostError):
        epoch.check_watched(make_version(2, 5), answered_in=3)


def test_a_watch_may_start_from_a_version_that_a_peer_sent(epoch):
    epoch.check_watch(make_version(3, 5))
    epoch.check_watched(make_version(3, 5), answered_in=3)


def test_all_changes_can_be_requested_in_any_epoch(epoch):
    epoch.check_watch(0)
    epoch.check_watched(0, answered_in=2)


def test_a_write_that_expects_a_row_of_an_earlier_epoch_is_a_conflict(epoch):
    with pytest.raises(ChangeConflictError):
        epoch.check_expected(make_version(1, 5))


def test_a_write_made_in_a_later_epoch_than_expected_has_an_unknown_outcome(epoch):
    with pytest.raises(StoreUnavailableError):
        epoch.check_written(make_version(2, 5), answered_in=3)


@pytest.fixture
async def copy(timers):
    copy = TableCopy("fleet", timers=timers)
    copy.replace(changes(row("a", 0, 3), row("b", 0, 9), epoch=0, number=9))
    return copy


async def test_rows_of_a_later_epoch_replace_those_of_higher_numbers(copy):
    copy.replace(changes(row("a", 1, 3, b"old"), epoch=1, number=5))
    assert copy.get("a").body == b"old"
    assert copy.get("b") is None
    assert copy.epoch == 1


async def test_a_restore_is_announced_before_its_rows_apply(copy):
    seen = []
    copy.subscribe_to_epochs(lambda: seen.append(copy.get("b")))
    copy.replace(changes(row("a", 1, 3), epoch=1, number=5))
    assert seen == [row("b", 0, 9)]


async def test_rows_of_an_earlier_epoch_are_ignored(copy):
    copy.replace(changes(row("a", 1, 3, b"new"), epoch=1, number=5))
    copy.replace(changes(row("a", 0, 99, b"lost"), epoch=0, number=99))
    copy.apply_row(row("a", 0, 100, b"lost"))
    assert copy.get("a").body == b"new"


async def test_a_peer_of_an_earlier_epoch_is_sent_all_rows(copy):
    copy.replace(changes(row("a", 1, 3), epoch=1, number=5))
    assert copy.changes_since(make_version(0, 9)) is None


async def test_changes_since_the_creation_are_incomplete_after_a_restore(timers):
    copy = TableCopy("fleet", timers=timers)
    copy.apply_from_beginning(changes(row("a", 1, 3), epoch=1, number=3))
    assert copy.followed_since == timers.elapsed()
    assert copy.epoch_since == timers.elapsed()


async def test_a_row_received_after_a_whole_read_began_is_kept(copy):
    # The row is a release request's, and the whole read was answered before it.
    copy.apply_row(row("c", 0, 12))
    copy.replace(changes(row("a", 0, 3), row("b", 0, 9), epoch=0, number=11))
    assert copy.get("c") == row("c", 0, 12)
