"""Entries of instances that can't be read, or that state odd numbers."""

import asyncio
import dataclasses

import pytest
from prometheus_client import CollectorRegistry

from heatherpier._engine_ports import UnreadableRowError
from heatherpier._instance_list import REWRITE_S, InstanceList
from heatherpier.bench import ask
from heatherpier.discovery import MISSING_GRACE_S, InstanceRecord, InstanceRegistry
from heatherpier.statements import Done
from heatherpier.tables import Changes, Row, TableCopy, make_version
from heatherpier.upstreams import Instance

# An entry that only a recursive decoder fails on, with an error that it doesn't name.
UNEXPECTED = b"unexpected"
UNREADABLE = b"unreadable"
METRIC = "heatherpier_unreadable_instances"


def read(name, body):
    if body == UNEXPECTED:
        raise RecursionError(name)
    if body == UNREADABLE:
        raise UnreadableRowError(name)
    instance = Instance(name=name, host="10.0.0.1", port=5000, data_centre="north")
    return InstanceRecord(
        instance=instance,
        service="claims",
        claims_primary=False,
        started_ms=7,
        sequence=int(body),
    )


@pytest.fixture
async def registry(timers):
    return InstanceRegistry(timers=timers)


@pytest.fixture
def metrics():
    return CollectorRegistry()


@pytest.fixture
async def copy(timers, registry, metrics):
    copy = TableCopy("instances", timers=timers)
    InstanceList(
        copy,
        registry=registry,
        read=read,
        max_age_s=5.0,
        metrics=metrics,
        timers=timers,
    )
    return copy


def put(copy, timers, version, **bodies):
    rows = tuple(
        Row(key=name, version=version + number, body=body)
        for number, (name, body) in enumerate(bodies.items())
    )
    copy.apply(Changes(rows=rows, version=rows[-1].version, as_of=timers.elapsed()))


@pytest.mark.parametrize("odd", [UNEXPECTED, UNREADABLE])
async def test_one_odd_entry_does_not_hold_up_the_others(
    copy, timers, registry, metrics, odd
):
    put(copy, timers, 1, a=b"1", odd=odd, b=b"1")
    assert {item.name for item in registry.all()} == {"a", "b"}
    assert metrics.get_sample_value(METRIC) == 1
    put(copy, timers, 9, odd=odd, a=b"2")
    assert registry.get("a").sequence == 2
    put(copy, timers, 19, odd=b"1")
    assert registry.get("odd") is not None
    assert metrics.get_sample_value(METRIC) == 0


async def test_an_odd_entry_of_a_known_instance_counts_as_missing(
    copy, timers, registry
):
    put(copy, timers, 1, a=b"1")
    put(copy, timers, 2, a=UNEXPECTED)
    assert registry.is_missing("a")
    put(copy, timers, 3, a=b"2")
    assert not registry.is_missing("a")


async def test_an_odd_sequence_does_not_hide_later_entries(copy, timers, registry):
    # Guards against one writer's large number that makes all true entries seem older.
    put(copy, timers, 1, a=b"%d" % 2**62)
    put(copy, timers, 2, a=b"4")
    assert registry.get("a").sequence == 4


async def test_an_entry_of_a_backup_does_not_replace_a_newer_one_for_some_seconds(
    copy, timers, registry
):
    put(copy, timers, 1, a=b"4")
    restored = make_version(1, 1)
    rows = (Row(key="a", version=restored, body=b"3"),)
    copy.replace(Changes(rows=rows, version=restored, as_of=timers.elapsed()))
    assert registry.get("a").sequence == 4
    await timers.sleep(REWRITE_S)
    put(copy, timers, make_version(1, 2), a=b"3")
    assert registry.get("a").sequence == 3


async def test_proxies_follow_the_others_beside_an_odd_entry(deployment, timers):
    # The stand-in's decoder raises KeyError for a body that it doesn't know.
    group = deployment.groups["claims"]
    deployment.store.write("instances", "odd", b"odd")
    moved = group.instances["claims-2"]
    instance = dataclasses.replace(moved.record.instance, leaving=True)
    moved.record = dataclasses.replace(moved.record, instance=instance)
    deployment.register(moved)
    await timers.sleep(MISSING_GRACE_S)
    for name, engine in deployment.engines.items():
        assert engine.context.registry.get("claims-2").instance.leaving
        reply = await ask(deployment.open("claims-exact", proxy=name), "READ a")
        assert isinstance(reply.outcome, Done)


async def test_the_list_shows_how_late_the_process_runs(
    registry, metrics, timers, monkeypatch
):
    # Guards against a margin for instances that leave which a busy machine uses up.
    paused_s = 0.0
    monkeypatch.setattr(timers, "elapsed", lambda: timers.now() + paused_s)
    copy = TableCopy("instances", timers=timers)
    instances = InstanceList(
        copy,
        registry=registry,
        read=read,
        max_age_s=5.0,
        metrics=metrics,
        timers=timers,
    )
    delays = []
    monkeypatch.setattr(registry, "note_delay", delays.append)
    task = asyncio.create_task(instances.expire())
    await timers.sleep(1.1)
    assert max(delays) < 0.01
    paused_s = 1.5
    await timers.sleep(1.0)
    task.cancel()
    assert max(delays) == pytest.approx(1.5)
    assert delays[-1] < 0.01
