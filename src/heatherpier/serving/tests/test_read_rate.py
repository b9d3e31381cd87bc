"""Load: replicas lag for long, so that all reads come to a full primary."""

import pytest

from heatherpier.bench import ask
from heatherpier.serving._read_rate import MAX_RATE, ReadRateLimiter
from heatherpier.statements import Done


async def test_a_primary_with_room_takes_all_reads(timers):
    limiter = ReadRateLimiter(timers=timers)
    assert all(limiter.try_acquire() for _ in range(1000))


async def test_reads_are_shed_while_a_primary_turns_work_away(timers):
    limiter = ReadRateLimiter(timers=timers)
    for _ in range(40):
        limiter.note_rejected()
        await timers.sleep(0.1)
    taken = 0
    for _ in range(100):
        taken += limiter.try_acquire()
        await timers.sleep(0.01)
    assert taken <= 5


async def test_one_full_queue_lowers_the_rate_once(timers):
    limiter = ReadRateLimiter(timers=timers)
    for _ in range(50):
        limiter.note_rejected()
    assert limiter.rate == pytest.approx(MAX_RATE * 0.7)


async def test_the_rate_recovers_with_reads_that_are_served(timers):
    limiter = ReadRateLimiter(timers=timers)
    for _ in range(40):
        limiter.note_rejected()
        await timers.sleep(0.1)
    for _ in range(500):
        limiter.note_served()
    assert limiter.rate == MAX_RATE


async def test_writes_are_served_while_reads_are_shed(world, timers):
    primary = world.groups["claims"].instances["claims-0"]
    for instance in world.groups["claims"].instances.values():
        instance.lag_s = 30.0
    await ask(world.open("claims-exact"), "WRITE claim")
    limiter = world.engines["proxy-0"].context.read_limiter_of("claims-0")
    for _ in range(40):
        limiter.note_rejected()
        await timers.sleep(0.1)
    before = len(primary.runs)
    for _ in range(20):
        await ask(world.open("claims-own"), "READ claim")
        reply = await ask(world.open("claims-exact"), "WRITE claim")
        assert isinstance(reply.outcome, Done)
    reads = [run for run in primary.runs[before:] if run.text.startswith("READ")]
    assert len(reads) < 20
