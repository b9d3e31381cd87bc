"""No window exceeds its bound under random faults, and the model finds left-out rules."""

from dataclasses import replace

import pytest

from heatherpier.quotas import _allocators, _fleet_rows
from heatherpier.quotas._buckets import Buckets, Rate
from heatherpier.quotas._issuer import RightsIssuer
from heatherpier.quotas._ledger import Ledger
from heatherpier.quotas._policies import EmptyStart, FixedShares, QuotaPolicy
from heatherpier.quotas.tests._model import Model

# Number of seeds within which the model finds a rule that is left out.
SEEDS = 12


# Policies under which each rule is left out: the bound is tight if shares are fixed.
FIXED = QuotaPolicy(loss=FixedShares())
POLICIES = (
    QuotaPolicy(),
    FIXED,
    QuotaPolicy(start=EmptyStart(), loss=FixedShares()),
)


@pytest.mark.parametrize("policy", POLICIES, ids=["kept", "fixed", "empty"])
@pytest.mark.parametrize("seed", range(10))
def test_no_window_exceeds_its_bound(seed, policy):
    """Guards against rights that are created twice, or spent after their validity."""
    model = Model(seed, policy=policy)
    assert model.run() is None
    assert model.spent


def forget_removed_members(patch):
    patch.setattr(_fleet_rows, "REMOVED_RETENTION_S", -1.0)


def keep_rights_for_ever(patch):
    add = Ledger.add
    patch.setattr(
        Ledger,
        "add",
        lambda self, *args, **kw: add(self, *args, **{**kw, "expires_at": 1e9}),
    )


def create_at_once(patch):
    """A restarted process creates at once, and its buckets are full."""
    patch.setattr(_allocators, "RIGHT_VALIDITY_S", -1.0)
    restart = Buckets.restart
    patch.setattr(Buckets, "restart", lambda self, now: restart(self, -1e9))


def trust_any_earlier_row(patch):
    """A row of an earlier incarnation counts as old, however new it is."""
    patch.setattr(_fleet_rows.FleetRows, "is_proven", lambda self: True)


def ignore_age_of_row(patch):
    patch.setattr(
        _fleet_rows.FleetRows, "_row_stood_s", lambda self, as_of: float("inf")
    )


def ignore_age_of_view(patch):
    change_standing(patch, view_age_s=0.0)


def forget_proven_non_members(patch):
    """A restarted proxy does not count removed members that it has never seen."""
    patch.setattr(_fleet_rows.FleetRows, "_note_removed", lambda self, name: None)


def ignore_proofs_of_others(patch):
    """A new member creates after 3 s, whatever the age of the copies of others."""
    change_standing(patch, none_proven=True)


def use_old_views_without_proof(patch):
    """Copies of 9.5 s may be used although new members create after 3 s."""
    change_standing(patch, proven=True)


def change_standing(patch, **changes):
    standing = _fleet_rows.FleetRows.standing
    patch.setattr(
        _fleet_rows.FleetRows,
        "standing",
        lambda self: replace(standing(self), **changes),
    )


def leave_out_members_of_a_new_deployment(patch):
    """A member that joins is left out although no proof tells it to wait."""
    note = _fleet_rows.FleetRows._note_joined

    def note_after_a_proof(self, row):
        known, self._first_proof = self._first_proof, -1
        note(self, row)
        self._first_proof = known

    patch.setattr(_fleet_rows.FleetRows, "_note_joined", note_after_a_proof)


def fill_from_before_the_start(patch):
    """The buckets of a process hold what an earlier incarnation may have given."""
    patch.setattr(
        RightsIssuer, "_empty_at", lambda self, standing, now: self._started_at - 1.0
    )


def raise_shares_without_limit(patch):
    patch.setattr(Rate, "max_factor", property(lambda self: 5.0))


def keep_all(patch):
    """Changes nothing: the fault is one of the model's."""


@pytest.mark.parametrize(
    ("leave_out", "options"),
    [
        (forget_removed_members, {"only": "cut_and_replace"}),
        (keep_rights_for_ever, {"only": "part"}),
        (create_at_once, {"only": "restart_all_repeatedly"}),
        (trust_any_earlier_row, {"only": "add_and_restart"}),
        (ignore_age_of_row, {"only": "add_and_restart"}),
        (ignore_age_of_view, {"only": "cut_and_replace"}),
        (ignore_proofs_of_others, {"only": "add_and_restart"}),
        (use_old_views_without_proof, {"only": "add_and_restart"}),
        (forget_proven_non_members, {"only": "replace_unseen"}),
        (leave_out_members_of_a_new_deployment, {"only": "restart_one"}),
        (fill_from_before_the_start, {"only": "restart_all_repeatedly"}),
        (
            raise_shares_without_limit,
            {"only": "cut_and_replace", "policy": QuotaPolicy()},
        ),
        (keep_all, {"only": "stall", "late_counts": True}),
        (keep_all, {"only": "part", "gives_again": True}),
    ],
)
def test_model_finds_a_rule_that_is_left_out(leave_out, options, monkeypatch):
    """Guards against a model that would not notice a lost rule."""
    leave_out(monkeypatch)
    options = {"policy": FIXED, **options}
    assert any(Model(seed, **options).run() for seed in range(SEEDS))
