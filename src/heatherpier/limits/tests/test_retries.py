"""Number of retries and the delays between them."""

import random

from heatherpier.limits import Backoff, RetryBudget


def test_retries_are_limited_in_proportion_to_first_attempts():
    budget = RetryBudget(ratio=0.2, maximum=10)
    retries = 0
    for _ in range(1000):
        budget.record_first_attempt()
        while budget.try_acquire():
            retries += 1
    assert retries <= 10 + 0.2 * 1000


def test_budget_accumulates_at_most_its_maximum():
    budget = RetryBudget(ratio=0.2, maximum=10)
    for _ in range(1000):
        budget.record_first_attempt()
    assert sum(budget.try_acquire() for _ in range(1000)) == 10


def test_delays_grow_to_a_maximum_and_have_jitter():
    backoff = Backoff(rng=random.Random(3), initial_s=0.02, max_s=0.25)
    for attempts in range(1, 12):
        ceiling = min(0.02 * 2 ** (attempts - 1), 0.25)
        delays = [backoff.delay_s(attempts) for _ in range(50)]
        assert all(ceiling / 2 <= delay <= ceiling for delay in delays)
        assert len(set(delays)) > 40
