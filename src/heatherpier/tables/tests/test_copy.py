"""Changes that a copy of a table applies and passes on to other proxies."""

import pytest

from heatherpier.tables import Changes, Row, TableCopy


@pytest.fixture
async def copy(timers):
    copy = TableCopy("fleet", timers=timers)
    copy.replace(changes(row("member/a", 3), version=5))
    return copy


def row(key, version, body=b"x"):
    return Row(key=key, version=version, body=body)


def changes(*rows, version):
    return Changes(rows=rows, version=version, as_of=0.0)


async def test_an_older_row_does_not_replace_a_newer_one(copy):
    copy.apply_row(row("member/a", 7, b"new"))
    copy.apply_row(row("member/a", 6, b"old"))
    assert copy.get("member/a").body == b"new"


async def test_a_deletion_is_passed_on(copy):
    copy.apply(changes(row("member/a", 6, None), version=6))
    assert copy.changes_since(5) == (row("member/a", 6, None),)


async def test_a_deletion_of_an_unknown_row_is_passed_on(copy):
    # A row that was written at version 6 and deleted at 7 may be missing here, but
    # another proxy, whose watch returned between the two, has it.
    copy.apply(changes(row("member/b", 7, None), version=7))
    assert copy.changes_since(6) == (row("member/b", 7, None),)


async def test_changes_before_the_first_read_are_unknown(copy):
    assert copy.changes_since(4) is None


async def test_a_deletion_is_reported_once(copy):
    seen = []
    copy.subscribe(seen.append)
    deletion = row("member/a", 6, None)
    copy.apply(changes(deletion, version=6))
    copy.apply_row(deletion)
    assert seen == [deletion]


async def test_an_older_version_does_not_restore_a_deleted_row(copy):
    copy.apply(changes(row("member/a", 6, None), version=6))
    copy.apply_row(row("member/a", 3))
    assert copy.get("member/a") is None
