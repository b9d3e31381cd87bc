"""Work for instances that leave.

An instance says that it leaves, serves on for `DRAIN_S`, and may end at any moment after
that. Without these rules it is still given statements then, and they end with it.
"""

import asyncio
import dataclasses

import pytest
from prometheus_client import CollectorRegistry

from heatherpier._engine_times import LONG_POLL_S
from heatherpier.bench import SimulatedDeployment, ask
from heatherpier.discovery import DELIVERY_S, SENDING_S, InstanceRegistry
from heatherpier.discovery._registry import BACKUP_ENTRY_S, DELAY_MEMORY_S
from heatherpier.leases.tests.test_change_of_primary import write_until_served
from heatherpier.leases.tests.test_last_instance import lose_for_good
from heatherpier.platform._sockets import USER_TIMEOUT_MS
from heatherpier.statements import Code, Done

DRAIN_S = 7.0
# Longest time from the last check of an instance until a statement reaches it.
ON_ITS_WAY_S = DELIVERY_S + SENDING_S
# Time since its announcement for which an instance is used at least, if the list was up
# to date before.
USED_S = DRAIN_S - LONG_POLL_S - ON_ITS_WAY_S - 0.1
METRIC = "heatherpier_leaving_work_seconds"
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


@pytest.mark.parametrize(
    "texts", [("READ claim",), ("BEGIN READ", "READ claim", "COMMIT")], ids=len
)
async def test_work_that_is_long_on_its_way_reaches_a_leaving_replica_in_time(
    deployment, group, leaving, timers, texts
):
    # Guards against a statement that is sent in time by a process that hardly runs, or
    # is sent again by the kernel, and arrives when the instance may have ended.
    deployment.register(group.instances["claims-2"])
    await timers.sleep(0.5)
    announce(deployment, leaving)
    began = timers.now()
    await read_while_others_are_busy(
        deployment, group, timers, "claims-aged", *texts, seconds=DRAIN_S + 1.0
    )
    assert executed_after(leaving, began)
    assert not executed_after(leaving, began + DRAIN_S - ON_ITS_WAY_S)


def test_the_margin_covers_the_time_for_which_sent_data_may_be_on_its_way():
    # Guards against a socket option that is raised without the margin.
    assert USER_TIMEOUT_MS / 1000 <= DELIVERY_S


async def test_a_read_that_waits_at_a_leaving_replica_is_served_elsewhere(
    deployment, group, leaving, timers
):
    # Guards against a wait for a connection to an instance that gets nothing any more,
    # and against a refusal for want of one.
    await ask_for(deployment, timers, "claims-exact", "READ claim", seconds=0.1)
    announce(deployment, leaving)
    registry = deployment.engines["proxy-1"].context.registry
    await timers.sleep(0.1)
    await timers.sleep(registry.new_work_left_s(leaving.name) - 0.2)
    leaving.full = True
    for engine in deployment.engines.values():
        engine.context.pools.drop(leaving.name)
    occupy(group, "claims-0", "claims-2")
    session = deployment.open("claims-own", proxy="proxy-1")
    asking = asyncio.create_task(ask(session, "READ claim"))
    await timers.sleep(0.3)
    group.instances["claims-0"].busy = 0
    assert isinstance((await asking).outcome, Done)
    assert not deployment.engines["proxy-1"].context.health.in_backoff(leaving.name)


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


async def test_an_entry_of_a_backup_does_not_end_a_drain(leaving, timers):
    # Guards against work for an instance that has ended: the store came back with an
    # entry from before it left.
    registry = InstanceRegistry(timers=timers, drain_s=DRAIN_S)
    before = dataclasses.replace(leaving.record, sequence=0)
    listed = dataclasses.replace(before.instance, leaving=True)
    registry.put(dataclasses.replace(before, instance=listed))
    await timers.sleep(DRAIN_S)
    registry.remove(before.name, reason="test")
    registry.put(before, may_be_old=True)
    assert not registry.accepts_new_work(before.name)
    registry.put(dataclasses.replace(before, sequence=1))
    assert registry.accepts_new_work(before.name)


async def test_an_instance_that_stays_is_used_again_after_a_restore(leaving, timers):
    # Guards against a primary that is refused for good: its entry was written again just
    # after a restore, when it may have been one of the backup.
    registry = InstanceRegistry(timers=timers, drain_s=DRAIN_S)
    listed = dataclasses.replace(leaving.record.instance, leaving=True)
    registry.put(dataclasses.replace(leaving.record, instance=listed))
    await timers.sleep(DRAIN_S)
    registry.put(leaving.record, may_be_old=True)
    assert not registry.accepts_new_work(leaving.name)
    await timers.sleep(BACKUP_ENTRY_S + 0.1)
    registry.expire()
    assert registry.accepts_new_work(leaving.name)


async def test_an_instance_that_is_gone_gets_no_new_work(leaving, timers):
    registry = InstanceRegistry(timers=timers, drain_s=DRAIN_S)
    assert not registry.accepts_new_work(leaving.name)
    registry.put(leaving.record)
    assert registry.accepts_new_work(leaving.name)


@pytest.fixture
def metrics():
    return CollectorRegistry()


@pytest.fixture
async def registry(leaving, timers, metrics):
    """Returns a registry with one instance that has just said that it leaves."""
    registry = InstanceRegistry(timers=timers, drain_s=DRAIN_S, metrics=metrics)
    listed = dataclasses.replace(leaving.record.instance, leaving=True)
    registry.put(dataclasses.replace(leaving.record, instance=listed))
    return registry


async def test_a_process_that_runs_late_stops_earlier(registry, leaving, timers):
    # Guards against a busy machine on which each statement is sent late.
    left_s = registry.new_work_left_s(leaving.name)
    registry.note_delay(SENDING_S)
    assert registry.new_work_left_s(leaving.name) == left_s
    registry.note_delay(SENDING_S + 1.2)
    registry.note_delay(0.0)
    assert registry.new_work_left_s(leaving.name) == pytest.approx(left_s - 1.2)
    await timers.sleep(DELAY_MEMORY_S + 1.0)
    later_s = registry.new_work_left_s(leaving.name)
    assert later_s == pytest.approx(left_s - DELAY_MEMORY_S - 1.0)


async def test_the_metric_shows_how_late_an_instance_got_new_work(
    registry, leaving, timers, metrics
):
    await timers.sleep(3.5)
    registry.note_new_work(leaving.name)
    registry.note_new_work("claims-2")
    assert metrics.get_sample_value(f"{METRIC}_count") == 1
    assert metrics.get_sample_value(f"{METRIC}_bucket", {"le": "3.0"}) == 0
    assert metrics.get_sample_value(f"{METRIC}_bucket", {"le": "4.0"}) == 1


@pytest.mark.parametrize(
    ("drain_s", "used_s"), [(7.0, 4.0), (1.0, 0.5), (float("inf"), 30.0)]
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
