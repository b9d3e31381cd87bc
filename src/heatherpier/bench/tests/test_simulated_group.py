from heatherpier.bench._simulated_group import OLD_PRIMARY_POLL_S, SimulatedGroup

ZONES = ["north", "central", "south"]


async def test_an_old_primary_that_is_promoted_again_does_not_step_down(timers):
    # Guards against a group without any primary, which no platform leaves behind: the old
    # primary followed the one of the term between, though it led a newer one by then.
    group = SimulatedGroup("claims", zones=ZONES, timers=timers)
    await group.promote("claims-1", token=1)
    await group.promote("claims-0", token=2)
    await timers.sleep(3 * OLD_PRIMARY_POLL_S)
    leading = [item.name for item in group.instances.values() if item.leads]
    assert leading == ["claims-0"]
    assert {item.term for item in group.instances.values()} == {3}
