"""Forwarding under random faults: no write runs twice, and "not run" is true.

Homes end between a run and its answer, messages are lost, delayed and doubled, proxies
choose homes from different tables, and primaries change.
"""

import dataclasses

import msgspec
import pytest

from heatherpier.forwarding import _link, _server
from heatherpier.forwarding._receipts import Receipts
from heatherpier.forwarding.tests._faulty_run import run_faulty
from heatherpier.upstreams import ConnectError, ConnectionLostError

SEEDS = range(6)


@pytest.mark.parametrize("seed", SEEDS)
async def test_guarantees_hold_under_random_faults(timers, seed):
    found, history = await run_faulty(timers, seed)
    assert found == {}
    assert len(history.writes) > 100


async def expect_detection(timers, *kinds):
    for seed in SEEDS:
        found, _ = await run_faulty(timers, seed)
        if found.keys() & set(kinds):
            return
    pytest.fail(f"no seed detected the fault: {kinds}")


async def test_a_home_that_forgets_the_pin_check_is_detected(timers, monkeypatch):
    acquire = _server.ForwardingServer._acquire

    async def acquire_anyway(self, job):
        req = msgspec.structs.replace(job.req, continues=False)
        return await acquire(self, dataclasses.replace(job, req=req))

    monkeypatch.setattr(_server.ForwardingServer, "_acquire", acquire_anyway)
    await expect_detection(timers, "outside of its transaction")


async def test_a_sender_that_takes_a_time_out_as_not_run_is_detected(
    timers, monkeypatch
):
    run = _link.RemoteConnection.run

    async def run_or_refuse(self, calls, **limits):
        try:
            return await run(self, calls, **limits)
        except ConnectionLostError as exc:
            raise ConnectError(str(exc)) from exc

    monkeypatch.setattr(_link.RemoteConnection, "run", run_or_refuse)
    await expect_detection(timers, "twice", "false not run")


async def test_a_home_that_runs_a_doubled_request_again_is_detected(
    timers, monkeypatch
):
    monkeypatch.setattr(Receipts, "admit", lambda self, link, step, held=False: True)
    await expect_detection(timers, "twice")
