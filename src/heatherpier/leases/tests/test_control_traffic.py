"""Load pattern: control traffic between many proxies when much changes at once.

A configuration grows by many routes, proxies lose the store meanwhile, or all processes
start in the same moment. The bytes between proxies must not grow with the square of the
fleet, and each proxy stays within the users' target for control.
"""

import asyncio

import pytest

from heatherpier.bench import SimulatedDeployment
from heatherpier.leases import Lease
from heatherpier.leases._deflation import (
    MAX_INFLATED_BYTES,
    DeflateError,
    deflate,
    inflate,
)
from heatherpier.leases._view import MAX_VOTERS

PROXIES = 30
# The users' target for the control traffic of a proxy.
CONTROL_BYTES_PER_S = 16_384
# Time in which a change reaches every proxy, and over which the target is averaged.
SPREAD_S = 6.0
# Time in which all VMs of a deployment start.
START_SPREAD_S = 0.3
# A read of each of three tables, the registration, and a second look at each table
# before a voter serves the proxy.
START_CALLS = 7
# Watches of the voters, two a second each, over the whole test.
STEADY_CALLS = MAX_VOTERS * 2 * 8
# A configuration of 1,400 routes, as JSON with names that differ.
ROUTES = "".join(
    f'{{"host":"db{number * 7919 % 100003}","service":"svc{number % 10}",'
    f'"kind":"read_own_writes","maxStalenessMs":2500,"timeoutMs":{800 + number % 50}}},'
    for number in range(1400)
)


@pytest.fixture
async def deployment(timers):
    async with SimulatedDeployment(
        timers=timers, proxies=PROXIES, connections=90
    ) as running:
        await timers.sleep(6.0)
        yield running


def versions(deployment):
    return {
        engine.context.routes.table.version for engine in deployment.engines.values()
    }


def spread_limit():
    return PROXIES * CONTROL_BYTES_PER_S * SPREAD_S


async def test_a_large_configuration_stays_within_the_target(deployment, timers):
    before = deployment.fleet.byte_count
    version = deployment.configure(deployment.routes(), padding=ROUTES)
    await timers.sleep(SPREAD_S)
    assert versions(deployment) == {version}
    assert deployment.fleet.byte_count - before <= spread_limit()


async def test_a_large_configuration_in_an_outage_stays_within_the_target(
    deployment, timers
):
    # Most proxies lose the store in the moment of the change, and have to get it from
    # the few that still reach the store.
    rejected = set(deployment.names[MAX_VOTERS // 2 :])
    deployment.store.faults.unresponsive_to |= rejected
    before = deployment.fleet.byte_count
    version = deployment.configure(deployment.routes(), padding=ROUTES)
    await timers.sleep(SPREAD_S)
    assert versions(deployment) == {version}
    assert deployment.fleet.byte_count - before <= spread_limit()


async def test_a_start_of_all_proxies_asks_the_store_not_the_peers(deployment, timers):
    version = deployment.configure(deployment.routes(), padding=ROUTES)
    await timers.sleep(SPREAD_S)
    for name in list(deployment.engines):
        await deployment.kill(name)
    before = deployment.fleet.byte_count
    seeds = tuple(deployment.names[:3])
    await asyncio.gather(
        *(
            deployment.start(name, seeds=tuple(set(seeds) - {name}))
            for name in deployment.names
        )
    )
    await timers.sleep(1.0)
    assert versions(deployment) == {version}
    assert deployment.fleet.byte_count - before <= PROXIES * CONTROL_BYTES_PER_S


async def test_calls_to_the_store_at_a_start_do_not_grow_with_the_square(timers):
    # Each registration changes the table that all proxies follow.
    async with SimulatedDeployment(
        timers=timers, proxies=1, connections=90
    ) as deployment:
        for number in range(1, PROXIES):
            deployment.names.append(f"proxy-{number}")
            await deployment.start(f"proxy-{number}")
            await timers.sleep(START_SPREAD_S / PROXIES)
        await timers.sleep(SPREAD_S)
        assert deployment.store.calls <= PROXIES * START_CALLS + STEADY_CALLS


def test_content_that_is_no_deflated_row_is_an_error():
    with pytest.raises(DeflateError):
        inflate(b"x")


def test_a_deflated_row_that_is_too_large_is_an_error():
    with pytest.raises(DeflateError, match="longer"):
        inflate(deflate(bytes(MAX_INFLATED_BYTES + 1)))


async def test_a_started_proxy_has_a_lease_after_its_first_read(deployment, timers):
    # The first read waits for the registration, so no second look is needed.
    deployment.names.append("proxy-new")
    engine = await deployment.start("proxy-new")
    await timers.sleep(0.1)
    assert isinstance(engine.context.leases.lease("claims"), Lease)
