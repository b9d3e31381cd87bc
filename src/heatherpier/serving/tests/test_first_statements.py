"""Load: callers wait for a proxy that starts, and send statements as soon as it listens.

The configuration may be read before the instances and the members. A statement that is
let in then finds no instance that may serve it.
"""

import pytest

from heatherpier.bench import ask
from heatherpier.bench._row_store import MemoryRowClient
from heatherpier.bench._simulated_deployment import INSTANCES
from heatherpier.leases._view import FLEET_TABLE
from heatherpier.statements import Done

# Time for which callers wait, as in the process on the platform.
LIMIT_S = 1.2
# Time by which one table comes later than the others.
LATE_S = 0.3


@pytest.fixture(params=[INSTANCES, FLEET_TABLE])
def late_table(request, monkeypatch, timers):
    read, watch = MemoryRowClient.read_table, MemoryRowClient.watch

    async def read_late(self, table):
        if table == request.param:
            await timers.sleep(LATE_S)
        return await read(self, table)

    async def watch_late(self, table, *, after, wait_s):
        if table == request.param and not after:
            await timers.sleep(LATE_S)
        return await watch(self, table, after=after, wait_s=wait_s)

    monkeypatch.setattr(MemoryRowClient, "read_table", read_late)
    monkeypatch.setattr(MemoryRowClient, "watch", watch_late)


@pytest.mark.parametrize("database", ["claims-aged", "claims-own", "claims-exact"])
async def test_the_first_statement_of_a_started_proxy_is_served(
    deployment, late_table, database
):
    await deployment.kill("proxy-0")
    engine = await deployment.start("proxy-0")
    await engine.wait_until_known(limit_s=LIMIT_S)
    reply = await ask(deployment.open(database), "READ claim")
    assert isinstance(reply.outcome, Done), reply.outcome


async def test_the_wait_ends_without_the_store(deployment, timers):
    await deployment.kill("proxy-0")
    deployment.store.faults.unresponsive_to.add("proxy-0")
    began = timers.now()
    engine = await deployment.start("proxy-0")
    await engine.wait_until_known(limit_s=LIMIT_S)
    assert timers.now() - began == pytest.approx(LIMIT_S)
