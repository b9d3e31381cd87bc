"""The version in production and the present one create no more rights together."""

import importlib.util

import pytest

from heatherpier.quotas._policies import FixedShares, QuotaPolicy
from heatherpier.quotas.tests._model import PRESENT, Build, Model
from heatherpier.tests._production import PACKAGE


@pytest.fixture(scope="module")
def production(load_production):
    """The build in production."""
    load = load_production
    buckets = load("quotas._buckets")
    policies = importlib.util.find_spec(f"{PACKAGE}.quotas._policies")
    return Build(
        fleet_view=load("leases").FleetView,
        table_copy=load("tables").TableCopy,
        fleet_rows=load("quotas._fleet_rows").FleetRows,
        row_proof=load("quotas._row_proof").RowProof,
        buckets=buckets.Buckets,
        rate=buckets.Rate,
        issuer=load("quotas._issuer").RightsIssuer,
        policies=None if policies is None else load("quotas._policies"),
    )


@pytest.mark.parametrize("seed", range(10))
def test_mixed_versions_keep_the_bound(production, seed):
    """Guards against rights that both versions create during an upgrade."""
    policy = QuotaPolicy(loss=FixedShares())
    model = Model(seed, policy=policy, builds=(PRESENT, production))
    assert model.run() is None
    assert {item.build for item in model.running.values()} <= {PRESENT, production}
    assert model.spent
