"""Prints how evenly statements are spread, and what a choice costs."""

import random
import time

from heatherpier.bench._balancing import (
    Balanced,
    BalancingPlan,
    BalancingResult,
    LeastReported,
    UnbalancedChooser,
    run_balancing,
)

CHOOSERS = (26, 144)
# None: each answer brings the load of one of the homes.
AGES_S = (0.0, 0.2, 0.5, 1.0, 2.0, None)
HOMES = 4
# Instances, slots and mean work in seconds.
SHAPES = ((3, 6, 0.03), (12, 4, 0.015))
POLICIES = (UnbalancedChooser, LeastReported, Balanced)
DURATION_S = 7.0
CHOICES = 20_000
MS_PER_S = 1000
US_PER_S = 1_000_000


def print_balancing(*, seed: int) -> None:
    """Prints the tables.

    Args:
        seed: Seed of all random choices.
    """
    print(f"seed {seed}; worst instance's load over the mean / p99 wait in ms")
    print("choosers  instances x slots  age s      before     least       after")
    for choosers in CHOOSERS:
        for instances, slots, work_s in SHAPES:
            for age_s in AGES_S:
                plan = BalancingPlan(
                    choosers=choosers,
                    instances=instances,
                    slots=slots,
                    work_s=work_s,
                    age_s=age_s,
                    homes=HOMES if age_s is None else 1,
                    duration_s=DURATION_S,
                    seed=seed,
                )
                cells = [_cell(run_balancing(plan, policy)) for policy in POLICIES]
                shape = f"{instances} x {slots}"
                age = "reply" if age_s is None else f"{age_s:5}"
                print(f"{choosers:8}  {shape:>17}  {age}  {'  '.join(cells)}")
    print("processor time of a choice, in us")
    for instances, _, _ in SHAPES:
        before_us, after_us = (
            choice_s(policy, instances=instances, seed=seed) * US_PER_S
            for policy in (UnbalancedChooser, Balanced)
        )
        print(f"{instances:2} instances: before {before_us:.1f}, after {after_us:.1f}")


def _cell(result: BalancingResult) -> str:
    wait_ms = result.wait_s(0.99) * MS_PER_S
    return f"{result.worst_over_mean():4.2f}/{wait_ms:5.0f}"


def choice_s(policy: type[UnbalancedChooser], *, instances: int, seed: int) -> float:
    """Returns the processor time of one choice, in seconds.

    Args:
        policy: Class of the chooser.
        instances: Number of candidates.
        seed: Seed of the random source.
    """
    plan = BalancingPlan(choosers=26, instances=instances, seed=seed)
    chooser = policy(plan, index=0, rng=random.Random(seed))
    present = list(range(instances))
    for item in present:
        chooser.learn(item, item, 0.0)
        chooser.sent(item, 0.0)
    began = time.process_time()
    for number in range(CHOICES):
        chooser.pick(present, number / CHOICES)
    return (time.process_time() - began) / CHOICES
