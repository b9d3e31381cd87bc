import pytest

from heatherpier.bench import SimulatedDeployment
from heatherpier.forwarding.tests._clubs import Clubs

CONNECTIONS = 12
PROXIES = 24


@pytest.fixture
async def crowd(timers):
    """Returns a deployment of 24 proxies before instances that accept 12 connections."""
    async with SimulatedDeployment(
        timers=timers, proxies=PROXIES, connections=CONNECTIONS
    ) as running:
        for instance in running.groups["claims"].instances.values():
            instance.accepts = CONNECTIONS
        await timers.sleep(3.0)
        yield running


@pytest.fixture
async def clubs(timers):
    """Returns a deployment with organisations, and two homes for each instance."""
    async with Clubs(timers=timers, proxies=7, connections=20) as running:
        yield running
