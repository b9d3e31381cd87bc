"""Proxies that start again while the store does not answer them."""

import asyncio

import pytest

from heatherpier.bench import _line_group, ask
from heatherpier.leases import Lease, NoLease
from heatherpier.leases._grants import GRANT_MAX_STALENESS_S, GRANT_S
from heatherpier.leases._releases import RELEASE_MARGIN_S
from heatherpier.leases._watcher import MINORITY_S
from heatherpier.statements import Done

SEEDS = ("proxy-2", "proxy-3")


@pytest.fixture
def group(world):
    return world.groups["claims"]


async def restart(world, name):
    await world.kill(name)
    await world.timers.sleep(0.3)
    return await world.start(name, seeds=tuple({*world.names} - {name}))


def lease(world, name):
    return world.engines[name].context.leases.lease("claims")


async def write(world, name):
    return await ask(world.open("claims-exact", proxy=name), "WRITE claim")


async def press(world, name, acknowledged, until):
    """Writes through one proxy; notes when each write was answered, and its term."""
    while world.timers.now() < until:
        engine = world.engines.get(name)
        if engine is not None and engine.can_serve():
            reply = await write(world, name)
            if isinstance(reply.outcome, Done):
                acknowledged.append((world.timers.now(), reply.position.term))
        await world.timers.sleep(0.05)


async def test_tables_come_from_seeds_while_the_store_is_down(world, timers):
    version = world.engines["proxy-1"].context.routes.table.version
    world.store.faults.silent |= set(world.names)
    await timers.sleep(1.0)
    engine = await restart(world, "proxy-0")
    await timers.sleep(1.0)
    assert engine.context.routes.table.version == version


async def test_proxies_started_during_an_outage_are_supported_by_the_others(
    world, timers
):
    world.store.faults.silent |= set(world.names)
    await timers.sleep(1.0)
    await restart(world, "proxy-0")
    await timers.sleep(4.0)
    assert isinstance(lease(world, "proxy-0"), Lease)
    assert isinstance((await write(world, "proxy-0")).outcome, Done)


async def test_an_ended_process_is_not_counted_as_one_that_released(
    world, group, timers, monkeypatch
):
    # proxy-1 has the store and replaces a primary that it alone does not reach. The
    # next incarnation of proxy-0 learns nothing of that: its peers are cut off with it.
    monkeypatch.setattr(_line_group, "NOTICE_S", 60.0)
    for name in world.names:
        assert isinstance((await write(world, name)).outcome, Done)
    acknowledged = []
    until = timers.now() + 3 * MINORITY_S
    pressing = [
        asyncio.create_task(press(world, name, acknowledged, until))
        for name in world.names
    ]
    group.instances["claims-0"].cut_from.add("proxy-1")
    await timers.sleep(MINORITY_S - 1.0)
    world.store.faults.silent |= {"proxy-0", "proxy-2", "proxy-3"}
    world.fleet.cut("central", "north")
    world.fleet.cut("central", "south")
    await timers.sleep(0.5)
    await world.kill("proxy-0")
    while world.store.row("fleet", "leader/claims") is None:
        await timers.sleep(0.05)
    # proxy-1 has asked for a release, and learnt that the process has ended.
    await timers.sleep(GRANT_S + RELEASE_MARGIN_S + 0.1)
    await world.start("proxy-0", seeds=SEEDS)
    await asyncio.gather(*pressing)
    terms = [term for _, term in sorted(acknowledged)]
    assert terms == sorted(terms)
    assert terms[-1] > 1


async def test_a_next_life_does_not_support_what_the_one_before_released(world, timers):
    # proxy-0 released a primary, ended, and hears of the time before by proxy-3 only.
    await timers.sleep(1.0)
    world.store.faults.silent |= set(world.names)
    await restart(world, "proxy-0")
    await timers.sleep(2.0)
    engine = world.engines["proxy-0"]
    assert engine.view.copy.age_s() < GRANT_MAX_STALENESS_S
    assert engine._grants.give() == 0.0
    world.store.faults.silent.clear()
    await timers.sleep(2.0)
    assert engine._grants.give() > 0.0


async def test_a_next_life_keeps_the_promises_of_the_one_before(world, timers):
    # proxy-0 may have promised something right before its end.
    began = timers.now()
    engine = await restart(world, "proxy-0")
    await timers.sleep(0.1)
    await engine._releases.release_here("claims", drain_s=0.0)
    assert timers.now() - began >= GRANT_S


async def test_a_next_life_does_not_rely_on_a_view_from_before_its_start(world, timers):
    # Whoever replaced the primary meanwhile has not waited for a process that ended.
    world.store.faults.silent |= set(world.names)
    for name in ("proxy-1", "proxy-2"):
        await world.power_off(name)
    await restart(world, "proxy-0")
    # Its first try to register has to end before it sees its earlier row.
    await timers.sleep(1.6)
    assert isinstance(lease(world, "proxy-3"), Lease)
    assert isinstance(lease(world, "proxy-0"), NoLease)
