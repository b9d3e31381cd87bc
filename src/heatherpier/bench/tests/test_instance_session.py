"""Concurrent sessions on one stand-in instance."""

import asyncio

from heatherpier.bench._instance_session import InstanceSession

CREATE = "CREATE TABLE jobs (id INT PRIMARY KEY)"


async def insert_twice(instance, number):
    session = InstanceSession(instance)
    await session.execute("BEGIN")
    await session.execute(f"INSERT INTO jobs VALUES ({2 * number})")
    await instance.timers.sleep(0.01)
    await session.execute(f"INSERT INTO jobs VALUES ({2 * number + 1})")
    await session.execute("COMMIT")


async def test_waiting_for_the_write_lock_occupies_no_slot(memory_group, timers):
    primary = memory_group.instances[0]
    await InstanceSession(primary).execute(CREATE)
    began = timers.now()
    await asyncio.gather(*(insert_twice(primary, number) for number in range(12)))
    assert timers.now() - began < 1.0
