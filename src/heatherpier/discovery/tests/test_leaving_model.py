"""Work reaches an instance that leaves before it may end, whatever delays it.

Each rule of the argument in design note 15 is left out once, and then work comes late.
"""

import pytest

from heatherpier.discovery import _registry
from heatherpier.discovery.tests._leaving_model import DRAIN_S, LeavingModel

SEEDS = range(300)


def latest_arrival():
    """Returns the latest arrival of all seeds, in seconds since the announcement."""
    latest = []
    for seed in SEEDS:
        model = LeavingModel(seed)
        model.run()
        latest.append(max(model.arrivals, default=0.0))
    return max(latest)


def test_no_work_arrives_after_the_drain():
    # Guards against statements that end with the instance that they were sent to.
    latest = latest_arrival()
    assert latest <= DRAIN_S
    # Otherwise the runs would prove little.
    assert latest > DRAIN_S - 1.0


@pytest.mark.parametrize("margin_s", [1.0, _registry.DELIVERY_S])
def test_a_smaller_margin_lets_work_arrive_late(monkeypatch, margin_s):
    monkeypatch.setattr(_registry, "DRAIN_MARGIN_S", margin_s)
    assert latest_arrival() > DRAIN_S


def test_without_the_delays_of_the_process_work_arrives_late(monkeypatch):
    monkeypatch.setattr(_registry.InstanceRegistry, "_recent_delay_s", lambda self: 0.0)
    assert latest_arrival() > DRAIN_S


def test_without_the_age_of_the_list_work_arrives_late(monkeypatch):
    put = _registry.InstanceRegistry.put

    def put_without_age(self, record, *, may_be_old=False, list_age_s=0.0):
        put(self, record, may_be_old=may_be_old)

    monkeypatch.setattr(_registry.InstanceRegistry, "put", put_without_age)
    assert latest_arrival() > DRAIN_S


def test_if_an_entry_of_a_backup_ends_the_drain_work_arrives_late(monkeypatch):
    put = _registry.InstanceRegistry.put

    def put_as_new(self, record, *, may_be_old=False, list_age_s=0.0):
        put(self, record, list_age_s=list_age_s)

    monkeypatch.setattr(_registry.InstanceRegistry, "put", put_as_new)
    assert latest_arrival() > DRAIN_S
