"""Retries: how many and how far apart."""

import random

from heatherpier.limits import Backoff, RetryBudget


def test_retries_are_at_most_a_share_of_first_tries():
    budget = RetryBudget(share=0.2, maximum=10)
    retries = 0
    for _ in range(1000):
        budget.record_first_try()
        while budget.take():
            retries += 1
    assert retries <= 10 + 0.2 * 1000


def test_budget_saves_up_no_more_than_its_bound():
    budget = RetryBudget(share=0.2, maximum=10)
    for _ in range(1000):
        budget.record_first_try()
    assert sum(budget.take() for _ in range(1000)) == 10


def test_delays_grow_to_a_bound_and_are_spread():
    backoff = Backoff(rng=random.Random(3), first_s=0.02, longest_s=0.25)
    for attempts in range(1, 12):
        ceiling = min(0.02 * 2 ** (attempts - 1), 0.25)
        delays = [backoff.delay_s(attempts) for _ in range(50)]
        assert all(ceiling / 2 <= delay <= ceiling for delay in delays)
        assert len(set(delays)) > 40
