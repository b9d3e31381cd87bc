"""RECOVER: a primary that was given up and is the only instance left is never used."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import (  # noqa: E402
    BOUNDS,
    Deployment,
    call_in_turns,
    judge_recovery,
    main,
    now,
)

SERVICES = ("claims0", "claims1", "claims2")
# Longest cut of a primary in the small site files.
CUT_S = 7.0
# Time for which all processes are down at the final fault.
DOWN_S = 1.2
BEFORE_S = 6.0
MEASURED_S = 12.0
KINDS = (("primary", 0), ("bounded_staleness", 1500), ("read_own_writes", 2500))


async def case(record, trouble):
    deployment = Deployment(record, services=SERVICES, work_s=lambda *_: 0.02)
    for service in SERVICES:
        for kind, staleness_ms in KINDS:
            host = f"{kind}-{service}"
            deployment.route(
                host, kind, service, timeout_ms=800, staleness_ms=staleness_ms
            )
    async with deployment:
        await deployment.wait_ready()
        log, stop = [], asyncio.Event()
        callers = [
            asyncio.create_task(call_in_turns(deployment, number, log, stop))
            for number in range(8)
        ]
        began = now()
        # The replicas are lost one after the other; each database goes on without them.
        for turn in range(2):
            for group in deployment.groups.values():
                if trouble:
                    replicas = [item for item in group.instances.values() if item.running]
                    group.lose(next(item for item in replicas if not item.leads))
            await asyncio.sleep(BEFORE_S)
        if trouble:
            # All proxies reach the primaries meanwhile.
            cuts = [
                group.cut_from_store(
                    next(item for item in group.instances.values() if item.running),
                    CUT_S,
                )
                for group in deployment.groups.values()
            ]
            await asyncio.gather(*cuts)
        else:
            await asyncio.sleep(CUT_S)
        # The final fault: all processes are killed.
        fault_at = now()
        if trouble:
            for proxy in deployment.proxies:
                proxy.signal(signal.SIGKILL)
            await asyncio.sleep(DOWN_S)
            for proxy in deployment.proxies:
                await proxy.process.wait()
                await proxy.start()
        back_at = now()
        await asyncio.sleep(BOUNDS["recoveryS"] + MEASURED_S)
        broken = judge_recovery(
            record, log, began=began, fault_at=fault_at, back_at=back_at
        )
        stop.set()
        await asyncio.wait(callers, timeout=9.0)
    return broken


main(case)
