"""Tests the replacement of the active document while its groups are in use."""

import pytest

from heatherpier._registry import RETIRE_GRACE_S, ServiceRegistry
from heatherpier.bench import MemoryNetwork
from heatherpier.configuration.tests.conftest import make_document
from heatherpier.limits import Admission


@pytest.fixture
def started():
    return []


@pytest.fixture
async def registry(timers, started):
    service_registry = ServiceRegistry(
        connector=MemoryNetwork(timers=timers).connector("proxy-1"),
        timers=timers,
        admission=Admission(timers=timers),
        proxies=4,
        start=started.append,
    )
    await service_registry.apply(make_document("assist", "claims"), 1)
    yield service_registry
    service_registry.close()


async def test_each_group_is_started_once(registry, started):
    assert [group.spec.name for group in started] == ["assist-1", "claims-1"]


async def test_unchanged_group_is_kept(registry):
    before = registry.groups_of("assist")["assist_1"]
    await registry.apply(make_document("assist"), 2)
    assert registry.groups_of("assist")["assist_1"] is before


async def test_removed_service_has_no_groups(registry):
    claims = registry.groups_of("claims")
    await registry.apply(make_document("assist"), 2)
    assert claims == {}


async def test_open_session_sees_the_group_that_replaces_its_own(registry):
    seen_by_session = registry.groups_of("claims")
    before = seen_by_session["claims_1"]
    await registry.apply(make_document("claims"), 2)
    assert seen_by_session["claims_1"].spec != before.spec


async def test_replaced_group_closes_after_the_grace_period(registry, timers):
    before = registry.groups_of("claims")["claims_1"]
    closed = []
    before.close = lambda: closed.append(timers.now())
    await registry.apply(make_document("claims"), 2)
    grace_s = registry.max_deadline_s() + RETIRE_GRACE_S
    await timers.sleep(grace_s - 0.1)
    assert closed == []
    await timers.sleep(0.2)
    assert len(closed) == 1


async def test_version_is_that_of_the_active_document(registry):
    await registry.apply(make_document("assist"), 7)
    assert registry.version == 7
