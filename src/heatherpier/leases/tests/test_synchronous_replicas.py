"""Changes of primary in a group with synchronous replicas."""

import dataclasses
import json

import pytest

from heatherpier.bench import SimulatedDeployment, ask
from heatherpier.discovery import MISSING_GRACE_S
from heatherpier.leases._replica_sets import GONE_AFTER_S, ReplicaSets
from heatherpier.leases.tests.test_change_of_primary import write_until_served
from heatherpier.positions import LogPosition
from heatherpier.statements import Done

# Time within which started processes have read the store and recorded the instances.
SETTLED_S = 4.0
# Longer than an entry outlives its instance, shorter than a crash in the case.
LAPSED_S = 6.0


@pytest.fixture
async def deployment(timers):
    async with SimulatedDeployment(timers=timers, synchronous=1) as running:
        yield running


@pytest.fixture
def group(deployment):
    return deployment.groups["claims"]


async def lose_primary(deployment, group, timers):
    session = deployment.open("claims-exact")
    await ask(session, "READ claim")
    group.instances["claims-0"].running = False
    await ask(session, "READ claim")
    await timers.sleep(2.0)


async def test_the_replica_with_the_last_position_is_promoted(
    deployment, group, timers
):
    commit = (LogPosition(1, 1), timers.now())
    group.instances["claims-0"].log.append(commit)
    group.instances["claims-2"].log.append(commit)
    await lose_primary(deployment, group, timers)
    assert group.primary().name == "claims-2"


async def test_no_replica_is_promoted_while_one_does_not_answer(
    deployment, group, timers
):
    # The replica that does not answer may be the only one with the last commit.
    group.instances["claims-2"].unresponsive = True
    await lose_primary(deployment, group, timers)
    await timers.sleep(5.0)
    assert group.promotions == []


async def test_the_change_goes_on_once_all_replicas_answer(deployment, group, timers):
    group.instances["claims-2"].unresponsive = True
    await lose_primary(deployment, group, timers)
    group.instances["claims-2"].unresponsive = False
    await timers.sleep(3.0)
    reply = await ask(deployment.open("claims-exact"), "WRITE claim")
    assert isinstance(reply.outcome, Done)


async def test_a_leaving_replica_with_the_last_position_is_promoted(
    deployment, group, timers
):
    # Only the log that is furthest surely has all acknowledged commits.
    commit = (LogPosition(1, 1), timers.now())
    group.instances["claims-0"].log.append(commit)
    furthest = group.instances["claims-2"]
    furthest.log.append(commit)
    leaving = dataclasses.replace(furthest.record.instance, leaving=True)
    furthest.record = dataclasses.replace(furthest.record, instance=leaving)
    deployment.register(furthest)
    await lose_primary(deployment, group, timers)
    assert commit[0] in {position for position, _ in group.primary().log}


def recorded(deployment):
    row = deployment.store.row("fleet", "replicas/claims")
    return None if row is None else set(json.loads(row.body)["instances"])


def crash(deployment, *instances):
    """Crashes instances, whose entries expire at once."""
    for instance in instances:
        instance.running = False
        deployment.unregister(instance)


def come_back(deployment, instance):
    """Starts a crashed instance with its log."""
    instance.running = True
    deployment.register(instance)


async def lose_both_that_have_the_last_commit(deployment, group, timers):
    """Crashes the primary and the one replica that has received its last commit."""
    await timers.sleep(SETTLED_S)
    primary, near, far = group.instances.values()
    commit = (LogPosition(1, 1), timers.now())
    primary.log.append(commit)
    near.log.append(commit)
    crash(deployment, primary, near)
    return commit


async def restart_all(deployment, timers):
    for name in list(deployment.engines):
        await deployment.kill(name)
    for name in deployment.names:
        await deployment.start(name)
    await timers.sleep(1.0)


def holds(instance, commit):
    return commit[0] in {position for position, _ in instance.log}


async def test_no_replica_is_promoted_while_the_one_with_the_commits_is_down(
    deployment, group, timers
):
    # Guards against a change that forgets instances whose entries have expired.
    commit = await lose_both_that_have_the_last_commit(deployment, group, timers)
    await timers.sleep(LAPSED_S)
    assert group.promotions == []
    come_back(deployment, group.instances["claims-1"])
    await write_until_served(deployment, timers, limit_s=20.0)
    assert holds(group.primary(), commit)


async def test_the_old_primary_leads_on_if_it_is_back_before_the_replica(
    deployment, group, timers
):
    commit = await lose_both_that_have_the_last_commit(deployment, group, timers)
    await timers.sleep(LAPSED_S)
    come_back(deployment, group.instances["claims-0"])
    await write_until_served(deployment, timers, limit_s=20.0)
    assert group.primary().name == "claims-0"
    assert holds(group.primary(), commit)


@pytest.mark.parametrize("after_s", [0.1, 3.0, 6.0])
async def test_the_set_of_instances_outlives_all_processes(
    deployment, group, timers, after_s
):
    # Guards against processes that know only the instances which they see themselves.
    state = {"type": "led", "instance": "claims-0", "term": 1}
    deployment.store.write("fleet", "leader/claims", json.dumps(state).encode())
    commit = await lose_both_that_have_the_last_commit(deployment, group, timers)
    await timers.sleep(after_s)
    await restart_all(deployment, timers)
    await timers.sleep(LAPSED_S)
    assert group.promotions == []
    come_back(deployment, group.instances["claims-1"])
    await write_until_served(deployment, timers, limit_s=30.0)
    assert holds(group.primary(), commit)


async def test_the_set_of_instances_outlives_a_restore_of_the_store(
    deployment, group, timers
):
    commit = await lose_both_that_have_the_last_commit(deployment, group, timers)
    await deployment.restore_store(back_s=SETTLED_S + 0.8)
    await timers.sleep(2 * LAPSED_S)
    assert all(holds(group.instances[name], commit) for name, _ in group.promotions)
    come_back(deployment, group.instances["claims-1"])
    await write_until_served(deployment, timers, limit_s=30.0)
    assert holds(group.primary(), commit)


async def test_a_service_is_served_again_if_the_others_are_gone_for_good(
    deployment, group, timers
):
    await lose_both_that_have_the_last_commit(deployment, group, timers)
    await timers.sleep(GONE_AFTER_S + MISSING_GRACE_S)
    served_s = await write_until_served(deployment, timers, limit_s=20.0)
    assert served_s < 15.0
    assert group.primary().name == "claims-2"
    await timers.sleep(2.0)
    assert recorded(deployment) == {"claims-2"}


async def test_one_lost_replica_does_not_delay_a_change(deployment, group, timers):
    await timers.sleep(SETTLED_S)
    session = deployment.open("claims-exact")
    await ask(session, "READ claim")
    group.instances["claims-0"].running = False
    await write_until_served(deployment, timers)


async def test_a_replacement_at_the_address_stands_for_an_instance(
    deployment, group, timers
):
    # Guards against a wait for an instance that was replaced as planned: its log passes
    # to the one that takes its address.
    await timers.sleep(SETTLED_S)
    replaced, successor = group.instances["claims-1"], "claims-9"
    instance = dataclasses.replace(replaced.record.instance, name=successor)
    deployment.unregister(replaced)
    group.instances[successor] = group.instances.pop("claims-1")
    replaced.record = dataclasses.replace(replaced.record, instance=instance)
    deployment.register(replaced)
    await timers.sleep(MISSING_GRACE_S + 1.0)
    assert recorded(deployment) == {"claims-0", successor, "claims-2"}
    crash(deployment, group.instances["claims-0"])
    await timers.sleep(MISSING_GRACE_S)
    await write_until_served(deployment, timers)


async def test_instances_are_recorded_once_and_only_where_replicas_are_synchronous(
    deployment, timers
):
    await timers.sleep(SETTLED_S)
    assert recorded(deployment) == {"claims-0", "claims-1", "claims-2"}
    version = deployment.store.row("fleet", "replicas/claims").version
    await timers.sleep(5.0)
    assert deployment.store.row("fleet", "replicas/claims").version == version
    async with SimulatedDeployment(timers=timers) as other:
        await timers.sleep(SETTLED_S)
        assert recorded(other) is None


async def test_an_odd_row_of_replicas_is_written_anew(deployment, timers):
    await timers.sleep(SETTLED_S)
    deployment.store.write("fleet", "replicas/claims", b'{"instances":[1]}')
    await timers.sleep(3.0)
    assert recorded(deployment) == {"claims-0", "claims-1", "claims-2"}


async def test_without_the_recorded_set_an_acknowledged_commit_is_lost(
    deployment, group, timers, monkeypatch
):
    # Shows that the tests above find a change that counts registered instances only.
    def registered_only(self, service, *, answering):
        names = {item.name for item in self._registry.of_service(service)}
        return names - answering

    monkeypatch.setattr(ReplicaSets, "missing", registered_only)
    commit = await lose_both_that_have_the_last_commit(deployment, group, timers)
    await timers.sleep(LAPSED_S)
    assert group.primary().name == "claims-2"
    assert not holds(group.primary(), commit)


async def test_instances_are_recorded_once_a_configuration_asks_for_it(timers):
    async with SimulatedDeployment(timers=timers) as running:
        running._synchronous = 1
        running.configure(running.routes())
        await timers.sleep(SETTLED_S)
        assert recorded(running) == {"claims-0", "claims-1", "claims-2"}
        # Without synchronous replicas no instance is waited for.
        running._synchronous = 0
        running.configure(running.routes())
        group = running.groups["claims"]
        await lose_both_that_have_the_last_commit(running, group, timers)
        await timers.sleep(LAPSED_S)
        assert group.primary().name == "claims-2"
