"""The difference between two configurations."""

from dataclasses import replace

from heatherpier.config_check import KeyEntry, find_changes
from heatherpier.config_check.tests.test_findings import (
    CLEAN,
    KEYS,
    NORTH,
    ROUTE,
)


def texts(new, old=CLEAN):
    return [f"{item.place}: {item.text}" for item in find_changes(old, new)]


def test_same_configurations_have_no_difference():
    assert texts(CLEAN) == []


def test_changed_fields_show_both_values():
    route = replace(ROUTE, statement_timeout_s=2.0, max_age_s=None)
    assert texts(replace(CLEAN, version=8, routes=(route,))) == [
        "configuration: version 8, was 7",
        "route claims-aged: maximum age none, was 1500 ms",
        "route claims-aged: statement timeout 2000 ms, was 3000 ms",
    ]


def test_added_and_removed_entries_are_named():
    """Guards against an organisation that is lost unseen."""
    new = replace(CLEAN, organisations=(NORTH,), keys=KEYS[:1])
    assert texts(new) == [
        "organisation south-club: removed",
        "organisation south-club: keys: 1 removed; it has 0",
    ]
    assert texts(CLEAN, old=new)[0] == (
        "organisation south-club: added with priority 0, rate unlimited, burst 0"
    )


def test_identities_that_begin_are_shown():
    old = replace(CLEAN, organisations=None, keys=())
    assert "callers: keys required, was not used" in texts(CLEAN, old=old)


def test_moved_keys_are_only_counted():
    """Guards against keys in the output of a tool."""
    keys = (
        KeyEntry(key="key-n", organisation="south-club"),
        KeyEntry(key="key-s", organisation="south-club"),
        KeyEntry(key="key-new", organisation="north-club"),
    )
    assert texts(replace(CLEAN, keys=keys)) == [
        "organisation north-club: keys: 1 added, 1 moved away; it has 1",
        "organisation south-club: keys: 1 moved here; it has 2",
    ]


def test_route_that_another_one_replaces_is_not_compared():
    first = replace(ROUTE, service="old")
    assert texts(replace(CLEAN, routes=(first, ROUTE)), old=CLEAN) == []
