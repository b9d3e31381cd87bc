"""Restarts of proxies, most of them while the store does not answer."""

import asyncio

import pytest

from heatherpier.bench import _simulated_group, ask
from heatherpier.leases import Lease, NoLease
from heatherpier.leases._grants import GRANT_MAX_STALENESS_S, GRANT_S
from heatherpier.leases._releases import RELEASE_MARGIN_S
from heatherpier.leases._watcher import MINORITY_WAIT_S
from heatherpier.statements import Done

SEEDS = ("proxy-2", "proxy-3")


@pytest.fixture
def group(deployment):
    return deployment.groups["claims"]


async def restart(deployment, name):
    await deployment.kill(name)
    await deployment.timers.sleep(0.3)
    return await deployment.start(name, seeds=tuple({*deployment.names} - {name}))


def lease(deployment, name):
    return deployment.engines[name].context.leases.lease("claims")


async def write(deployment, name):
    return await ask(deployment.open("claims-exact", proxy=name), "WRITE claim")


async def write_until(deployment, name, acknowledged, until):
    """Writes through one proxy; records the time and term of acknowledged writes."""
    while deployment.timers.now() < until:
        engine = deployment.engines.get(name)
        if engine is not None and engine.can_serve():
            reply = await write(deployment, name)
            if isinstance(reply.outcome, Done):
                acknowledged.append((deployment.timers.now(), reply.position.term))
        await deployment.timers.sleep(0.05)


async def test_a_restarted_proxy_reads_tables_from_seeds_during_an_outage(
    deployment, timers
):
    version = deployment.engines["proxy-1"].context.routes.table.version
    deployment.store.faults.unresponsive_to |= set(deployment.names)
    await timers.sleep(1.0)
    engine = await restart(deployment, "proxy-0")
    await timers.sleep(1.0)
    assert engine.context.routes.table.version == version


async def test_a_proxy_restarted_during_an_outage_gets_grants_from_the_others(
    deployment, timers
):
    deployment.store.faults.unresponsive_to |= set(deployment.names)
    await timers.sleep(1.0)
    await restart(deployment, "proxy-0")
    await timers.sleep(4.0)
    assert isinstance(lease(deployment, "proxy-0"), Lease)
    assert isinstance((await write(deployment, "proxy-0")).outcome, Done)


async def test_an_ended_process_does_not_count_as_a_release(
    deployment, group, timers, monkeypatch
):
    # proxy-1 has the store and replaces a primary that it alone cannot reach. The later
    # incarnation of proxy-0 does not learn of the change, as it and its peers are cut
    # off. If the ended process counted as a release, the later one could give a grant
    # for the old primary, and two primaries would acknowledge writes.
    monkeypatch.setattr(_simulated_group, "OLD_PRIMARY_POLL_S", 60.0)
    for name in deployment.names:
        assert isinstance((await write(deployment, name)).outcome, Done)
    acknowledged = []
    until = timers.now() + 3 * MINORITY_WAIT_S
    writing = [
        asyncio.create_task(write_until(deployment, name, acknowledged, until))
        for name in deployment.names
    ]
    group.instances["claims-0"].cut_from.add("proxy-1")
    await timers.sleep(MINORITY_WAIT_S - 1.0)
    deployment.store.faults.unresponsive_to |= {"proxy-0", "proxy-2", "proxy-3"}
    deployment.fleet.cut("central", "north")
    deployment.fleet.cut("central", "south")
    await timers.sleep(0.5)
    await deployment.kill("proxy-0")
    while deployment.store.row("fleet", "leader/claims") is None:
        await timers.sleep(0.05)
    # By now proxy-1 has requested a release, and found that the process has ended.
    await timers.sleep(GRANT_S + RELEASE_MARGIN_S + 0.1)
    await deployment.start("proxy-0", seeds=SEEDS)
    await asyncio.gather(*writing)
    terms = [term for _, term in sorted(acknowledged)]
    assert terms == sorted(terms)
    assert terms[-1] > 1


async def test_a_later_incarnation_gives_no_grant_from_an_older_view(
    deployment, timers
):
    # An earlier incarnation of proxy-0 may have released a primary. During an outage,
    # the later one gets from its peers only a view from before its own start, in which
    # that change may be missing.
    await timers.sleep(1.0)
    deployment.store.faults.unresponsive_to |= set(deployment.names)
    await restart(deployment, "proxy-0")
    await timers.sleep(2.0)
    engine = deployment.engines["proxy-0"]
    assert engine.view.copy.age_s() < GRANT_MAX_STALENESS_S
    assert engine._grants.give() == 0.0
    deployment.store.faults.unresponsive_to.clear()
    await timers.sleep(2.0)
    assert engine._grants.give() > 0.0


async def test_a_later_incarnation_keeps_earlier_grants(deployment, timers):
    # The earlier incarnation may have given a grant right before it ended, so the later
    # one may not release the primary before `GRANT_S` has passed.
    began = timers.now()
    engine = await restart(deployment, "proxy-0")
    await timers.sleep(0.1)
    await engine._releases.release_here("claims", drain_s=0.0)
    assert timers.now() - began >= GRANT_S


async def test_a_later_incarnation_gets_no_lease_from_an_older_view(deployment, timers):
    # A change of primary in the meantime would not have waited for the ended process,
    # and a view from before the start may not show it.
    deployment.store.faults.unresponsive_to |= set(deployment.names)
    for name in ("proxy-1", "proxy-2"):
        await deployment.power_off(name)
    await restart(deployment, "proxy-0")
    # proxy-0 sees its earlier row only after its first attempt to register has ended.
    await timers.sleep(1.6)
    assert isinstance(lease(deployment, "proxy-3"), Lease)
    assert isinstance(lease(deployment, "proxy-0"), NoLease)
