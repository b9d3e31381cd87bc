"""Tests of the expiry of request records."""

import pytest

from heatherpier.positions import LogPosition
from heatherpier.writes import _attempt, _pruner
from heatherpier.writes._pruner import Pruner
from heatherpier.writes._records import RecordState, RequestRecord, fingerprint_of
from heatherpier.writes._resolver import Resolver

INSERT_CALL = "INSERT INTO calls VALUES ('linh')"


@pytest.fixture
def pruner(proxy, timers):
    """Returns a pruner with 10 s of retention and a margin of 5 s."""
    return Pruner(timers=timers, rng=proxy.rng, retention_ms=10_000, margin_ms=5_000)


def keys_of(bench):
    rows = bench.primary.engine.read("SELECT request_key FROM heatherpier_requests")
    return {row[0] for row in rows.rows}


async def test_records_are_kept_for_retention_and_margin(bench, proxy, pruner, timers):
    await proxy.write(INSERT_CALL, key="call-1")
    await timers.sleep(14)
    await pruner.prune(proxy.group)
    assert "call-1" in keys_of(bench)


async def test_expired_records_are_deleted(bench, proxy, pruner, timers):
    await proxy.write(INSERT_CALL, key="call-1")
    await timers.sleep(16)
    await proxy.write(INSERT_CALL, key="call-2")
    await pruner.prune(proxy.group)
    assert keys_of(bench) == {"call-2"}


async def test_each_delete_is_limited_to_one_batch(
    bench, proxy, pruner, timers, monkeypatch
):
    monkeypatch.setattr(_pruner, "BATCH_KEYS", 3)
    for number in range(8):
        await proxy.write(INSERT_CALL, key=f"call-{number}")
    await timers.sleep(16)
    assert await pruner.prune(proxy.group) >= 8
    deletes = [
        sql for e in bench.primary.log for sql in e.statements if "DELETE" in sql
    ]
    assert max(sql.count("'call-") for sql in deletes) <= 3
    assert keys_of(bench) == set()


async def run_second_attempt_later(bench, proxy, timers):
    """Refuses attempt 1 of a key, runs attempt 2 10 s later, and waits 10 s more."""
    record = RequestRecord(
        key="call-1",
        attempt=1,
        fingerprint=fingerprint_of("assist-core-1", [INSERT_CALL]),
        state=RecordState.RUN,
    )
    resolver = Resolver(timers=timers, rng=proxy.rng)
    refused = await resolver.refuse(proxy.group, record, deadline=timers.now() + 2)
    assert refused.position > LogPosition(1, 0)
    await timers.sleep(10)
    await proxy.write(INSERT_CALL, key="call-1")
    await timers.sleep(10)


async def test_refusal_expires_no_earlier_than_the_next_attempt(
    bench, proxy, pruner, timers
):
    await run_second_attempt_later(bench, proxy, timers)
    await pruner.prune(proxy.group)
    await proxy.write(INSERT_CALL, key="call-1")
    assert bench.count_runs("linh") == 1


async def test_key_runs_twice_if_its_refusal_expires_first(
    bench, proxy, pruner, timers, monkeypatch
):
    # Without the renewal, the refusal of attempt 1 is pruned while attempt 2 is kept,
    # and the next request with the key claims number 1 again.
    async def skip_renewal(*args, **kwargs):
        return True

    monkeypatch.setattr(_attempt, "renew_refusals", skip_renewal)
    await run_second_attempt_later(bench, proxy, timers)
    await pruner.prune(proxy.group)
    await proxy.write(INSERT_CALL, key="call-1")
    assert bench.count_runs("linh") == 2
