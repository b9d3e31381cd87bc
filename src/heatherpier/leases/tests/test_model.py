"""Exhaustive search of the model of leases, with all rules and without each one."""

import pytest

from heatherpier.leases.tests._model import Rules, find_two_primaries


def test_no_order_of_events_leaves_a_fenced_primary_in_use():
    assert find_two_primaries(Rules()) is None


@pytest.mark.parametrize(
    "rules",
    [
        Rules(later_incarnation_needs_new_view=False),
        Rules(later_incarnation_keeps_grants=False),
        Rules(ended_counts_as_released=True),
        Rules(waits_for_lease_expiry=False),
    ],
    ids=str,
)
def test_the_search_finds_a_fault_without_one_rule(rules):
    assert find_two_primaries(rules) is not None
