"""Work for instances that leave.

An instance says that it leaves, serves on for `DRAIN_S`, and may end at any moment after
that. Without these rules it is still given statements then, and they end with it.
"""

import asyncio
import dataclasses

import pytest

from heatherpier._engine_times import LONG_POLL_S
from heatherpier.bench import SimulatedDeployment, ask
from heatherpier.discovery import InstanceRegistry
from heatherpier.leases.tests.test_change_of_primary import write_until_served
from heatherpier.leases.tests.test_last_instance import lose_for_good
from heatherpier.statements import Code, Done

DRAIN_S = 7.0
# Time since its announcement for which an instance is used at least, if the list was up
# to date before.
USED_S = DRAIN_S - LONG_POLL_S - 1.1
PERIOD_S = 0.02


@pytest.fixture
async def deployment(timers):
    async with SimulatedDeployment(timers=timers, drain_s=DRAIN_S) as running:
        await timers.sleep(1.0)
        yield running


@pytest.fixture
def group(deployment):
    return deployment.groups["claims"]


@pytest.fixture
def primary(group):
    return group.instances["claims-0"]


@pytest.fixture
def leaving(group):
    return group.instances["claims-1"]


def announce(deployment, instance, *, leaves=True):
    """Writes the entry of an instance that leaves, or that no longer does."""
    listed = dataclasses.replace(instance.record.instance, leaving=leaves)
    instance.record = dataclasses.replace(instance.record, instance=listed)
    deployment.register(instance)


def occupy(group, *names):
    """Has instances reject statements for want of a slot."""
    for name in names:
        group.instances[name].busy = 10_000


def executed_after(instance, at):
    return [item for item in instance.executed if item.at > at]


async def ask_for(deployment, timers, database, *texts, seconds):
    """Runs statements again and again through each proxy; returns the last replies."""
    replies = []

    async def run(name):
        until = timers.now() + seconds
        while timers.now() < until:
            session = deployment.open(database, proxy=name)
            replies.append([await ask(session, text) for text in texts][-1])
            await timers.sleep(PERIOD_S)

    await asyncio.gather(*(run(name) for name in list(deployment.engines)))
    return replies


async def read_while_others_are_busy(
    deployment, group, timers, database, *texts, seconds
):
    """Reads for a time in which only instances that leave have a slot most of the time.

    The primary serves now and then, so that replicas may serve reads of some age.
    """
    occupy(group, "claims-2")
    until = timers.now() + seconds

    async def alternate():
        while timers.now() < until:
            occupy(group, "claims-0")
            await timers.sleep(0.6)
            group.instances["claims-0"].busy = 0
            await ask(deployment.open("claims-exact"), "READ claim")
            await timers.sleep(0.05)

    await asyncio.gather(
        alternate(),
        ask_for(deployment, timers, database, *texts, seconds=seconds),
    )


@pytest.mark.parametrize(
    "texts", [("READ claim",), ("BEGIN READ", "READ claim", "COMMIT")], ids=len
)
@pytest.mark.parametrize("database", ["claims-aged", "claims-own"])
async def test_a_leaving_replica_gets_no_read_after_its_drain(
    deployment, group, leaving, timers, database, texts
):
    # The case of the review: the others are busy, so reads go on to the one that leaves.
    announce(deployment, leaving)
    began = timers.now()
    await read_while_others_are_busy(
        deployment, group, timers, database, *texts, seconds=DRAIN_S + 3.0
    )
    assert executed_after(leaving, began)
    assert not executed_after(leaving, began + DRAIN_S)


async def test_a_leaving_replica_is_still_used_before(
    deployment, group, leaving, timers
):
    await ask_for(deployment, timers, "claims-exact", "READ claim", seconds=0.1)
    announce(deployment, leaving)
    began = timers.now()
    await timers.sleep(USED_S - 1.0)
    await ask_for(deployment, timers, "claims-exact", "READ claim", seconds=0.1)
    occupy(group, "claims-0", "claims-2")
    await ask_for(deployment, timers, "claims-aged", "READ claim", seconds=0.4)
    assert executed_after(leaving, began)


async def test_a_read_is_served_elsewhere_once_an_instance_is_not_used_any_more(
    deployment, group, leaving, timers
):
    # Guards against a refusal while another instance can serve.
    announce(deployment, leaving)
    await timers.sleep(DRAIN_S)
    replies = await ask_for(
        deployment, timers, "claims-aged", "READ claim", seconds=2.0
    )
    assert all(isinstance(reply.outcome, Done) for reply in replies)


@pytest.mark.parametrize(
    "texts", [("WRITE claim",), ("READ claim",), ("BEGIN", "WRITE claim")]
)
async def test_a_leaving_primary_without_a_successor_gets_no_new_work(
    deployment, group, primary, timers, texts
):
    lose_for_good(deployment, *list(group.instances.values())[1:])
    await timers.sleep(4.0)
    announce(deployment, primary)
    began = timers.now()
    await ask_for(deployment, timers, "claims-exact", *texts, seconds=DRAIN_S + 1.0)
    replies = await ask_for(deployment, timers, "claims-exact", *texts, seconds=2.0)
    assert not executed_after(primary, began + DRAIN_S)
    assert executed_after(primary, began)
    assert all(reply.outcome.code is Code.OVERLOADED for reply in replies[-4:])
    assert all(reply.outcome.retry_after_ms for reply in replies[-4:])


async def test_such_a_refusal_comes_at_once(deployment, group, primary, timers):
    lose_for_good(deployment, *list(group.instances.values())[1:])
    await timers.sleep(4.0)
    announce(deployment, primary)
    await timers.sleep(DRAIN_S)
    began = timers.now()
    reply = await ask(deployment.open("claims-exact"), "WRITE claim")
    assert reply.outcome.code is Code.OVERLOADED
    assert timers.now() - began < 0.15


async def test_a_successor_that_registers_late_takes_the_place_of_a_leaving_primary(
    deployment, group, primary, timers
):
    # Guards against a service that is refused for good once its primary is not used.
    lose_for_good(deployment, *list(group.instances.values())[1:])
    await timers.sleep(4.0)
    announce(deployment, primary)
    await timers.sleep(DRAIN_S)
    successor = group.instances["claims-1"]
    successor.running = True
    deployment.register(successor)
    await write_until_served(deployment, timers)
    assert group.primary() is successor


async def test_an_open_transaction_on_a_leaving_replica_goes_on(
    deployment, group, leaving, timers
):
    await ask_for(deployment, timers, "claims-exact", "READ claim", seconds=0.1)
    occupy(group, "claims-0", "claims-2")
    announce(deployment, leaving)
    session = deployment.open("claims-aged")
    await ask(session, "BEGIN READ")
    began = timers.now()
    while timers.now() < began + DRAIN_S:
        assert isinstance((await ask(session, "READ claim")).outcome, Done)
        await timers.sleep(0.5)
    assert isinstance((await ask(session, "COMMIT")).outcome, Done)
    assert len({item.connection for item in leaving.executed}) == 1


async def test_a_proxy_that_starts_later_gives_a_leaving_instance_no_work(
    deployment, group, leaving, timers
):
    # It does not know for how long the instance has been leaving.
    announce(deployment, leaving)
    await timers.sleep(5.0)
    await deployment.kill("proxy-0")
    await deployment.start("proxy-0")
    await timers.sleep(1.0)
    began = timers.now()
    await ask(deployment.open("claims-exact"), "READ claim")
    occupy(group, "claims-0", "claims-2")
    session = deployment.open("claims-aged")
    for _ in range(20):
        await ask(session, "READ claim")
        await timers.sleep(0.1)
    assert not executed_after(leaving, began)


async def test_the_time_while_a_proxy_was_cut_off_from_the_store_counts(
    deployment, group, leaving, timers
):
    # Guards against a drain that begins when the proxy hears of it.
    names = set(deployment.names)
    deployment.store.faults.unresponsive_to |= names
    await timers.sleep(0.5)
    announce(deployment, leaving)
    began = timers.now()
    await timers.sleep(3.0)
    deployment.store.faults.unresponsive_to -= names
    await read_while_others_are_busy(
        deployment, group, timers, "claims-aged", "READ claim", seconds=DRAIN_S
    )
    assert not executed_after(leaving, began + DRAIN_S)


async def test_an_instance_that_does_not_leave_after_all_is_used_again(
    deployment, group, leaving, timers
):
    announce(deployment, leaving)
    await timers.sleep(DRAIN_S)
    announce(deployment, leaving, leaves=False)
    await timers.sleep(0.5)
    began = timers.now()
    await ask_for(deployment, timers, "claims-exact", "READ claim", seconds=0.1)
    occupy(group, "claims-0", "claims-2")
    await ask_for(deployment, timers, "claims-aged", "READ claim", seconds=0.4)
    assert executed_after(leaving, began)


async def test_an_entry_that_comes_back_does_not_begin_a_drain_anew(leaving, timers):
    registry = InstanceRegistry(timers=timers, drain_s=DRAIN_S)
    record = dataclasses.replace(
        leaving.record,
        instance=dataclasses.replace(leaving.record.instance, leaving=True),
    )
    registry.put(record)
    await timers.sleep(4.0)
    assert registry.accepts_new_work(record.name)
    registry.remove(record.name, reason="test")
    registry.put(record)
    await timers.sleep(2.5)
    assert not registry.accepts_new_work(record.name)
    restarted = dataclasses.replace(record, started_ms=record.started_ms + 1)
    registry.put(restarted)
    assert registry.accepts_new_work(record.name)


@pytest.mark.parametrize(
    ("drain_s", "used_s"), [(7.0, 6.0), (1.0, 0.5), (float("inf"), 30.0)]
)
async def test_the_drain_is_that_of_the_settings(leaving, timers, drain_s, used_s):
    registry = InstanceRegistry(timers=timers, drain_s=drain_s)
    registry.put(
        dataclasses.replace(
            leaving.record,
            instance=dataclasses.replace(leaving.record.instance, leaving=True),
        )
    )
    await timers.sleep(used_s - 0.1)
    assert registry.accepts_new_work(leaving.name)
    if drain_s < float("inf"):
        await timers.sleep(0.2)
        assert not registry.accepts_new_work(leaving.name)
