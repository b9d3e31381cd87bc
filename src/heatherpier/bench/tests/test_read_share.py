"""The share of reads that replicas serve reaches its target for each deployment."""

import pytest

from heatherpier.bench._read_share import (
    LANTERN_LEDGER_READS,
    SEN_VANG_READS,
    measure_reads,
)


@pytest.mark.parametrize(
    ("mix", "target"),
    [(SEN_VANG_READS, 0.90), (LANTERN_LEDGER_READS, 0.97)],
    ids=["sen-vang", "lantern-ledger"],
)
@pytest.mark.parametrize("baseline", [True, False], ids=["baseline", "product"])
def test_replicas_serve_target_share_of_reads(mix, target, baseline):
    figures = measure_reads(mix, proxies=4, seed=1, baseline=baseline)
    assert figures.refused == 0
    assert (figures.share >= target) is not baseline
