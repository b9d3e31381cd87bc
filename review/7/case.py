"""After a final fault, one entry of another writer keeps a service without a primary."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins_2 import Deployment, Tally, load, run_case  # noqa: E402

RECOVERY_S = 12.0
BEFORE_S = 10.0
MEASURED_S = 25.0


async def main(trouble):
    async with Deployment(Path(__file__).parent) as dep:
        if not await dep.wait_until_ready():
            return 2
        await asyncio.sleep(2.0)
        tally, stop = Tally(), asyncio.Event()
        loads = [
            asyncio.create_task(load(dep, proxy, tally, per_s=12, stop=stop))
            for proxy in dep.proxies
        ]
        began = dep.record.now()
        await asyncio.sleep(BEFORE_S)
        fault_at = dep.record.now()
        if trouble:
            # Its address is not one: a part of the IP is missing.
            entry = {
                "service": "svc-one",
                "address": "127.0..9:8784",
                "zone": "south-a",
                "version": "1.0",
                "slots": 3,
                "state": "ready",
                "coldLeftMs": 0,
                "seqNo": 4,
                "born": int(time.time() * 1000),
                "dbRole": "primary",
            }
            dep.store.write("servers", "i-other", json.dumps(entry).encode())
            dep.record.note("entry of another writer", entry=entry)
        for proxy in dep.proxies:
            proxy.kill()
        for proxy in dep.proxies:
            await proxy.wait()
            await proxy.start()
        if not await dep.wait_until_ready():
            return 2
        back_at = dep.record.now()
        dep.record.note("all processes killed and back", killed_at=fault_at)
        await asyncio.sleep(RECOVERY_S + MEASURED_S)
        stop.set()
        await asyncio.gather(*loads)
        before, served_before = tally.share(began, fault_at - 1)
        after, served = tally.share(back_at + RECOVERY_S, back_at + RECOVERY_S + MEASURED_S)
        outcomes = {}
        for at, kind, outcome in tally.items:
            if at >= back_at + RECOVERY_S:
                key = f"{kind} {outcome}"
                outcomes[key] = outcomes.get(key, 0) + 1
        text = (
            f"before the fault {served_before} of {before} served, later than"
            f" {RECOVERY_S:.0f} s after the machines were back {served} of {after}"
        )
        dep.record.note("result", text=text, outcomes=outcomes)
        print(text, outcomes)
        if served_before * 4 < before:
            return 2
        return 1 if served * 4 < after else 0


run_case(main)
