"""Short seeded runs of the decision code against failing groups."""

import pytest

from heatherpier.bench._fault_run import run_seed
from heatherpier.groups import Group

# The last two found a wrong "not run" and a read older than its stated age.
SEEDS = (*range(10), 14, 132)


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_seeded_faults(seed):
    run = run_seed(seed)
    assert run.violations == ()
    assert run.recovered
    assert run.acknowledged > 0


def test_seed_replays_the_same_history():
    assert run_seed(1).digest == run_seed(1).digest


def test_acknowledging_on_the_primary_alone_loses_writes(monkeypatch):
    async def acknowledge_at_once(self, *args, **kwargs):
        return None

    monkeypatch.setattr(Group, "acknowledge", acknowledge_at_once)
    assert any(run_seed(seed).violations for seed in range(20))
