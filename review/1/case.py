"""RECOVER: without a leadership row, a primary that is lost during a stop of all proxies
is never replaced."""

import asyncio
import itertools
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import BOUNDS, Client, Closed, Deployment, main, now  # noqa: E402

SERVICES = ("claims0", "claims1", "claims2")
# Bounded by the default of `for_s`, 5 s.
DOWN_S = 4.5
BEFORE_S = 6.0
MEASURED_S = 12.0
RECOVERY_S = BOUNDS["recoveryS"]
KINDS = (("primary", 0), ("bounded_staleness", 1500), ("read_own_writes", 2500))
TEXTS = ("READ k1", "WRITE k1 v", "READ k2")


async def caller(deployment, number, log, stop):
    """Sends single statements to the proxies in turn, to all routes."""
    turns = itertools.count(number)
    while not stop.is_set():
        turn = next(turns)
        proxy = deployment.proxies[turn % len(deployment.proxies)]
        route = deployment.routes[turn % len(deployment.routes)]
        client = Client(deployment, proxy, route["host"])
        sent = now()
        served = False
        try:
            async with asyncio.timeout(8.0):
                await client.open()
                request = await client.query(TEXTS[turn % len(TEXTS)])
            served = request.done
        except (OSError, Closed, TimeoutError):
            pass
        finally:
            client.close()
        log.append((sent, served))
        await asyncio.sleep(0.1)


def share(log, since, until):
    """Returns the share of the requests that were served, and their number."""
    found = [served for sent, served in log if since <= sent < until]
    return (sum(found) / len(found) if found else 0.0), len(found)


async def case(record, trouble):
    deployment = Deployment(record, services=SERVICES, work_s=lambda *_: 0.02)
    for service in SERVICES:
        for kind, staleness_ms in KINDS:
            deployment.route(
                f"{kind}-{service}", kind, service, timeout_ms=800, staleness_ms=staleness_ms
            )
    async with deployment:
        await deployment.wait_ready()
        log, stop = [], asyncio.Event()
        callers = [
            asyncio.create_task(caller(deployment, number, log, stop))
            for number in range(8)
        ]
        began = now()
        await asyncio.sleep(BEFORE_S)
        fault_at = now()
        if trouble:
            for proxy in deployment.proxies:
                proxy.signal(signal.SIGKILL)
            for group in deployment.groups.values():
                primary = next(item for item in group.instances.values() if item.leads)
                group.lose(primary)
            await asyncio.sleep(DOWN_S)
            for proxy in deployment.proxies:
                await proxy.process.wait()
                await proxy.start()
        back_at = now()
        await asyncio.sleep(RECOVERY_S + MEASURED_S)
        before, count = share(log, began, fault_at)
        after, measured = share(log, back_at + RECOVERY_S, now() - 1.0)
        stop.set()
        await asyncio.wait(callers, timeout=9.0)
    record("result", before=before, sent_before=count, after=after, sent_after=measured)
    print(f"served before the fault: {before:.2f} of {count}")
    print(f"served later than {RECOVERY_S} s after it: {after:.2f} of {measured}")
    if before >= 0.25 and after < 0.25:
        return [f"RECOVER: {after:.2f} of {measured} requests are served"]
    return []


main(case)
