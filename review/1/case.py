"""LOST: acknowledged commits of a service with synchronous replicas are rolled back."""

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import Client, Closed, Deployment, main  # noqa: E402

# Limits of the small site files: replica_lag "deaf" 6.5 s, srv_crash 8.7 s.
DEAF_S = 6.5
CRASH_AFTER_S = 2.0
CRASH_S = 8.7
WRITERS = 4

_numbers = itertools.count(1)


async def writer(deployment, number, acknowledged, stop):
    """Writes an item of its own with each statement, through the proxies in turn."""
    client = None
    while not stop.is_set():
        proxy = deployment.proxies[number % len(deployment.proxies)]
        item = f"w{next(_numbers)}"
        try:
            async with asyncio.timeout(6.0):
                if client is None:
                    client = await Client(deployment, proxy, "filing").open()
                request = await client.query(f"WRITE {item} x")
            if request.done:
                acknowledged.append((item, request.position))
        except (OSError, Closed, TimeoutError):
            if client is not None:
                client.close()
            client = None
        await asyncio.sleep(0.1)
    if client is not None:
        client.close()


async def case(record, trouble):
    deployment = Deployment(record, work_s=lambda *_: 0.006)
    deployment.route("filing", "primary", timeout_ms=800)
    [group] = deployment.groups.values()
    group.sync_replicas = 1
    async with deployment:
        await deployment.wait_ready()
        acknowledged, stop = [], asyncio.Event()
        writers = [
            asyncio.create_task(writer(deployment, number, acknowledged, stop))
            for number in range(WRITERS)
        ]
        await asyncio.sleep(8.0)
        primary, near, far = group.instances.values()
        crashes = []
        if trouble:
            far.deaf = True
            record("replica receives nothing", id=far.name, for_s=DEAF_S)
        await asyncio.sleep(CRASH_AFTER_S)
        before = list(acknowledged)
        if trouble:
            crashes = [
                asyncio.create_task(group.crash(item, CRASH_S))
                for item in (primary, near)
            ]
        await asyncio.sleep(DEAF_S - CRASH_AFTER_S)
        far.deaf = False
        await asyncio.sleep(14.0)
        stop.set()
        await asyncio.wait(writers, timeout=7.0)
        for task in crashes:
            task.cancel()
    print(f"{len(acknowledged)} writes acknowledged, {len(before)} before the crashes")
    return judge(record, group, before)


def judge(record, group, before):
    """Returns which promotions lack commits that were acknowledged before them."""
    broken = []
    for name, log in group.promoted:
        present = {item for _, _, item, _ in log}
        lost = [f"{item} at {position}" for item, position in before if item not in present]
        record("commits missing at promotion", id=name, lost=lost)
        if lost:
            broken.append(
                f"LOST: {len(lost)} acknowledged commits are not in the log of {name}, "
                f"which was promoted, the first {lost[0]}, the last {lost[-1]}"
            )
    return broken


main(case)
