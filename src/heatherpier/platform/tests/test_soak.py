"""Guarantees to callers of real proxies under random faults.

``HEATHERPIER_SOAK_SEEDS=100-149 make soak`` runs more seeds. The logs of the proxies
are in the temporary folder of the test, which pytest names and keeps.
"""

import os

import pytest

from heatherpier.bench._call_history import (
    find_false_refusals,
    find_old_commits,
    find_repeated_writes,
    find_stale_reads,
)
from heatherpier.platform.tests._deployment import PROXY_PROGRAM
from heatherpier.platform.tests._soak import run_seed

FAULTS_S = 12.0
# With fewer acknowledged writes, the checks prove too little.
MIN_WRITES = 10
# Seeds that have failed. A change to how faults are drawn gives them other faults.
# 12: a read whose answer from one instance was lost was answered as not run. It is also
# tested in serving/tests/test_reads.py.
# 126: a change of primary that its coordinator had abandoned was continued only 15 s
# later. It is also tested in leases/tests/test_change_of_primary.py.
REGRESSIONS = (12, 126)
FAULT_SEEDS = range(1, 6)
FIRST, LAST = os.environ.get("HEATHERPIER_SOAK_SEEDS", "1-1").split("-")
SEEDS = (*range(int(FIRST), int(LAST) + 1), *REGRESSIONS)
# Replaces fencing by nothing, so that a new primary is promoted while the old one may
# still be in use.
NO_FENCE = (
    "import heatherpier.leases._fence as fence\n"
    "async def complete(self, *, term, began): pass\n"
    "fence.Fence.complete = complete\n"
)


@pytest.mark.parametrize("seed", SEEDS)
async def test_guarantees_hold_for_real_processes_under_random_faults(tmp_path, seed):
    deployment, history, served = await run_seed(
        tmp_path, seed=seed, duration_s=FAULTS_S
    )
    group = deployment.group
    assert find_old_commits(group, history) == []
    assert find_stale_reads(group, history) == []
    assert find_false_refusals(group, history) == set()
    assert find_repeated_writes(group) == []
    tokens = [token for _, token in group.promotions]
    assert tokens == sorted(tokens)
    assert len(history.writes) > MIN_WRITES
    assert served
    for proxy in deployment.proxies:
        assert set(proxy.sigterm_exit_codes) <= {0}
        assert b"Traceback" not in proxy.stderr


async def test_a_change_without_fencing_is_detected(tmp_path):
    for seed in FAULT_SEEDS:
        deployment, history, _ = await run_seed(
            tmp_path / str(seed),
            seed=seed,
            duration_s=FAULTS_S,
            program=NO_FENCE + PROXY_PROGRAM,
            drains_only=True,
        )
        group = deployment.group
        if find_old_commits(group, history) or find_stale_reads(group, history):
            return
    pytest.fail("no seed detected the fault")
