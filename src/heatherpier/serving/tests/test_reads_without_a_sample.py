"""Load pattern: a started proxy gets many reads before it knows a position.

Only the primary can serve the first read. The others wait for its answer instead of
queueing at the primary too, and then run on replicas.
"""

import asyncio

from heatherpier.bench import ask
from heatherpier.serving._positions import MAX_SEEKERS
from heatherpier.statements import Done

READS = 30


async def read_at_once(deployment, database):
    """Returns the replies to reads of new sessions that arrive together."""
    sessions = [deployment.open(database, proxy="proxy-1") for _ in range(READS)]
    return await asyncio.gather(*(ask(session, "READ claim") for session in sessions))


def reads_on_primary(deployment):
    executed = deployment.groups["claims"].primary().executed
    return sum(item.text == "READ claim" for item in executed)


async def test_reads_without_a_sample_leave_the_primary_to_the_first(deployment):
    replies = await read_at_once(deployment, "claims-aged")
    assert all(isinstance(reply.outcome, Done) for reply in replies)
    assert reads_on_primary(deployment) <= MAX_SEEKERS


async def test_a_sample_that_is_too_old_is_renewed_by_one_read(deployment, timers):
    await read_at_once(deployment, "claims-own")
    await timers.sleep(10.0)
    before = reads_on_primary(deployment)
    replies = await read_at_once(deployment, "claims-own")
    assert all(isinstance(reply.outcome, Done) for reply in replies)
    assert reads_on_primary(deployment) - before <= MAX_SEEKERS


async def test_reads_are_served_if_the_first_answers_are_lost(deployment):
    deployment.groups["claims"].primary().lose_answers = MAX_SEEKERS
    replies = await read_at_once(deployment, "claims-aged")
    served = sum(isinstance(reply.outcome, Done) for reply in replies)
    assert served >= READS - MAX_SEEKERS


async def test_reads_end_in_time_if_the_primary_does_not_answer(deployment, timers):
    deployment.groups["claims"].primary().unresponsive = True
    began = timers.now()
    await read_at_once(deployment, "claims-aged")
    assert timers.now() - began <= 0.8 + 0.1
