"""Membership of a fleet in memory under faults."""

import pytest

from heatherpier.fleet import MemberState

NOTICE_S = 30


def all_names(running):
    return sorted(peer.name for peer in running.peers)


async def test_all_members_know_each_other(running):
    assert set(map(tuple, running.views().values())) == {tuple(all_names(running))}


@pytest.mark.parametrize("victim", ["proxy-0", "proxy-11"])
async def test_killed_member_is_dead_everywhere(running, victim):
    running.kill(victim)
    await running.timers.sleep(NOTICE_S)
    assert all(victim not in view for view in running.views().values())


async def test_nobody_else_is_dead_after_a_kill(running):
    running.kill("proxy-0")
    await running.timers.sleep(NOTICE_S)
    expected = [name for name in all_names(running) if name != "proxy-0"]
    assert all(view == expected for view in running.views().values())


async def test_lost_messages_kill_nobody(running):
    running.fleet.loss_rate = 0.05
    await running.timers.sleep(300)
    assert all(view == all_names(running) for view in running.views().values())


async def test_suspected_member_refutes(running):
    running.fleet.stop("proxy-4")
    await running.timers.sleep(3.0)
    running.fleet.start("proxy-4")
    await running.timers.sleep(NOTICE_S)
    assert all(view == all_names(running) for view in running.views().values())


async def test_cut_between_data_centres_makes_nobody_dead(running):
    running.fleet.cut("north-a", "south-a")
    running.fleet.cut("north-a", "central-a")
    await running.timers.sleep(120)
    assert all(view == all_names(running) for view in running.views().values())


async def test_death_during_a_cut_is_known_after_it(running):
    running.fleet.cut("north-a", "south-a")
    running.fleet.cut("north-a", "central-a")
    await running.timers.sleep(5)
    running.kill("proxy-0")
    await running.timers.sleep(60)
    running.fleet.heal()
    await running.timers.sleep(NOTICE_S)
    assert all("proxy-0" not in view for view in running.views().values())


async def test_restarted_member_is_alive_again(running):
    running.kill("proxy-0")
    await running.timers.sleep(NOTICE_S)
    running.fleet.start("proxy-0")
    await running.start(running.peers[0], incarnation=1)
    await running.timers.sleep(NOTICE_S)
    assert all(view == all_names(running) for view in running.views().values())


async def test_leaving_member_is_gone_within_seconds(running):
    await running.nodes["proxy-0"].leave()
    running.kill("proxy-0")
    await running.timers.sleep(3)
    near = [n for n in running.nodes.values() if n.me.data_centre == "north-a"]
    assert all("proxy-0" not in {p.name for p in node.alive()} for node in near)


async def test_seed_that_never_answers_is_not_alive_for_long(running):
    node = running.nodes["proxy-3"]
    running.kill("proxy-6")
    await running.timers.sleep(NOTICE_S)
    states = {member.peer.name: member.state for member in node.table.members()}
    assert states["proxy-6"] in (MemberState.DEAD, MemberState.LEFT)


async def test_version_reaches_all_members(running):
    running.versions["proxy-0"] = 9
    await running.timers.sleep(NOTICE_S)
    assert set(running.versions.values()) == {9}
