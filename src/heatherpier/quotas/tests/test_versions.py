"""The version in production and the present one create no more rights together."""

import importlib
import sys

import pytest

from heatherpier.quotas._policies import FixedShares, QuotaPolicy
from heatherpier.quotas.tests._model import PRESENT, Build, Model
from heatherpier.tests._production import extract_production, git, production_commit

PACKAGE = "heatherpier_production"


@pytest.fixture(scope="module")
def production(tmp_path_factory):
    """The build in production, under another name."""
    folder = tmp_path_factory.mktemp("production")
    sources = extract_production(folder)
    package = (sources / "heatherpier").rename(folder / PACKAGE)
    for path in package.rglob("*.py"):
        # Metrics get other names too, so both builds can register theirs.
        path.write_text(path.read_text().replace("heatherpier", PACKAGE))
    sys.path.insert(0, str(folder))
    try:
        quotas = f"{PACKAGE}.quotas"
        buckets = importlib.import_module(f"{quotas}._buckets")
        return Build(
            fleet_view=importlib.import_module(f"{PACKAGE}.leases").FleetView,
            table_copy=importlib.import_module(f"{PACKAGE}.tables").TableCopy,
            fleet_rows=importlib.import_module(f"{quotas}._fleet_rows").FleetRows,
            row_proof=importlib.import_module(f"{quotas}._row_proof").RowProof,
            buckets=buckets.Buckets,
            rate=buckets.Rate,
            issuer=importlib.import_module(f"{quotas}._issuer").RightsIssuer,
            has_policies=importlib.util.find_spec(f"{quotas}._policies") is not None,
        )
    finally:
        sys.path.remove(str(folder))


def test_version_in_production_is_an_ancestor():
    """Guards against a version that no history builds."""
    git("merge-base", "--is-ancestor", production_commit(), "HEAD")


@pytest.mark.parametrize("seed", range(10))
def test_mixed_versions_keep_the_bound(production, seed):
    """Guards against rights that both versions create during an upgrade."""
    policy = QuotaPolicy(loss=FixedShares())
    model = Model(seed, policy=policy, builds=(PRESENT, production))
    assert model.run() is None
    assert {item.build for item in model.running.values()} <= {PRESENT, production}
    assert model.spent
