"""Concurrent connections to one stand-in instance."""

import asyncio

from heatherpier.bench._dialog import Dialog

CREATE = "CREATE TABLE jobs (id INT PRIMARY KEY)"


async def insert_twice(instance, number):
    dialog = Dialog(instance)
    await dialog.execute("BEGIN")
    await dialog.execute(f"INSERT INTO jobs VALUES ({2 * number})")
    await instance.timers.sleep(0.01)
    await dialog.execute(f"INSERT INTO jobs VALUES ({2 * number + 1})")
    await dialog.execute("COMMIT")


async def test_lock_waiters_leave_the_slots_to_the_holder(memory_group, timers):
    primary = memory_group.instances[0]
    await Dialog(primary).execute(CREATE)
    began = timers.now()
    await asyncio.gather(*(insert_twice(primary, number) for number in range(12)))
    assert timers.now() - began < 1.0
