"""Changes of primary in a group with synchronous replicas."""

import dataclasses

import pytest

from heatherpier.bench import SimulatedDeployment, ask
from heatherpier.positions import LogPosition
from heatherpier.statements import Done


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
