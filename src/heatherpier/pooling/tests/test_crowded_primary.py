"""Load pattern: all proxies lose power and start again at once.

A primary counts the connections of the ended processes for 3 s. Until then it accepts
too few for each proxy to keep one, but more than enough for the statements: 79 proxies
share the 29 that are free at each of 10 primaries.
"""

import asyncio
import random
from collections import Counter

import pytest

from heatherpier.discovery import InstanceRecord
from heatherpier.pooling import InstancePools, PoolLimits
from heatherpier.requests import OverloadedError
from heatherpier.statements import Done, Reply, SessionState
from heatherpier.upstreams import Instance, TooManyConnectionsError

PROXIES = 79
SERVICES = 10
MAX_CONNECTIONS = 108
LINGER_S = 3.0
# Statements for the primary of one service a second, over all proxies.
STATEMENTS_PER_S = 40
# Round trip between regions, and the work of a new connection on the instance.
ROUND_TRIP_S = 0.026
HANDSHAKE_S = 0.012
EXECUTION_S = 0.02
# Time for which a statement waits for a connection.
WAIT_S = 0.36
# The users' goal for the seconds after a start of all proxies.
MIN_SERVED = 0.85


class Primaries:
    """Accept connections up to their maximum, with those of ended processes."""

    def __init__(self, timers):
        self.timers = timers
        self.open = Counter()
        self.handshakes = 0

    async def connect(self, instance, *, service, organisation=""):
        lingering = PROXIES if self.timers.now() < LINGER_S else 0
        await self.timers.sleep(ROUND_TRIP_S)
        if lingering + self.open[service] >= MAX_CONNECTIONS:
            raise TooManyConnectionsError(instance.name)
        self.open[service] += 1
        self.handshakes += 1
        await self.timers.sleep(HANDSHAKE_S + ROUND_TRIP_S)
        return Link(self, service)


class Link:
    def __init__(self, primaries, service):
        self.primaries = primaries
        self.service = service
        self.aborted = False

    async def exchange(self, calls):
        return [Reply(outcome=Done(), state=SessionState.IDLE) for _ in calls]

    def has_unread(self):
        return False

    def abort(self):
        if not self.aborted:
            self.aborted = True
            self.primaries.open[self.service] -= 1


@pytest.fixture
def primaries(timers):
    return Primaries(timers)


@pytest.fixture
def records():
    return [
        InstanceRecord(
            instance=Instance(
                name=f"i-{number}", host="10.0.0.1", port=1, data_centre="north"
            ),
            service=f"service-{number}",
            claims_primary=True,
        )
        for number in range(SERVICES)
    ]


@pytest.fixture
def pools(timers, primaries):
    return [
        InstancePools(
            connector=primaries,
            timers=timers,
            limits=lambda _: PoolLimits(soft_limit=1, hard_limit=4),
        )
        for _ in range(PROXIES)
    ]


async def run_statement(timers, pool):
    """Returns whether a statement got a connection in time."""
    try:
        conn = await pool.acquire({}, priority=1, deadline=timers.now() + WAIT_S)
    except OverloadedError:
        return False
    await timers.sleep(ROUND_TRIP_S + EXECUTION_S)
    pool.release(conn, held_s=ROUND_TRIP_S + EXECUTION_S)
    return True


async def run_load(timers, pools, records, *, until):
    """Runs statements through random proxies; returns whether each was served."""
    rng = random.Random(3)
    running = []
    while timers.now() < until:
        pool = rng.choice(pools).of(rng.choice(records))
        running.append(asyncio.create_task(run_statement(timers, pool)))
        await timers.sleep(rng.expovariate(STATEMENTS_PER_S * SERVICES))
    return await asyncio.gather(*running)


async def test_proxies_take_turns_while_old_connections_linger(timers, pools, records):
    served = await run_load(timers, pools, records, until=LINGER_S)
    assert sum(served) / len(served) >= MIN_SERVED


async def test_connections_are_kept_again_afterwards(timers, pools, records, primaries):
    await run_load(timers, pools, records, until=LINGER_S + 2.0)
    before = primaries.handshakes
    served = await run_load(timers, pools, records, until=LINGER_S + 12.0)
    assert all(served)
    # Each proxy opens one to each primary, and some a second one in a burst.
    assert primaries.handshakes - before <= 2 * PROXIES * SERVICES


async def test_a_rejected_second_connection_does_not_end_the_first(
    timers, pools, records, primaries
):
    pool = pools[0].of(records[0])
    assert await run_statement(timers, pool)
    primaries.open["service-0"] = MAX_CONNECTIONS
    await asyncio.gather(*(run_statement(timers, pool) for _ in range(20)))
    assert pool.open_connections == 1
