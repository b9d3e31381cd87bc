"""The stand-in instance keeps its own protocol."""

import pytest

from heatherpier.bench import start_memory_group
from heatherpier.upstreams import StatementError

INSERT = "INSERT INTO claims VALUES ('a')"


@pytest.fixture
async def primary(memory_group):
    instance = memory_group.instances[0]
    instance.commit_alone("CREATE TABLE claims (value VARCHAR(64) PRIMARY KEY)")
    return instance


async def open_connection(memory_group, instance):
    return await memory_group.network.connector("caller").connect(instance.address)


async def test_transaction_of_an_old_term_is_not_committed(memory_group, primary):
    conn = await open_connection(memory_group, primary)
    await conn.execute("BEGIN")
    await conn.execute(INSERT)
    primary.adopt(2, "p")
    primary.promote(2, "p")
    with pytest.raises(StatementError):
        await conn.execute("COMMIT")
    assert not any(INSERT in entry.statements for entry in primary.log)


async def test_transaction_of_an_old_term_blocks_no_writer(memory_group, primary):
    conn = await open_connection(memory_group, primary)
    await conn.execute("BEGIN")
    await conn.execute(INSERT)
    primary.adopt(2, "p")
    primary.promote(2, "p")
    other = await open_connection(memory_group, primary)
    assert (await other.execute(INSERT)).affected_rows == 1
    conn.abort()
    assert (await other.execute("SELECT * FROM claims")).rows == (("a",),)


async def test_replicated_entries_survive_the_end_of_an_old_transaction(
    memory_group, primary, timers
):
    conn = await open_connection(memory_group, primary)
    await conn.execute("BEGIN")
    await conn.execute(INSERT)
    await timers.sleep(1.0)
    successor = memory_group.instances[1]
    for instance in memory_group.instances:
        instance.adopt(2, "p")
    successor.promote(2, "p")
    successor.commit_alone("INSERT INTO claims VALUES ('b')")
    primary.follow(2, successor.name)
    await timers.sleep(1.0)
    conn.abort()
    primary.adopt(3, "q")
    primary.promote(3, "q")
    other = await open_connection(memory_group, primary)
    with pytest.raises(StatementError, match="UNIQUE"):
        await other.execute("INSERT INTO claims VALUES ('b')")


async def test_fenced_primary_serves_its_last_entries(memory_group, primary, timers):
    primary.commit_alone(INSERT)
    primary.adopt(2, "p")
    await timers.sleep(1.0)
    assert memory_group.instances[1].position == primary.position


async def test_replica_that_is_far_behind_still_hears_from_its_primary(timers):
    group = start_memory_group(timers, lag_ms=5000)
    group.instances[0].commit_alone("CREATE TABLE claims (value VARCHAR(64))")
    await timers.sleep(3.0)
    status = group.instances[1].status()
    await group.close()
    assert status.position.index == 0
    assert status.contact_ms < 1000
