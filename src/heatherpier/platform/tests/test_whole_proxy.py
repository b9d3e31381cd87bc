"""A proxy process against a simulated store and a minimal stand-in for an instance."""

import asyncio
import json
import os
import re
import signal
import sys
from pathlib import Path

import aiohttp
import pytest

from heatherpier.bench import free_ports
from heatherpier.bench._row_store import MemoryRowStore
from heatherpier.platform.tests._stand_ins import HOST, StoreServer
from heatherpier.telemetry._output import BoundedOutput
from heatherpier.timers import LoopTimers

TIMEOUT_S = 20
ROOT = Path(__file__).parents[4]


async def serve_instance(reader, writer, texts):
    """Answers as a primary and records the texts of all statements.

    A statement on an item `slowN` takes N milliseconds.
    """
    commits = 0
    await reader.readline()
    writer.write(b"READY I 1.0\r\n")
    while line := await reader.readline():
        _, _, text = line.decode().strip().split(" ", 2)
        texts.append(text)
        commits += text.startswith("WRITE")
        slow = re.search(r" slow(\d+)", text)
        if slow is not None:
            await asyncio.sleep(int(slow[1]) / 1000)
        writer.write(f"ROW {text}\r\nDONE s\r\nREADY I 1.{commits}\r\n".encode())
    writer.close()


@pytest.fixture
async def deployment(tmp_path):
    callers_port, ready_port, internal_port, _, store_port = free_ports(5)
    store, texts = MemoryRowStore(timers=LoopTimers()), []
    store_server = StoreServer(store, {})
    await store_server.start("proxy-1", port=store_port)
    server = await asyncio.start_server(
        lambda reader, writer: serve_instance(reader, writer, texts), HOST, 0
    )
    instance_port = server.sockets[0].getsockname()[1]
    route = {
        "host": "db1",
        "kind": "primary",
        "timeoutMs": 5000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": "claims",
    }
    config = {
        "version": 3,
        "routes": [route],
        "services": [{"name": "claims", "maxConns": 20}],
        "limits": {},
    }
    entry = {
        "service": "claims",
        "address": f"{HOST}:{instance_port}",
        "zone": "north-a",
        "state": "ready",
        "dbRole": "primary",
    }
    store.write("op", "config", json.dumps(config).encode())
    store.write("servers", "i-1", json.dumps(entry).encode())
    settings = tmp_path / "local.yaml"
    settings.write_text(
        json.dumps(
            {
                "node": "proxy-1",
                "ip": HOST,
                "zone": "north-a",
                "zones": {"north-a": "north"},
                "listen": {
                    "front": f"{HOST}:{callers_port}",
                    "ready": f"{HOST}:{ready_port}",
                },
                "internalPorts": [internal_port, internal_port + 1],
                "platform": {"address": f"{HOST}:{store_port}"},
                "cloudApi": {"address": f"{HOST}:{store_port}"},
                "bounds": {"graceS": 2},
            }
        )
    )
    yield callers_port, ready_port, internal_port + 1, settings, texts
    server.close()
    await store_server.close()


@pytest.fixture
async def proxy(deployment):
    _, ready_port, _, settings, _ = deployment
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "heatherpier",
        "serve",
        f"--settings={settings}",
        stdout=asyncio.subprocess.PIPE,
    )
    await wait_until_ready(ready_port)
    yield process
    if process.returncode is None:
        process.kill()
        await process.wait()


async def wait_until_ready(port):
    url = f"http://{HOST}:{port}/readiness"
    async with aiohttp.ClientSession() as http, asyncio.timeout(TIMEOUT_S):
        while not await is_ready(http, url):
            await asyncio.sleep(0.05)


async def is_ready(http, url):
    try:
        async with http.get(url) as resp:
            return resp.status == 200
    except aiohttp.ClientError:
        return False


async def exchange(streams, text, lines):
    streams[1].write(text.encode())
    async with asyncio.timeout(TIMEOUT_S):
        return [(await streams[0].readline()).decode() for _ in range(lines)]


async def test_a_proxy_serves_statements_reloads_its_settings_and_stops(
    deployment, proxy
):
    callers_port, _, metrics_port, settings, texts = deployment
    streams = await asyncio.open_connection(HOST, callers_port)
    assert await exchange(streams, "START db1 u1\r\n", 1) == ["READY I -\r\n"]
    lines = await exchange(streams, "QUERY a1 WRITE k v\r\n", 3)
    assert lines == ["ROW WRITE k v\r\n", "DONE s\r\n", "READY I 1.1\r\n"]
    assert texts.count("WRITE k v") == 1
    lines = await exchange(streams, "QUERY a2 READ k\r\n", 3)
    assert lines[2] == "READY I 1.1\r\n"
    url = f"http://{HOST}:{metrics_port}/metrics"
    async with aiohttp.ClientSession() as http, http.get(url) as resp:
        metrics = await resp.text()
    assert "heatherpier_answers_total" in metrics
    assert "heatherpier_peer_bytes" in metrics
    settings.write_text(settings.read_text().replace('"graceS": 2', '"graceS": 1'))
    proxy.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.3)
    proxy.send_signal(signal.SIGTERM)
    out, _ = await asyncio.wait_for(proxy.communicate(), TIMEOUT_S)
    assert proxy.returncode == 0
    assert await streams[0].read() == b""
    messages = [json.loads(line)["message"] for line in out.splitlines()]
    for message in ("started", "listening", "settings reloaded", "stopping", "stopped"):
        assert message in messages


async def test_unreadable_settings_are_not_loaded_and_the_proxy_keeps_serving(
    deployment, proxy
):
    callers_port, _, _, settings, _ = deployment
    settings.write_text("node: [")
    proxy.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.3)
    streams = await asyncio.open_connection(HOST, callers_port)
    assert await exchange(streams, "START db1 u1\r\n", 1) == ["READY I -\r\n"]
    proxy.send_signal(signal.SIGTERM)
    out, _ = await asyncio.wait_for(proxy.communicate(), TIMEOUT_S)
    assert b"settings not reloaded" in out


# Runs the program of the deploy file, and has the process receive SIGHUP at the import of
# the module that is named.
HUNG_UP_PROGRAM = """
import os, runpy, signal, sys

class HangUp:
    def find_spec(self, name, *_):
        if name == sys.argv[2]:
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, HangUp())
os.environ["HEATHERPIER_SETTINGS"] = sys.argv[1]
runpy.run_path("deploy/serve.py")
"""


@pytest.mark.parametrize(
    "module", ["heatherpier._serve", "heatherpier._platform_proxy", "zmq"]
)
async def test_a_hang_up_during_the_start_does_not_end_the_process(deployment, module):
    # Guards against a process that ends by itself when its settings change early.
    _, ready_port, _, settings, _ = deployment
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        HUNG_UP_PROGRAM,
        str(settings),
        module,
        stdout=asyncio.subprocess.PIPE,
        cwd=ROOT,
    )
    try:
        await wait_until_ready(ready_port)
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
    out, _ = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
    assert process.returncode == 0
    assert b"settings reloaded" in out


async def test_a_stop_does_not_wait_for_idle_callers(deployment, proxy):
    callers_port = deployment[0]
    streams = await asyncio.open_connection(HOST, callers_port)
    assert await exchange(streams, "START db1 u1\r\n", 1) == ["READY I -\r\n"]
    proxy.send_signal(signal.SIGTERM)
    out, _ = await asyncio.wait_for(proxy.communicate(), TIMEOUT_S)
    assert proxy.returncode == 0
    messages = [json.loads(line)["message"] for line in out.splitlines()]
    assert "sessions cut" not in messages


async def run_until_closed(streams, texts, *, first=1):
    """Sends statements, each after the answer to the one before, until the end.

    Returns:
        The answers; the last one is empty if the connection ended without it.
    """
    answers = []
    for number, text in enumerate(texts, first):
        streams[1].write(f"QUERY {number} {text}\r\n".encode())
        answer = []
        while not answer or not answer[-1].startswith("READY"):
            async with asyncio.timeout(TIMEOUT_S):
                line = (await streams[0].readline()).decode()
            if not line:
                return [*answers, ""]
            answer.append(line)
        answers.append(" ".join(answer))
        if "ABORTED" in answers[-1] or "OVERLOAD" in answers[-1]:
            break
    return answers


async def open_session(port):
    streams = await asyncio.open_connection(HOST, port)
    assert await exchange(streams, "START db1 u1\r\n", 1) == ["READY I -\r\n"]
    return streams


@pytest.mark.parametrize("late_s", [0.3, 0.8])
async def test_a_stop_answers_each_statement_of_a_long_transaction(
    deployment, proxy, late_s
):
    # Guards against a transaction whose statement is running at half of the grace time
    # and which is then cut late in the stop, without an answer.
    streams = await open_session(deployment[0])
    proxy.send_signal(signal.SIGTERM)
    await asyncio.sleep(late_s)
    texts = ["BEGIN", *["WRITE slow220 v"] * 12, "COMMIT"]
    began = asyncio.get_running_loop().time()
    answers = await run_until_closed(streams, texts)
    assert "" not in answers
    assert "ABORTED" in answers[-1]
    # One statement may be running at half of the grace time of 2 s.
    assert asyncio.get_running_loop().time() - began < 1.0 - late_s + 0.22 + 0.4
    await asyncio.wait_for(proxy.communicate(), TIMEOUT_S)
    assert proxy.returncode == 0
    assert "COMMIT" not in deployment[4]


async def test_a_stop_refuses_a_transaction_that_begins_too_late(deployment, proxy):
    streams = await open_session(deployment[0])
    proxy.send_signal(signal.SIGTERM)
    await asyncio.sleep(1.05)
    [answer] = await run_until_closed(streams, ["BEGIN", "WRITE a v"])
    assert answer.startswith("ERR OVERLOAD")
    await asyncio.wait_for(proxy.communicate(), TIMEOUT_S)


async def test_a_statement_beyond_the_grace_time_is_answered_as_unknown(
    deployment, proxy
):
    # Guards against a statement that is cut at the end of the stop without an answer,
    # and against statements behind it in the buffer that are never answered.
    write, read, second = [await open_session(deployment[0]) for _ in range(3)]
    proxy.send_signal(signal.SIGTERM)
    proxy.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.9)
    write[1].write(b"QUERY 1 WRITE slow3000 v\r\n")
    read[1].write(b"QUERY 1 READ slow3000\r\nQUERY 2 READ b\r\n")
    second[1].write(b"QUERY 1 BEGIN\r\nQUERY 2 WRITE slow3000 v\r\n")
    answers = [
        await asyncio.wait_for(item[0].read(), 5) for item in (write, read, second)
    ]
    out, _ = await asyncio.wait_for(proxy.communicate(), TIMEOUT_S)
    assert proxy.returncode == 0
    assert b"running statement cut" in out
    assert answers[0].startswith(b"ERR INDOUBT")
    assert answers[1].startswith(b"ERR TIMEOUT")
    assert answers[1].count(b"ERR OVERLOAD") == 1
    assert answers[2].count(b"ERR ABORTED") == 1
    assert "READ b" not in deployment[4]


def test_log_output_does_not_block_if_nobody_reads_it():
    reader, writer = os.pipe()
    output = BoundedOutput(writer, max_bytes=100_000)
    for _ in range(20_000):
        output.write("a line of some length that nobody reads\n")
        output.flush()
    assert output.dropped > 0
    os.close(reader)
    os.close(writer)
