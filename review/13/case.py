"""Case 13: a session forgets its own commit when its route moves away and back."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins_3 import Client, Deployment, run  # noqa: E402

# Time for a configuration to be in force; the pages allow 3 s.
APPLY_S = 0.4


async def main(record, trouble):
    async with Deployment(record, proxies=("north-a",), services=("alpha", "beta")) as deployment:
        here = [("board", "read_own_writes", "alpha", 2500)]
        away = [("board", "read_own_writes", "beta", 2500)]
        deployment.configure(here)
        await deployment.start_proxies()
        proxy = deployment.proxies[0]
        session, other = Client(record, "s"), Client(record, "o")
        for client in (session, other):
            if not await client.start(proxy.host, deployment.FRONT, "board"):
                raise RuntimeError("no session")
        for number in range(12):
            if not (await other.query(f"WRITE w{number} x{number}")).ok:
                raise RuntimeError("not served")
            await other.query(f"READ w{number}")
            await asyncio.sleep(0.1)
        for number in range(10):
            await other.query(f"READ w{number}")
            await asyncio.sleep(0.05)
        # The replicas fall behind for the rest, which is less than 3 s.
        for item in deployment.groups["alpha"].instances[1:]:
            item.receives = False
        record.note("replicas of alpha receive nothing")
        if not (await session.query("WRITE job claimed")).ok:
            raise RuntimeError("not served")
        await session.query("READ job")
        if trouble:
            deployment.configure(away)
        await asyncio.sleep(APPLY_S)
        if not (await session.query("WRITE note kept")).ok:
            raise RuntimeError("not served")
        if trouble:
            deployment.configure(here)
        await asyncio.sleep(APPLY_S)
        for _ in range(6):
            reply = await session.query("READ job")
            if reply.ok and reply.rows != ["claimed"]:
                return (
                    f"STALE: the session's own commit of job is missing, {reply.rows}"
                    f" by {reply.outcome}"
                )
            await asyncio.sleep(0.05)
        return ""


run(main, Path(__file__).parent)
