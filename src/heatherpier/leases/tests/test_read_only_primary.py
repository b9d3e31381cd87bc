"""A recorded primary that answers, but no longer leads."""

import pytest

from heatherpier.bench import ask
from heatherpier.statements import Done

# The users' bound after the last fault.
RECOVERY_S = 12.0


# Guards against a service without a primary for good, as its recorded primary answers
# each statement as a healthy replica.
@pytest.mark.parametrize("changed_before", [False, True])
async def test_a_primary_that_answers_read_only_is_replaced(
    deployment, timers, changed_before
):
    group = deployment.groups["claims"]
    session = deployment.open("claims-exact")
    if changed_before:
        deployment.unregister(group.primary())
        group.primary().running = False
        await timers.sleep(RECOVERY_S)
    assert isinstance((await ask(session, "WRITE claim")).outcome, Done)
    group.primary().leads = False
    until = timers.now() + RECOVERY_S
    served = False
    while not served and timers.now() < until:
        served = isinstance((await ask(session, "WRITE claim")).outcome, Done)
        await timers.sleep(0.1)
    assert served
