"""Rate limit of reads on a busy primary.

When all replicas lag under load, all reads go to the primary and would take the
capacity that writes need.
"""

import pytest

from heatherpier.bench import ask
from heatherpier.serving._read_rate import MAX_READS_PER_S, ReadRateLimiter
from heatherpier.statements import Done


async def test_reads_are_not_limited_without_rejections(timers):
    limiter = ReadRateLimiter(timers=timers)
    assert all(limiter.try_acquire() for _ in range(1000))


async def test_reads_are_limited_while_a_primary_rejects_statements(timers):
    limiter = ReadRateLimiter(timers=timers)
    for _ in range(40):
        limiter.note_rejected()
        await timers.sleep(0.1)
    admitted = 0
    for _ in range(100):
        admitted += limiter.try_acquire()
        await timers.sleep(0.01)
    assert admitted <= 5


async def test_rejections_at_the_same_time_lower_the_rate_once(timers):
    limiter = ReadRateLimiter(timers=timers)
    for _ in range(50):
        limiter.note_rejected()
    assert limiter.rate == pytest.approx(MAX_READS_PER_S * 0.7)


async def test_served_reads_raise_the_rate(timers):
    limiter = ReadRateLimiter(timers=timers)
    for _ in range(40):
        limiter.note_rejected()
        await timers.sleep(0.1)
    for _ in range(500):
        limiter.note_served()
    assert limiter.rate == MAX_READS_PER_S


async def test_writes_are_served_while_reads_are_limited(deployment, timers):
    primary = deployment.groups["claims"].instances["claims-0"]
    for instance in deployment.groups["claims"].instances.values():
        instance.lag_s = 30.0
    await ask(deployment.open("claims-exact"), "WRITE claim")
    limiter = deployment.engines["proxy-0"].context.read_limiter_of("claims-0")
    for _ in range(40):
        limiter.note_rejected()
        await timers.sleep(0.1)
    before = len(primary.executed)
    for _ in range(20):
        await ask(deployment.open("claims-own"), "READ claim")
        reply = await ask(deployment.open("claims-exact"), "WRITE claim")
        assert isinstance(reply.outcome, Done)
    reads = [run for run in primary.executed[before:] if run.text.startswith("READ")]
    assert len(reads) < 20
