"""Terms and replication of the stand-in instance."""

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


async def test_transaction_of_an_old_term_does_not_block_writes(memory_group, primary):
    conn = await open_connection(memory_group, primary)
    await conn.execute("BEGIN")
    await conn.execute(INSERT)
    primary.adopt(2, "p")
    primary.promote(2, "p")
    other = await open_connection(memory_group, primary)
    assert (await other.execute(INSERT)).affected_rows == 1
    conn.abort()
    assert (await other.execute("SELECT * FROM claims")).rows == (("a",),)


async def test_replicated_entries_survive_the_rollback_of_an_old_transaction(
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


async def test_replica_fetches_the_last_entries_of_a_fenced_primary(
    memory_group, primary, timers
):
    primary.commit_alone(INSERT)
    primary.adopt(2, "p")
    await timers.sleep(1.0)
    assert memory_group.instances[1].position == primary.position


async def test_lagging_replica_stays_in_contact_with_its_primary(timers):
    group = start_memory_group(timers, lag_ms=5000)
    group.instances[0].commit_alone("CREATE TABLE claims (value VARCHAR(64))")
    await timers.sleep(3.0)
    status = group.instances[1].status()
    await group.close()
    assert status.position.index == 0
    assert status.contact_ms < 1000
