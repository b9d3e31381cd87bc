"""Buckets never give more than their rate and stock, and share fairly."""

import math

from hypothesis import given
from hypothesis import strategies as st

from heatherpier.quotas._buckets import ALLOCATORS, Bucket, Buckets, Rate, fair_level

rates = st.builds(Rate, st.floats(0.01, 500.0), st.floats(0.0, 500.0))
asks = st.lists(
    st.tuples(st.floats(0.0, 2.0), st.sampled_from("abcd"), st.integers(1, 60)),
    max_size=60,
)


@given(rate=rates, asks=asks)
def test_gifts_of_any_window_are_bounded(rate, asks):
    """Guards against rights that are created twice, such as by a fill that repeats."""
    bucket, now, gifts = Bucket(rate, empty_at=0.0), 0.0, []
    for pause_s, asker, amount in asks:
        now += pause_s
        gift = bucket.give(asker, float(amount), now)
        assert 0 <= gift.amount <= amount
        assert gift.amount == int(gift.amount)
        assert (gift.retry_s == 0) == (gift.amount >= amount)
        gifts.append((now, gift.amount))
    for first, (start, _) in enumerate(gifts):
        total = 0.0
        for at, amount in gifts[first:]:
            total += amount
            created = (at - start) * rate.per_s
            assert total <= (rate.stock + created) / ALLOCATORS + 1e-6


@given(old=rates, new=rates, at=st.floats(0.0, 100.0))
def test_new_rate_cuts_the_bucket_at_once(old, new, at):
    """Guards against a stock that outlives the limit that it was created under."""
    bucket = Bucket(old, empty_at=0.0)
    before = bucket.level(at)
    bucket.set_rate(new, at)
    assert bucket.level(at) <= min(before, new.stock / ALLOCATORS)


@given(
    demands=st.dictionaries(st.text(max_size=2), st.floats(0.0, 50.0), max_size=8),
    capacity=st.floats(0.0, 100.0),
)
def test_fair_level_shares_the_whole_capacity(demands, capacity):
    """Guards against a level that gives away more, or leaves something unused."""
    level = fair_level(demands, capacity)
    shared = sum(min(level, demand) for demand in demands.values())
    if level == math.inf:
        assert shared <= capacity + 1e-6
    else:
        assert abs(shared - capacity) < 1e-6


def test_hot_proxy_does_not_starve_another():
    """Guards against rights that all go to the proxy that asks for most."""
    bucket, got = Bucket(Rate(100.0, 50.0), empty_at=0.0), {"hot": 0.0, "small": 0.0}
    for step in range(1, 1001):
        now = step * 0.01
        got["hot"] += bucket.give("hot", 100.0, now).amount
        if step % 20 == 0:
            got["small"] += bucket.give("small", 1.0, now).amount
    # The small one asks for 5 of 20 rights a second, less than its fair half, so it is
    # owed what an organisation below its limit is: 0.98 of the 50 that it asks for.
    assert got["small"] >= 0.98 * 50
    assert got["hot"] + got["small"] >= 190


def test_new_allocator_starts_with_empty_buckets():
    """Guards against a second burst when another proxy becomes an allocator."""
    buckets = Buckets(lambda _: Rate(100.0, 100.0))
    buckets.restart(1000.0)
    assert buckets.give("acme", "proxy", 5.0, 1000.0).amount == 0
    assert buckets.give("acme", "proxy", 5.0, 1000.1).amount == 2
