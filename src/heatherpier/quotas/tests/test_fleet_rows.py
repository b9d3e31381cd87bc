"""What a proxy takes for granted of members, removals and its own row."""

import pytest

from heatherpier.fleet import Peer
from heatherpier.leases import FLEET_TABLE, MEMBER_PREFIX, FleetView, encode_member
from heatherpier.quotas._allocators import MAX_VIEW_AGE_S
from heatherpier.quotas._fleet_rows import (
    JOINING_S,
    MAX_AGE_AT_RESTORE_S,
    STOOD_PREFIX,
    FleetRows,
)
from heatherpier.quotas.tests._model import ModelTimers
from heatherpier.tables import Changes, Row, TableCopy, make_version

ME = Peer(name="me", host="me", port=1, data_centre="north")


class Table:
    """The copy of one proxy, to which a test applies changes."""

    def __init__(self):
        self.timers = ModelTimers()
        self.copy = TableCopy(FLEET_TABLE, timers=self.timers)
        view = FleetView(self.copy, timers=self.timers)
        self.rows = FleetRows(ME, view=view, timers=self.timers)

    def apply(self, *rows, version, at, whole=False, epoch=0):
        self.timers.time = at
        rows = tuple(
            Row(key=key, version=make_version(epoch, number), body=body)
            for key, number, body in rows
        )
        changes = Changes(rows=rows, version=make_version(epoch, version), as_of=at)
        if whole:
            self.copy.replace(changes)
        elif self.copy.version == 0:
            self.copy.apply_from_beginning(changes)
        else:
            self.copy.apply(changes)


@pytest.fixture
def table():
    return Table()


OWN_ROW = (MEMBER_PREFIX + "me", 1, encode_member(ME))


def test_member_that_was_removed_unseen_counts_as_present(table):
    """Guards against a member that still creates rights, but that nobody counts."""
    table.apply(OWN_ROW, (MEMBER_PREFIX + "unseen", 3, None), version=3, at=0.0)
    assert set(table.rows.first()) == {"me", "unseen"}
    table.timers.time = 25.1
    assert table.rows.first() == ("me",)


def test_whole_read_after_a_gap_leaves_removals_unknown(table):
    """Guards against a first read that lacks members which were just removed."""
    table.apply(OWN_ROW, version=1, at=0.0)
    assert table.rows.standing().followed_s == float("inf")
    table.apply(OWN_ROW, version=9, at=MAX_VIEW_AGE_S - 2, whole=True)
    assert table.rows.standing().followed_s == float("inf")
    table.apply(OWN_ROW, version=10, at=36.0, whole=True)
    table.timers.time = 40.0
    assert table.rows.standing().followed_s == 4.0


def test_proof_must_name_the_version_of_the_row(table):
    """Guards against the proof of an earlier registration."""
    proof = (STOOD_PREFIX + "me", 2, b"1")
    table.apply(OWN_ROW, proof, version=2, at=0.0)
    assert table.rows.standing().proven
    assert not table.rows.standing().none_proven
    table.apply((MEMBER_PREFIX + "me", 5, OWN_ROW[2]), version=5, at=1.0)
    assert not table.rows.standing().proven
    assert table.rows.standing().row_stood_s == 0.0


@pytest.mark.parametrize(
    ("restored_at", "stands"),
    [
        (MAX_AGE_AT_RESTORE_S - 1, True),
        (MAX_AGE_AT_RESTORE_S + 1, False),
    ],
)
def test_restore_after_a_gap_makes_the_own_row_new(table, restored_at, stands):
    """Guards against a row whose removal a restore has undone unseen."""
    table.apply(OWN_ROW, (STOOD_PREFIX + "me", 2, b"1"), version=2, at=0.0)
    rows = (OWN_ROW, (STOOD_PREFIX + "me", 2, b"1"))
    table.apply(*rows, version=2, at=restored_at, whole=True, epoch=1)
    assert (table.rows.standing().row_stood_s == float("inf")) is stands


def settled(table):
    """Shows the own row with its settled proof; returns the row of another member."""
    table.apply(OWN_ROW, (STOOD_PREFIX + "me", 2, b"1 settled"), version=2, at=0.0)
    peer = Peer(name="new", host="new", port=1, data_centre="north")
    return (MEMBER_PREFIX + "new", 3, encode_member(peer))


def test_new_member_takes_no_place_before_it_may_create_rights(table):
    """Guards against places that nobody fills while new members are too new."""
    table.apply(settled(table), version=3, at=1.0)
    assert table.rows.first() == ("me",)
    table.timers.time = JOINING_S - 0.1
    assert table.rows.first() == ("me",)
    # The copy was complete without it at 0 s, so its row may be as old as that.
    table.timers.time = JOINING_S
    assert set(table.rows.first()) == {"me", "new"}


def test_member_that_registers_again_takes_no_place_at_first(table):
    """Guards against the places of allocators that were cut off and have returned."""
    table.apply(settled(table), version=3, at=1.0)
    table.timers.time = 30.0
    key, _, body = settled(Table())
    table.apply((key, 4, None), version=4, at=30.0)
    assert set(table.rows.first()) == {"me", "new"}
    table.apply((key, 5, body), version=5, at=32.0)
    assert table.rows.first() == ("me",)


def test_new_member_counts_as_soon_as_its_proof_shows(table):
    """Guards against a sixth allocator."""
    table.apply(settled(table), version=3, at=1.0)
    table.apply((STOOD_PREFIX + "new", 4, b"3"), version=4, at=2.0)
    assert set(table.rows.first()) == {"me", "new"}


def test_member_of_a_new_deployment_counts_at_once(table):
    """Guards against members that create after 3 s while others leave them out."""
    new = settled(table)
    table = Table()
    table.apply(OWN_ROW, version=1, at=0.0)
    table.apply(new, version=3, at=1.0)
    assert set(table.rows.first()) == {"me", "new"}
