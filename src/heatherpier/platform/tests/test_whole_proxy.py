"""A whole proxy as a process against stand-ins of the store and of one instance."""

import asyncio
import json
import os
import signal
import sys

import aiohttp
import pytest

from heatherpier.bench import free_ports
from heatherpier.bench._row_store import MemoryRowStore
from heatherpier.platform.tests._stand_ins import HOST, StoreServer
from heatherpier.telemetry._output import BoundedOutput
from heatherpier.timers import LoopTimers

READY_S = 20


async def serve_instance(reader, writer, texts):
    """Speaks the line protocol as an instance that leads."""
    number = 0
    await reader.readline()
    writer.write(b"READY I 1.0\r\n")
    while line := await reader.readline():
        _, _, text = line.decode().strip().split(" ", 2)
        texts.append(text)
        number += text.startswith("WRITE")
        writer.write(f"ROW {text}\r\nDONE s\r\nREADY I 1.{number}\r\n".encode())
    writer.close()


@pytest.fixture
async def deployment(tmp_path):
    front, ready, inner, _, store_port = free_ports(5)
    store, texts = MemoryRowStore(timers=LoopTimers()), []
    stores = StoreServer(store, {})
    await stores.start("proxy-1", port=store_port)
    server = await asyncio.start_server(
        lambda reader, writer: serve_instance(reader, writer, texts), HOST, 0
    )
    instance_port = server.sockets[0].getsockname()[1]
    route = {
        "host": "db1",
        "kind": "primary",
        "timeoutMs": 800,
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
                "listen": {"front": f"{HOST}:{front}", "ready": f"{HOST}:{ready}"},
                "internalPorts": [inner, inner + 1],
                "platform": {"address": f"{HOST}:{store_port}"},
                "cloudApi": {"address": f"{HOST}:{store_port}"},
                "bounds": {"graceS": 2},
            }
        )
    )
    yield front, ready, inner + 1, settings, texts
    server.close()
    await stores.close()


@pytest.fixture
async def proxy(deployment):
    _, ready, _, settings, _ = deployment
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "heatherpier",
        "serve",
        f"--settings={settings}",
        stdout=asyncio.subprocess.PIPE,
    )
    await wait_until_ready(ready)
    yield process
    if process.returncode is None:
        process.kill()
        await process.wait()


async def wait_until_ready(port):
    url = f"http://{HOST}:{port}/readiness"
    async with aiohttp.ClientSession() as http, asyncio.timeout(READY_S):
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
    async with asyncio.timeout(READY_S):
        return [(await streams[0].readline()).decode() for _ in range(lines)]


async def test_a_proxy_process_serves_reloads_and_stops(deployment, proxy):
    front, _, metrics, settings, texts = deployment
    streams = await asyncio.open_connection(HOST, front)
    assert await exchange(streams, "START db1 u1\r\n", 1) == ["READY I -\r\n"]
    lines = await exchange(streams, "QUERY a1 WRITE k v\r\n", 3)
    assert lines == ["ROW WRITE k v\r\n", "DONE s\r\n", "READY I 1.1\r\n"]
    assert texts.count("WRITE k v") == 1
    lines = await exchange(streams, "QUERY a2 READ k\r\n", 3)
    assert lines[2] == "READY I 1.1\r\n"
    url = f"http://{HOST}:{metrics}/metrics"
    async with aiohttp.ClientSession() as http, http.get(url) as resp:
        assert "heatherpier_answers_total" in await resp.text()
    settings.write_text(settings.read_text().replace('"graceS": 2', '"graceS": 1'))
    proxy.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.3)
    proxy.send_signal(signal.SIGTERM)
    out, _ = await asyncio.wait_for(proxy.communicate(), READY_S)
    assert proxy.returncode == 0
    assert await streams[0].read() == b""
    messages = [json.loads(line)["message"] for line in out.splitlines()]
    for message in ("started", "listening", "settings reloaded", "stopping", "stopped"):
        assert message in messages


async def test_settings_that_became_unreadable_change_nothing(deployment, proxy):
    front, _, _, settings, _ = deployment
    settings.write_text("node: [")
    proxy.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.3)
    streams = await asyncio.open_connection(HOST, front)
    assert await exchange(streams, "START db1 u1\r\n", 1) == ["READY I -\r\n"]
    proxy.send_signal(signal.SIGTERM)
    out, _ = await asyncio.wait_for(proxy.communicate(), READY_S)
    assert b"settings not reloaded" in out


async def test_a_stop_does_not_wait_for_callers_that_ask_nothing(deployment, proxy):
    front = deployment[0]
    streams = await asyncio.open_connection(HOST, front)
    assert await exchange(streams, "START db1 u1\r\n", 1) == ["READY I -\r\n"]
    proxy.send_signal(signal.SIGTERM)
    out, _ = await asyncio.wait_for(proxy.communicate(), READY_S)
    assert proxy.returncode == 0
    messages = [json.loads(line)["message"] for line in out.splitlines()]
    assert "sessions cut" not in messages


def test_logs_never_wait_for_their_reader():
    reader, writer = os.pipe()
    output = BoundedOutput(writer, max_bytes=100_000)
    for _ in range(20_000):
        output.write("a line of some length that nobody reads\n")
        output.flush()
    assert output.dropped > 0
    os.close(reader)
    os.close(writer)
