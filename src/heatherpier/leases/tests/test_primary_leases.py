"""Leases on primaries while the store, peers or a proxy itself are unreachable."""

import pytest

from heatherpier.bench import ask
from heatherpier.leases import LEASE_S, Lease, NoLease
from heatherpier.leases._grants import (
    GRANT_MAX_STALENESS_S,
    GRANT_S,
    grant_quorum,
    release_quorum,
)
from heatherpier.statements import Code, Done


def lease(deployment, name="proxy-0"):
    return deployment.engines[name].context.leases.lease("claims")


@pytest.mark.parametrize("voters", range(1, 40))
def test_a_grant_quorum_and_a_release_quorum_have_a_voter_in_common(voters):
    assert grant_quorum(voters) + release_quorum(voters) > voters


async def test_a_registered_proxy_has_a_lease_on_the_primary(deployment):
    assert lease(deployment) == Lease(service="claims", instance="claims-0", version=0)


async def test_the_lease_of_an_isolated_proxy_expires(deployment, timers):
    deployment.isolate("proxy-0")
    await timers.sleep(LEASE_S + 0.1)
    assert isinstance(lease(deployment), NoLease)


async def test_grants_keep_the_lease_of_a_proxy_that_the_store_rejects(
    deployment, timers
):
    deployment.store.faults.refused.add("proxy-0")
    await timers.sleep(4 * LEASE_S)
    assert isinstance(lease(deployment), Lease)


async def test_a_configuration_reaches_a_proxy_that_the_store_rejects(
    deployment, timers
):
    deployment.store.faults.refused.add("proxy-0")
    await timers.sleep(1.0)
    version = deployment.configure(deployment.routes())
    await timers.sleep(3.0)
    assert deployment.engines["proxy-0"].context.routes.table.version == version


async def test_grants_keep_all_leases_while_the_store_is_down(deployment, timers):
    deployment.store.faults.unresponsive_to |= set(deployment.names)
    await timers.sleep(GRANT_MAX_STALENESS_S - 1.5)
    assert all(isinstance(lease(deployment, name), Lease) for name in deployment.names)
    reply = await ask(deployment.open("claims-exact"), "WRITE claim")
    assert isinstance(reply.outcome, Done)


async def test_grants_expire_before_a_change_without_releases_goes_on(
    deployment, timers
):
    deployment.store.faults.unresponsive_to |= set(deployment.names)
    await timers.sleep(GRANT_MAX_STALENESS_S + GRANT_S + 0.5)
    assert all(
        isinstance(lease(deployment, name), NoLease) for name in deployment.names
    )


async def test_half_of_the_voters_are_no_grant_quorum(deployment, timers):
    deployment.store.faults.unresponsive_to |= set(deployment.names)
    deployment.fleet.stop("proxy-2")
    deployment.fleet.stop("proxy-3")
    await timers.sleep(LEASE_S + GRANT_S + 0.5)
    assert isinstance(lease(deployment), NoLease)


async def test_a_proxy_that_starts_while_the_store_is_down_has_no_lease(
    deployment, timers
):
    await deployment.kill("proxy-0")
    deployment.store.faults.unresponsive_to |= set(deployment.names)
    await deployment.start("proxy-0")
    await timers.sleep(2.0)
    assert isinstance(lease(deployment), NoLease)


async def test_without_a_lease_a_write_is_rejected_at_once_and_not_run(
    deployment, timers
):
    deployment.isolate("proxy-0", instances=False)
    await timers.sleep(LEASE_S + 1.0)
    began = timers.now()
    reply = await ask(deployment.open("claims-exact"), "WRITE claim")
    assert reply.outcome.code is Code.OVERLOADED
    assert reply.outcome.retry_after_ms > 0
    assert timers.now() - began < 0.2
    assert deployment.groups["claims"].instances["claims-0"].executed == []


async def test_a_lost_member_is_removed_and_registers_again(deployment, timers):
    deployment.isolate("proxy-3")
    await timers.sleep(4.0)
    assert "proxy-3" not in deployment.engines["proxy-0"].view.members
    deployment.rejoin("proxy-3")
    await timers.sleep(3.0)
    assert "proxy-3" in deployment.engines["proxy-0"].view.members
    assert isinstance(lease(deployment, "proxy-3"), Lease)
