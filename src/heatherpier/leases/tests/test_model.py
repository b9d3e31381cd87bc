"""The model of leases, searched whole, with each rule active and left out."""

import pytest

from heatherpier.leases.tests._model import Rules, find_two_primaries


def test_no_order_of_events_leaves_a_fenced_primary_in_use():
    assert find_two_primaries(Rules()) is None


@pytest.mark.parametrize(
    "rules",
    [
        Rules(next_incarnation_waits=False),
        Rules(next_incarnation_promised=False),
        Rules(ended_is_released=True),
        Rules(waits_for_lease=False),
    ],
    ids=str,
)
def test_each_rule_is_needed(rules):
    assert find_two_primaries(rules) is not None
