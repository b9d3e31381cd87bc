"""Tests the metrics of statements, reads and times without a primary."""

import asyncio
import random

import pytest

from heatherpier._metered_reader import MeteredReader, observe_primary_gaps
from heatherpier.limits import Admission
from heatherpier.requests import Request
from heatherpier.telemetry import Metrics


@pytest.fixture
def metrics():
    return Metrics()


@pytest.mark.parametrize(
    ("code", "outcome"), [(None, "ok"), (7003, "7003"), (1062, "rejected")]
)
def test_statement_is_counted_by_a_bounded_outcome(metrics, code, outcome):
    metrics.observe_statement("write", code=code, delay_s=0.2)
    labels = {"kind": "write", "outcome": outcome}
    registry = metrics.registry
    assert registry.get_sample_value("heatherpier_statements_total", labels) == 1
    delay = registry.get_sample_value(
        "heatherpier_statement_seconds_sum", {"kind": "write"}
    )
    assert delay == 0.2


async def test_read_is_counted_by_the_role_that_served_it(
    metrics, memory_group, timers
):
    group = memory_group.view("proxy-1")
    await group.refresh()
    admission = Admission(timers=timers, proxies=1)
    reader = MeteredReader(
        timers=timers,
        data_centre="south-a",
        rng=random.Random(1),
        admission=admission,
        metrics=metrics,
    )
    req = Request(sql="SELECT 1", group="assist-core-1", deadline=timers.now() + 2)
    answer = await reader.execute(group, req)
    admission.close()
    role = "replica" if answer.replica else "primary"
    count = metrics.registry.get_sample_value("heatherpier_reads_total", {"role": role})
    assert count == 1


async def test_time_without_primary_is_observed(metrics, memory_group, timers):
    group = memory_group.view("proxy-1")
    await group.refresh()
    observer = asyncio.create_task(
        observe_primary_gaps(lambda: [group], timers=timers, metrics=metrics)
    )
    await timers.sleep(1)
    statuses = dict(group.statuses)
    group.statuses.clear()
    await timers.sleep(4)
    group.statuses.update(statuses)
    await timers.sleep(1)
    observer.cancel()
    gap_s = metrics.registry.get_sample_value(
        "heatherpier_primary_gap_seconds_sum", {"group": "assist-core-1"}
    )
    assert gap_s == pytest.approx(4, abs=0.2)
