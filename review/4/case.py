"""LOST: a planned stop cuts statements of transactions that it accepted late."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import BOUNDS, Client, Closed, Deployment, main, now  # noqa: E402

TIMEOUT_MS = 2000
# The largest work of a statement in the small site files is 220 ms.
WORK_S = 0.22
PAUSE_S = 0.2
# The most statements that a transaction has by PROTOCOL.md, with BEGIN and COMMIT.
STATEMENTS = 12
SESSIONS = 20
WRITERS = 6
GRACE_S = BOUNDS["graceS"]


async def transaction(client, *, writes, statements):
    """One operation: a transaction of some statements with pauses between them."""
    try:
        await client.query("BEGIN" if writes else "BEGIN READ")
        for number in range(statements - 2):
            await asyncio.sleep(PAUSE_S)
            text = f"WRITE k{number} v" if writes else f"READ k{number}"
            if not (await client.query(text)).done:
                return
        await asyncio.sleep(PAUSE_S)
        await client.query("COMMIT")
    except Closed:
        return
    finally:
        client.close()


async def case(record, trouble):
    deployment = Deployment(record, work_s=lambda *_: WORK_S)
    deployment.route("boards", "bounded_staleness", timeout_ms=TIMEOUT_MS, staleness_ms=1500)
    deployment.route("filing", "primary", timeout_ms=TIMEOUT_MS)
    async with deployment:
        await deployment.wait_ready()
        proxy = deployment.proxies[0]
        await asyncio.sleep(8.0)  # The machine is in touch.
        clients = []
        for number in range(SESSIONS):
            writes = number < WRITERS
            client = Client(deployment, proxy, "filing" if writes else "boards")
            clients.append((await client.open(), writes))
            await client.query("WRITE warm x" if writes else "READ warm")
        stop_at = now()
        if trouble:
            proxy.signal(signal.SIGTERM)
        # Each client begins its operation in the first 2 s after the signal, on the
        # connection that it has.
        tasks = [
            asyncio.create_task(
                later(
                    0.2 + 1.8 * number / SESSIONS,
                    client,
                    writes=writes,
                    statements=STATEMENTS - number % 3,
                )
            )
            for number, (client, writes) in enumerate(clients)
        ]
        await asyncio.wait(tasks, timeout=GRACE_S + 2 if trouble else 20)
        ran = ids_run(record)
        if not trouble:
            return unanswered(clients)
        return [
            line
            for client, _ in clients
            for request in client.requests
            if (line := judge(request, ran, stop_at))
        ]


async def later(delay, client, *, writes, statements):
    await asyncio.sleep(delay)
    await transaction(client, writes=writes, statements=statements)


def ids_run(record):
    """Returns the times at which instances began and ended each statement, by id."""
    times = {}
    for item in record.lines:
        if item["event"] in ("run", "ran"):
            began, _ = times.get(item["id"], (None, None))
            at = item["t"] + record.began
            times[item["id"]] = (at, None) if item["event"] == "run" else (began, at)
    return times


def judge(request, ran, stop_at):
    """Returns what broke the rule LOST for a request, or None."""
    if request.closed_at is None or request.id not in ran:
        return None
    sent, closed = request.sent_at - stop_at, request.closed_at - stop_at
    if closed > GRACE_S + 1 or (closed - sent) * 1000 >= TIMEOUT_MS:
        return None
    began, ended = ran[request.id]
    if sent <= 3.0 and (ended is None or ended - stop_at >= GRACE_S * 5 / 6):
        return None
    end = "" if ended is None else f", whose run ended at {ended - stop_at:.2f} s"
    return (
        f"LOST: {request.text!r} {request.id} sent {sent:.2f} s after SIGTERM, run by "
        f"the instance from {began - stop_at:.2f} s{end}; connection closed at "
        f"{closed:.2f} s without an answer"
    )


def unanswered(clients):
    return [
        f"{request.text!r} was not answered"
        for client, _ in clients
        for request in client.requests
        if request.answered_at is None
    ]


main(case)
