"""The version in production and the present one create no more rights together."""

import importlib
import io
import subprocess
import sys
import tarfile
import tomllib
from pathlib import Path

import pytest

from heatherpier.quotas._policies import FixedShares, QuotaPolicy
from heatherpier.quotas.tests._model import PRESENT, Build, Model

ROOT = Path(__file__).parents[4]
PACKAGE = "heatherpier_production"


def git(*args):
    return subprocess.run(["git", *args], cwd=ROOT, check=True, capture_output=True)


@pytest.fixture(scope="module")
def commit():
    """The commit in production."""
    settings = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return settings["production"]


@pytest.fixture(scope="module")
def production(commit, tmp_path_factory):
    """The build in production, from the repository's history, under another name."""
    folder = tmp_path_factory.mktemp("production")
    archive = io.BytesIO(git("archive", commit, "src/heatherpier").stdout)
    with tarfile.open(fileobj=archive) as files:
        files.extractall(folder, filter="data")
    package = (folder / "src" / "heatherpier").rename(folder / PACKAGE)
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


def test_version_in_production_is_an_ancestor(commit):
    """Guards against a version that no history builds."""
    git("merge-base", "--is-ancestor", commit, "HEAD")


@pytest.mark.parametrize("seed", range(10))
def test_mixed_versions_keep_the_bound(production, seed):
    """Guards against rights that both versions create during an upgrade."""
    policy = QuotaPolicy(loss=FixedShares())
    model = Model(seed, policy=policy, builds=(PRESENT, production))
    assert model.run() is None
    assert {item.build for item in model.running.values()} <= {PRESENT, production}
    assert model.spent
