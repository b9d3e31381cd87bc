"""Exhaustive searches of the models, with all rules and without each one."""

import dataclasses

import pytest

from heatherpier.leases.tests import (
    _keep_model,
    _restore_model,
    _synchronous_model,
    _unknown_primary_model,
)
from heatherpier.leases.tests._model import Rules, find_two_primaries


def test_no_order_of_events_leaves_a_fenced_primary_in_use():
    assert find_two_primaries(Rules()) is None


@pytest.mark.parametrize(
    "rules",
    [
        Rules(later_incarnation_needs_new_view=False),
        Rules(later_incarnation_keeps_grants=False),
        Rules(ended_counts_as_released=True),
        Rules(refused_counts_as_ended=True),
        Rules(waits_for_lease_expiry=False),
        Rules(waits_for_removed_members=False),
        Rules(removals_leave_half=False),
        Rules(returned_members_have_to_release=False),
        Rules(view_covers_change=False),
    ],
    ids=str,
)
def test_the_search_finds_a_fault_without_one_rule(rules):
    assert find_two_primaries(rules) is not None


def test_no_order_of_events_around_a_restore_gives_two_primaries():
    assert _restore_model.find_two_primaries(_restore_model.Rules()) is None


@pytest.mark.parametrize(
    "rule", [field.name for field in dataclasses.fields(_restore_model.Rules)]
)
def test_the_search_finds_two_primaries_without_one_rule_of_restores(rule):
    rules = dataclasses.replace(_restore_model.Rules(), **{rule: False})
    assert _restore_model.find_two_primaries(rules) is not None


def test_no_order_of_events_uses_a_kept_primary_beside_its_successor():
    assert _keep_model.find_two_primaries(_keep_model.Rules()) is None


@pytest.mark.parametrize(
    "rule", [field.name for field in dataclasses.fields(_keep_model.Rules)]
)
def test_the_search_finds_a_kept_primary_that_was_replaced_without_one_rule(rule):
    rules = dataclasses.replace(_keep_model.Rules(), **{rule: False})
    assert _keep_model.find_two_primaries(rules) is not None


def test_no_order_of_events_loses_an_acknowledged_commit():
    assert _synchronous_model.find_lost_commit(_synchronous_model.Rules()) is None


@pytest.mark.parametrize(
    "rule", [field.name for field in dataclasses.fields(_synchronous_model.Rules)]
)
def test_the_search_finds_a_lost_commit_without_one_rule_of_the_choice(rule):
    rules = dataclasses.replace(_synchronous_model.Rules(), **{rule: False})
    assert _synchronous_model.find_lost_commit(rules) is not None


def test_no_order_of_events_replaces_an_unknown_primary_that_is_still_used():
    rules = _unknown_primary_model.Rules()
    assert _unknown_primary_model.find_two_primaries(rules) is None


@pytest.mark.parametrize(
    "rule", [field.name for field in dataclasses.fields(_unknown_primary_model.Rules)]
)
def test_the_search_finds_an_unknown_primary_in_use_without_one_rule(rule):
    rules = dataclasses.replace(_unknown_primary_model.Rules(), **{rule: False})
    assert _unknown_primary_model.find_two_primaries(rules) is not None
