"""The choice among candidates."""

import random

import pytest

from heatherpier.balancing import Candidate, choose
from heatherpier.balancing._choice import CERTAIN_S

RUNS = 2000
NEXT_REGION_S = 0.08


@pytest.fixture
def rng():
    """Returns a seeded random source."""
    return random.Random(5)


def shares(candidates, rng):
    """Returns how often each candidate is chosen."""
    chosen = [choose(candidates, rng)[0].name for _ in range(RUNS)]
    return [chosen.count(item.name) / RUNS for item in candidates]


def near(name, wait_s):
    return Candidate(name=name, wait_s=wait_s)


def far(name, wait_s):
    return Candidate(name=name, wait_s=wait_s, extra_s=NEXT_REGION_S)


@pytest.mark.parametrize("count", range(5))
def test_every_candidate_stays_in_the_list(count, rng):
    """Guards against reads that have no instance left to go on to."""
    candidates = [near(str(item), item / 100) for item in range(count)]
    chosen = choose(candidates, rng)
    assert sorted(item.name for item in chosen) == [item.name for item in candidates]
    rest = [item.wait_s for item in chosen[1:]]
    assert rest == sorted(rest)


def test_equal_candidates_get_equal_shares(rng):
    """Guards against the order of names, which all proxies share."""
    for share in shares([near(name, 0.01) for name in "abc"], rng):
        assert share == pytest.approx(1 / 3, abs=0.04)


def test_share_grows_with_the_difference_of_waits(rng):
    small = shares([near("a", 0.0), near("b", CERTAIN_S / 4)], rng)
    large = shares([near("a", 0.0), near("b", CERTAIN_S * 1.01)], rng)
    assert small[0] == pytest.approx(0.625, abs=0.04)
    assert large == [1.0, 0.0]


def test_the_idlest_of_many_does_not_get_everything(rng):
    """Guards against all proxies choosing the instance that was idle last."""
    candidates = [near("idle", 0.0), *(near(str(item), 0.5) for item in range(11))]
    assert shares(candidates, rng)[0] == pytest.approx(2 / 12, abs=0.03)


@pytest.mark.parametrize(
    ("wait_s", "expected"),
    [(0.0, 1.0), (NEXT_REGION_S, 1.0), (NEXT_REGION_S + CERTAIN_S * 1.01, 0.0)],
)
def test_distance_is_overcome_by_a_longer_wait_only(wait_s, expected, rng):
    """Guards against traffic between regions that saves less than it costs."""
    candidates = [near("near", wait_s), far("b", 0.0), far("c", 0.0)]
    assert shares(candidates, rng)[0] == expected
