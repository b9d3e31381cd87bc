"""Fixtures for tests of database groups."""

import pytest

from heatherpier.bench import start_failover_cluster

WARM_UP_S = 2.0


@pytest.fixture
async def start_cluster(timers):
    """Returns a function that starts a watched group and callers that write to it."""
    started = []

    async def start(**options):
        cluster = await start_failover_cluster(timers, **options)
        started.append(cluster)
        await timers.sleep(WARM_UP_S)
        return cluster

    yield start
    for cluster in started:
        await cluster.close()


@pytest.fixture
async def cluster(start_cluster):
    """Returns a group watched by four proxies, with callers that write to it."""
    return await start_cluster()
