"""Single writes against instances in memory."""

import pytest

from heatherpier.requests import OutcomeUnknownError, Request
from heatherpier.writes import Writer

CREATE = "CREATE TABLE jobs (id INT PRIMARY KEY, agent TEXT)"


def request(timers, sql, *, budget_s=2.0, **fields):
    return Request(
        sql=sql, group="assist-core-1", deadline=timers.now() + budget_s, **fields
    )


async def test_write_is_on_a_majority_when_it_is_acknowledged(memory_group, timers):
    group = memory_group.view("proxy-1")
    await group.refresh()
    answer = await Writer(timers=timers).execute(group, request(timers, CREATE))
    holders = [i for i in memory_group.instances if i.position >= answer.position]
    assert len(holders) >= 2


async def test_write_that_no_replica_holds_is_not_acknowledged(memory_group, timers):
    group = memory_group.view("proxy-1")
    await group.refresh()
    for replica in memory_group.instances[1:]:
        replica.faults.replication_stopped = True
    with pytest.raises(OutcomeUnknownError):
        await Writer(timers=timers).execute(group, request(timers, CREATE))
