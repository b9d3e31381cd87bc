"""Membership of an in-memory fleet under crashes, message loss and partitions."""

import pytest

from heatherpier.fleet import MemberState

# Time within which all members must have learnt of a change.
CONVERGENCE_S = 30


def all_names(running):
    return sorted(peer.name for peer in running.peers)


async def test_all_members_know_each_other(running):
    assert set(map(tuple, running.views().values())) == {tuple(all_names(running))}


@pytest.mark.parametrize("killed", ["proxy-0", "proxy-11"])
async def test_killed_member_is_dead_everywhere(running, killed):
    running.kill(killed)
    await running.timers.sleep(CONVERGENCE_S)
    assert all(killed not in view for view in running.views().values())


async def test_only_the_killed_member_is_dead(running):
    running.kill("proxy-0")
    await running.timers.sleep(CONVERGENCE_S)
    expected = [name for name in all_names(running) if name != "proxy-0"]
    assert all(view == expected for view in running.views().values())


async def test_lost_messages_make_no_member_dead(running):
    running.fleet.loss_rate = 0.05
    await running.timers.sleep(300)
    assert all(view == all_names(running) for view in running.views().values())


async def test_unreachable_member_that_returns_is_alive(running):
    running.fleet.stop("proxy-4")
    await running.timers.sleep(3.0)
    running.fleet.start("proxy-4")
    await running.timers.sleep(CONVERGENCE_S)
    assert all(view == all_names(running) for view in running.views().values())


async def test_partition_between_data_centres_makes_no_member_dead(running):
    running.fleet.cut("north-a", "south-a")
    running.fleet.cut("north-a", "central-a")
    await running.timers.sleep(120)
    assert all(view == all_names(running) for view in running.views().values())


async def test_death_during_a_partition_is_known_after_it(running):
    running.fleet.cut("north-a", "south-a")
    running.fleet.cut("north-a", "central-a")
    await running.timers.sleep(5)
    running.kill("proxy-0")
    await running.timers.sleep(60)
    running.fleet.heal()
    await running.timers.sleep(CONVERGENCE_S)
    assert all("proxy-0" not in view for view in running.views().values())


async def test_restarted_member_is_alive_again(running):
    running.kill("proxy-0")
    await running.timers.sleep(CONVERGENCE_S)
    running.fleet.start("proxy-0")
    await running.start(running.peers[0], incarnation=1)
    await running.timers.sleep(CONVERGENCE_S)
    assert all(view == all_names(running) for view in running.views().values())


async def test_leaving_member_is_not_alive_in_its_data_centre_after_3_s(running):
    await running.nodes["proxy-0"].leave()
    running.kill("proxy-0")
    await running.timers.sleep(3)
    local = [n for n in running.nodes.values() if n.me.data_centre == "north-a"]
    assert all("proxy-0" not in {p.name for p in node.alive()} for node in local)


async def test_killed_member_is_kept_as_dead(running):
    node = running.nodes["proxy-3"]
    running.kill("proxy-6")
    await running.timers.sleep(CONVERGENCE_S)
    states = {member.peer.name: member.state for member in node.table.members()}
    assert states["proxy-6"] in (MemberState.DEAD, MemberState.LEFT)


async def test_version_reaches_all_members(running):
    running.versions["proxy-0"] = 9
    await running.timers.sleep(CONVERGENCE_S)
    assert set(running.versions.values()) == {9}
