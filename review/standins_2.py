"""Stand-ins of the review's scripts: a platform, instances and clients on loopback.

They speak what the users' pages say and use only Python's standard library. One process
holds them all; the proxies are separate processes, started with the command of the deploy
file. Every socket is bound to an address of 127.0.0.0/8.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[1]
# Zone and region of each place. A proxy and an instance of each service run in every zone.
ZONES = {"north-a": "north", "central-a": "central", "south-a": "south"}
STORE_HOST = "127.0.9.1"
CLOUD_HOST = "127.0.9.2"
HISTORY_S = 20.0
BEAT_S = 1.2
STORE_ANSWER_S = 0.004
GRACE_S = 6.0


def free_ports(host, count):
    """Returns ports of an address that nothing listens on."""
    socks = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((host, 0))
        socks.append(sock)
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def free_port_everywhere(hosts, count):
    """Returns ports that are free on every one of several addresses."""
    found = []
    while len(found) < count:
        port = random.randrange(20000, 30000)
        try:
            for host in hosts:
                with socket.socket() as sock:
                    sock.bind((host, port))
        except OSError:
            continue
        if port not in found and port - 1 not in found and port + 1 not in found:
            found.append(port)
    return found


class Record:
    """Writes what was sent, answered and run, one JSON line each."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def note(self, event, **fields):
        line = {"at": round(self.now(), 4), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")

    def close(self):
        self._file.close()


# The platform


class HttpServer:
    """A small HTTP/1.1 server with persistent connections."""

    def __init__(self, handle):
        self._handle = handle
        self._tasks = set()
        self._server = None

    async def start(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port)

    async def close(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                request_line = (await reader.readline()).decode()
                if not request_line:
                    return
                method, target, _ = request_line.split(" ", 2)
                headers = {}
                while line := (await reader.readline()).decode().rstrip():
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urlsplit(target)
                status, answer, extra = await self._handle(
                    method, url.path, dict(parse_qsl(url.query)), headers, body
                )
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                for name, value in extra.items():
                    head += f"{name}: {value}\r\n"
                head += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()


@dataclass
class Row:
    table: str
    part: str
    key: str
    value: bytes | None
    ver: int
    at: float


class Store:
    """The platform's metadata store: rows, transactions under conditions, feeds."""

    def __init__(self, record):
        self.record = record
        self.ver = 0
        self._rows = {}
        self._history = []
        self._dropped_until = 0
        self._changed = asyncio.Event()
        self._http = HttpServer(self._handle)
        self.address = ""

    async def start(self):
        port = free_ports(STORE_HOST, 1)[0]
        self.address = f"{STORE_HOST}:{port}"
        await self._http.start(STORE_HOST, port)

    async def close(self):
        await self._http.close()

    def write(self, table, key, body, *, part=""):
        """Writes a row as the operator, an instance or another writer does."""
        self._apply([(table, part, key, body)])

    def read(self, table, key):
        row = self._rows.get((table, "", key))
        return None if row is None else row.value

    def _apply(self, changes):
        self.ver += 1
        now = time.monotonic()
        for table, part, key, value in changes:
            row = Row(table, part, key, value, self.ver, now)
            if value is None:
                self._rows.pop((table, part, key), None)
            else:
                self._rows[(table, part, key)] = row
            self._history.append(row)
        while self._history and self._history[0].at < now - HISTORY_S:
            self._dropped_until = self._history.pop(0).ver
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        match method, path:
            case "GET", "/rows-get":
                return 200, self._get(query), {}
            case "GET", "/rows-feed":
                return await self._feed(query)
            case "POST", "/rows-tx":
                return self._commit(json.loads(body))
            case "GET", "/rows-parts":
                parts = sorted({k[1] for k in self._rows if k[0] == query["table"]})
                return 200, {"parts": parts, **self._stamp()}, {}
        return 404, {}, {}

    def _stamp(self):
        return {"ver": self.ver, "nowMs": round(time.monotonic() * 1000)}

    def _get(self, query):
        rows = sorted(
            (
                row
                for (table, part, key), row in self._rows.items()
                if table == query["table"]
                and part == query.get("part", "")
                and key >= query.get("from", "")
                and (not query.get("target") or key < query["target"])
            ),
            key=lambda row: row.key.encode(),
        )
        limit = min(int(query.get("limit", 500)), 500)
        return {
            "rows": [encode_row(row) for row in rows[:limit]],
            "truncated": len(rows) > limit,
            **self._stamp(),
        }

    async def _feed(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if after < self._dropped_until or after > self.ver:
                return 410, {}, {}
            rows = [
                row
                for row in self._history
                if row.table == query["table"] and row.ver > after
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": [encode_row(r) for r in rows], **self._stamp()}, {}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _commit(self, change):
        touched = [*change.get("writes", []), *change.get("deletes", [])]
        if any(row["table"] in ("op", "servers") for row in touched):
            return 403, {}, {}
        current = []
        conflict = False
        for want in change.get("precondition", []):
            row = self._rows.get((want["table"], want.get("part", ""), want["key"]))
            conflict |= (0 if row is None else row.ver) != want["ver"]
            if row is not None:
                current.append(encode_row(row))
        if conflict:
            return 412, {"rows": current, **self._stamp()}, {}
        self._apply(
            [
                (r["table"], r.get("part", ""), r["key"], base64.b64decode(r["value"]))
                for r in change.get("writes", [])
            ]
            + [
                (r["table"], r.get("part", ""), r["key"], None)
                for r in change.get("deletes", [])
            ]
        )
        return 200, self._stamp(), {}


def encode_row(row):
    wire = {"table": row.table, "part": row.part, "key": row.key, "ver": row.ver}
    if row.value is None:
        return wire | {"tombstone": True}
    return wire | {"value": base64.b64encode(row.value).decode()}


class Cloud:
    """The platform's interface for promotions."""

    def __init__(self, record, groups):
        self.record = record
        self.groups = groups
        self.address = ""
        self._http = HttpServer(self._handle)
        self._tasks = set()

    async def start(self):
        port = free_ports(CLOUD_HOST, 1)[0]
        self.address = f"{CLOUD_HOST}:{port}"
        await self._http.start(CLOUD_HOST, port)

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await self._http.close()

    async def _handle(self, method, path, query, headers, body):
        if (method, path) != ("POST", "/promotion"):
            return 404, {}, {}
        req = json.loads(body)
        group = self.groups[req["service"]]
        instance = group.instances.get(req["id"])
        status = 200
        if instance is None or not instance.running:
            status = 409
        self.record.note(
            "promotion",
            service=req["service"],
            id=req["id"],
            holder=headers.get("x-duty-holder"),
            token=headers.get("x-fence-token"),
            status=status,
        )
        if status == 200 and group.leader != req["id"]:
            task = asyncio.create_task(group.promote(instance))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return status, {}, {}


# Instances


@dataclass
class Entry:
    term: int
    number: int
    # Ids of the statements that wrote, with item and data.
    writes: tuple


class Group:
    """The instances of one service, and who leads by the platform's word."""

    def __init__(self, service, record, store, *, promote_s=1.0, lag_s=0.06, slots=3):
        self.service = service
        self.record = record
        self.store = store
        self.promote_s = promote_s
        self.lag_s = lag_s
        self.slots = slots
        self.instances = {}
        self.leader = ""
        self.term = 3

    async def promote(self, instance):
        await asyncio.sleep(self.promote_s)
        if not instance.running:
            return
        self.term += 1
        self.leader = instance.name
        instance.lead(self.term)
        self.record.note(
            "promoted", id=instance.name, term=self.term, log=len(instance.log)
        )
        for other in self.instances.values():
            if other is not instance and other.running:
                asyncio.get_running_loop().call_later(
                    0.0 if other.role == "replica" else 1.0, other.follow, instance
                )


class Instance:
    """One database instance, by the line protocol."""

    def __init__(self, group, name, *, host, zone, role, max_conns=22):
        self.group = group
        self.name = name
        self.host = host
        self.zone = zone
        self.role = role
        self.term = group.term
        self.max_conns = max_conns
        self.log = [Entry(group.term, 1, ())]
        self.running = False
        self.born = 0
        self.seq = 0
        self.state = "ready"
        self.port = free_ports(host, 1)[0]
        self.slots = asyncio.Semaphore(group.slots)
        self.queued = 0
        self._server = None
        self._writers = set()
        self._tasks = set()

    @property
    def record(self):
        return self.group.record

    @property
    def position(self):
        last = self.log[-1]
        return last.term, last.number

    async def start(self):
        self.running = True
        self.born = int(time.time() * 1000)
        self.seq = 0
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2**21
        )
        self._spawn(self._beat())

    async def crash(self):
        """Ends the instance at once; its log stays, and its entry runs out."""
        self.running = False
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        asyncio.get_running_loop().call_later(
            3 * BEAT_S, lambda: self.running or self.write_entry(None)
        )

    def _spawn(self, coro):
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def write_entry(self, body):
        self.group.store.write("servers", self.name, body)

    def beat(self):
        self.seq += 1
        entry = {
            "service": self.group.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "1.0",
            "slots": self.group.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seqNo": self.seq,
            "born": self.born,
            "dbRole": self.role,
        }
        self.write_entry(json.dumps(entry).encode())

    async def _beat(self):
        while True:
            self.beat()
            await asyncio.sleep(BEAT_S)

    def lead(self, term):
        self.role = "primary"
        self.term = term
        self.beat()

    def follow(self, leader):
        """Follows a new primary; what its log lacks is rolled back here."""
        if not self.running or leader.term < self.term:
            return
        self.role = "replica"
        self.term = leader.term
        known = {(e.term, e.number) for e in leader.log}
        while (self.log[-1].term, self.log[-1].number) not in known:
            self.log.pop()
        self._catch_up(leader)
        self.beat()

    def _catch_up(self, leader):
        if self.role == "replica" and self.running and leader.term == self.term:
            self.log.extend(e for e in leader.log if (e.term, e.number) > self.position)

    def commit(self, writes):
        entry = Entry(self.term, self.position[1] + 1, tuple(writes))
        self.log.append(entry)
        loop = asyncio.get_running_loop()
        for other in self.group.instances.values():
            if other is not self:
                lag_s = self.group.lag_s * random.uniform(0.5, 1.5)
                loop.call_later(lag_s, other._catch_up, self)
        return entry

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await Session(self, reader, writer).run()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()


class Session:
    """A connection to an instance."""

    def __init__(self, instance, reader, writer):
        self._instance = instance
        self._reader = reader
        self._writer = writer
        self._values = {}
        self._prepared = {}
        self._tx = None
        self._caller = ""

    async def run(self):
        instance = self._instance
        line = (await self._reader.readuntil(b"\r\n"))[:-2].decode("utf-8", "replace")
        fields = line.split(" ")
        if fields[0] != "START" or len(fields) < 3:
            return
        if fields[1] != instance.group.service or fields[3:] not in ([], [instance.name]):
            self._writer.write(b"ERR MISROUTED another instance\r\n")
            return
        if len(instance._writers) > instance.max_conns:
            self._writer.write(b"ERR OVERLOAD connections\r\n")
            return
        self._caller = fields[2]
        async with instance.slots:
            await asyncio.sleep(0.012)
        self._writer.write(f"READY I {self._position()}\r\n".encode())
        while True:
            line = (await self._reader.readuntil(b"\r\n"))[:-2].decode("utf-8", "replace")
            word, _, rest = line.partition(" ")
            if word != "QUERY":
                return
            id_, _, text = rest.partition(" ")
            answer = await self._execute(id_, text)
            state = "I" if self._tx is None else "T"
            self._writer.write(
                f"{answer}\r\nREADY {state} {self._position()}\r\n".encode()
            )
            await self._writer.drain()

    def _position(self):
        term, number = self._instance.position
        return f"{term}.{number}"

    async def _execute(self, id_, text):
        instance = self._instance
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            position, _, text = rest.partition(" ")
            term, number = map(int, position.split("."))
            if instance.position < (term, number):
                return "ERR LAGGING log"
            word, _, rest = text.partition(" ")
        match word:
            case "STATUS" | "DEMOTE":
                if word == "DEMOTE" and instance.role == "primary":
                    if instance.term < int(rest):
                        instance.role = "replica"
                        instance.beat()
                if word == "STATUS":
                    async with instance.slots:
                        await asyncio.sleep(0.001)
                held = f"{instance.role} {instance.term} {self._position()} 0 0 0 0"
                return f"ROW {held}\r\nDONE -"
            case "RESET":
                self._values.clear()
                self._prepared.clear()
                return "DONE -"
            case "SET":
                name, _, value = rest.partition(" ")
                self._values[name] = value
                return "DONE -"
            case "PREPARE":
                name, access, shape = rest.split(" ", 2)
                self._prepared[name] = access, shape
                return "DONE -"
            case "DEALLOC":
                self._prepared.pop(rest, None)
                return "DONE -"
            case "BEGIN":
                if rest != "READ" and instance.role != "primary":
                    return f"ERR READONLY {instance.name}"
                self._tx = (rest == "READ", instance.term, [])
                return "DONE -"
            case "ROLLBACK":
                self._tx = None
                return "DONE -"
        async with instance.slots:
            return await self._work(id_, word, rest)

    async def _work(self, id_, word, rest):
        instance = self._instance
        access = word
        if word == "EXEC":
            name, _, arguments = rest.partition(" ")
            if name not in self._prepared:
                return "ERR NOSTMT name"
            access, rest = self._prepared[name][0], arguments
        await asyncio.sleep(random.uniform(0.002, 0.012))
        lost = self._tx and not self._tx[0] and instance.term != self._tx[1]
        if self._tx and not self._tx[0]:
            lost = lost or instance.role != "primary"
        if lost and not (word == "COMMIT" and not self._tx[2]):
            return f"ERR READONLY {instance.name}"
        if access == "WRITE" and (instance.role != "primary" or (self._tx and self._tx[0])):
            return f"ERR READONLY {instance.name}"
        signature = f"{instance.name}.{id_}"
        instance.record.note(
            "run",
            instance=instance.name,
            id=id_,
            caller=self._caller,
            statement=word,
            pos=instance.position,
            values=dict(self._values),
        )
        if word == "COMMIT":
            writes = self._tx[2]
            self._tx = None
            if writes:
                entry = instance.commit(writes)
                self._note_commit(id_, entry)
        elif access == "WRITE":
            if self._tx:
                self._tx[2].append((id_, rest))
            else:
                entry = instance.commit([(id_, rest)])
                self._note_commit(id_, entry)
        elif access == "READ":
            return f"ROW {instance.position[1]}\r\nDONE {signature}"
        return f"DONE {signature}"


    def _note_commit(self, id_, entry):
        self._instance.record.note(
            "commit",
            instance=self._instance.name,
            id=id_,
            at_log=[entry.term, entry.number],
        )


# Proxies


class Proxy:
    """A proxy process, as the platform starts it."""

    def __init__(self, deployment, number, zone):
        self.zone = zone
        self.host = f"127.0.{10 + number}.1"
        self.name = f"front-{zone}-{number}"
        self._deployment = deployment
        self.process = None
        self.starts = 0

    def write_settings(self):
        dep = self._deployment
        settings = {
            "node": self.name,
            "role": "proxy",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": self.host,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen": {
                "front": f"{self.host}:{dep.ports[0]}",
                "ready": f"{self.host}:{dep.ports[1]}",
                "control": f"{self.host}:{dep.ports[2]}",
            },
            "internalPorts": [dep.ports[3], dep.ports[3] + 15],
            "seeds": [f"{p.host}:{dep.ports[2]}" for p in dep.proxies[:3]],
            "bootstrap": self.starts == 0,
            "lossCounted": False,
            "limits": {"cpuShare": 0.5, "cores": 2, "memoryMb": 300, "maxFds": 4300},
            "dataDir": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "beatIntervalMs": int(BEAT_S * 1000),
            "contracts": dep.contracts,
            "bounds": dep.bounds,
            "platform": {
                "address": dep.store.address,
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": int(HISTORY_S),
            },
            "cloudApi": {"address": dep.cloud.address, "duties": ["promotion"]},
        }
        path = dep.folder / f"{self.name}.yaml"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return path

    async def start(self):
        path = self.write_settings()
        self.starts += 1
        env = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        env["HEATHERPIER_SETTINGS"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = open(self._deployment.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self._deployment.python, "deploy/serve.py", cwd=ROOT, env=env,
            stdout=log, stderr=log,
        )
        log.close()

    def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self):
        return await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self._deployment.ports[1]), 1
            )
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 5000, "ackMs": 6000, "catchUpS": 4,
    "drainMs": 7000, "graceS": GRACE_S, "lossSlackMs": 200, "configApplyMs": 3000,
    "revertSlackMs": 250, "maxStretchMs": 15000, "recoveryS": 12,
    "fencingRequired": False, "thawSlackMs": 300,
}
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sql", "platform"]
# Kind, maximum age, timeout and latency objective of the routes of each service.
KINDS = {
    "primary": ("primary", 0, 800, 400),
    "bounded": ("bounded_staleness", 1500, 2000, 800),
    "own": ("read_own_writes", 2500, 800, 800),
}


class Deployment:
    """The whole small deployment; an asynchronous context manager."""

    def __init__(self, folder, *, services=("svc-one",), sync=0, promote_s=1.0):
        self.case = Path(folder)
        self.record = Record(self.case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.groups = {
            name: Group(name, self.record, self.store, promote_s=promote_s)
            for name in services
        }
        self.cloud = Cloud(self.record, self.groups)
        self.contracts = list(CONTRACTS)
        self.bounds = dict(BOUNDS)
        self.sync = sync
        self.version = 1
        self.python = [os.environ.get("PYTHON", "python3"), "-S"]
        self.proxies = [Proxy(self, n, zone) for n, zone in enumerate(ZONES, 1)]
        self.ports = []
        self._stamp = random.randrange(16**4)

    async def __aenter__(self):
        self.ports = free_port_everywhere([p.host for p in self.proxies], 4)
        await self.store.start()
        await self.cloud.start()
        self.write_config()
        for number, group in enumerate(self.groups.values(), 1):
            for place, zone in enumerate(ZONES):
                instance = Instance(
                    group,
                    f"i-{self._stamp:04x}{number}{place}",
                    host=f"127.0.{20 + number}.{place + 1}",
                    zone=zone,
                    role="replica" if place else "primary",
                )
                group.instances[instance.name] = instance
                group.leader = group.leader or instance.name
                await instance.start()
        for proxy in self.proxies:
            await proxy.start()
        return self

    async def __aexit__(self, *exc_info):
        for proxy in self.proxies:
            proxy.kill()
        for proxy in self.proxies:
            if proxy.process is not None:
                await proxy.wait()
        for group in self.groups.values():
            for instance in group.instances.values():
                if instance.running:
                    await instance.crash()
        await self.cloud.close()
        await self.store.close()
        self.record.close()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def write_config(self, **extra):
        routes = [
            {
                "name": f"r-{service}-{short}",
                "host": f"{service}-{short}",
                "prefix": "/",
                "kind": kind,
                "timeoutMs": timeout_ms,
                "targetLatencyMs": target_ms,
                "priority": 1,
                "service": service,
                "maxAttempts": 2,
                "maxStalenessMs": age_ms,
            }
            for service in self.groups
            for short, (kind, age_ms, timeout_ms, target_ms) in KINDS.items()
        ]
        body = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": name, "maxConns": 22, "syncReplicas": self.sync}
                for name in self.groups
            ],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000,
            },
            **extra,
        }
        self.store.write("op", "config", json.dumps(body).encode())
        self.version += 3

    async def wait_until_ready(self, limit_s=20.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if all([await proxy.is_ready() for proxy in self.proxies]):
                return True
            await asyncio.sleep(0.2)
        return False


# Clients


class ClosedError(Exception):
    """The connection ended without a whole answer."""


class Client:
    """One client connection."""

    def __init__(self, record, proxy_host, port, name="c"):
        self.record = record
        self._address = proxy_host, port
        self.name = name
        self.state = "I"
        self._reader = self._writer = None

    async def open(self, database, key="", limit_s=2.0):
        """Returns None once the session is open, or the code of the refusal."""
        self._reader, self._writer = await asyncio.wait_for(
            asyncio.open_connection(*self._address), limit_s
        )
        self._writer.write(f"START {database} {key}".rstrip().encode() + b"\r\n")
        line = await self._line(limit_s)
        if line.startswith("READY "):
            return None
        return line.split(" ")[1]

    async def _line(self, limit_s):
        try:
            data = await asyncio.wait_for(self._reader.readuntil(b"\r\n"), limit_s)
        except (asyncio.IncompleteReadError, ConnectionError) as exc:
            raise ClosedError(type(exc).__name__) from exc
        return data[:-2].decode("utf-8", "replace")

    async def query(self, text, limit_s=5.0):
        """Returns id, outcome (DONE or a code), rows and signature of a statement."""
        id_ = f"{random.getrandbits(64):016x}"
        self.record.note("sent", client=self.name, id=id_, text=text)
        self._writer.write(f"QUERY {id_} {text}\r\n".encode())
        rows = []
        outcome = signature = ""
        try:
            while True:
                line = await self._line(limit_s)
                word, _, rest = line.partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word == "DONE":
                    outcome, signature = "DONE", rest
                elif word == "ERR":
                    outcome, signature = rest.split(" ", 1)[0], rest
                elif word == "READY":
                    self.state = rest.split(" ")[0]
                    break
        except (ClosedError, TimeoutError) as exc:
            outcome = "CLOSED" if isinstance(exc, ClosedError) else "NONE"
            self.record.note("answered", client=self.name, id=id_, outcome=outcome)
            raise ClosedError(outcome) from exc
        self.record.note(
            "answered", client=self.name, id=id_, outcome=outcome, detail=signature
        )
        return id_, outcome, rows, signature

    def close(self):
        if self._writer is not None:
            self._writer.transport.abort()


@dataclass
class Tally:
    """Operations that clients sent, with how they ended: (sent at, kind, outcome)."""

    items: list = field(default_factory=list)

    def share(self, begin, end, kind=None):
        found = [o for at, k, o in self.items if begin <= at < end and kind in (None, k)]
        return len(found), sum(o == "DONE" for o in found)


async def one_operation(deployment, proxy, database, statement, name, key=""):
    """Opens a session for one statement; returns how it ended."""
    client = Client(deployment.record, proxy.host, deployment.ports[0], name)
    try:
        refusal = await client.open(database, key)
        if refusal is not None:
            return refusal
        return (await client.query(statement))[1]
    except (ClosedError, OSError, TimeoutError) as exc:
        return f"CLOSED {exc}"
    finally:
        client.close()


async def load(deployment, proxy, tally, *, per_s, stop, mix=None):
    """Sends operations at a rate until stopped; every one is tried once.

    The mix follows the users' sheets: 15% for `primary`, 15% for `bounded_staleness` and
    70% for `read_own_writes`, with their shares of writes.
    """
    record = deployment.record
    tasks = set()
    mix = mix or [("primary", 0.35, 15), ("bounded", 0.0, 15), ("own", 0.12, 70)]
    services = list(deployment.groups)

    async def operate():
        kind, writes, _ = random.choices(mix, [item[2] for item in mix])[0]
        database = f"{random.choice(services)}-{kind}"
        item = f"{random.randrange(2000):x}"
        text = f"READ {item}"
        if random.random() < writes:
            text = f"WRITE {item} {random.getrandbits(32):08x}"
        at = record.now()
        outcome = await one_operation(
            deployment, proxy, database, text, f"{proxy.name} {kind}"
        )
        tally.items.append((at, kind, outcome))

    while not stop.is_set():
        task = asyncio.create_task(operate())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(per_s))
    await asyncio.gather(*tasks)


# A server that is no instance of the deployment

COPY = "i-test-copy"
# By kind of route: a read has to see what was acknowledged longer ago than this, in
# seconds.
MAX_AGE_S = {"primary": 0.0, "bounded": 1.5, "own": 2.5}


class TestCopy(Instance):
    """A copy of the service from an old backup, which was promoted for tests.

    It is no instance of the deployment: the platform does not know it, and nothing is
    replicated to it. It answers by the line protocol, by the position of its own log.
    """

    def beat(self):
        return


def judge(path):
    """Returns stale reads, and the acknowledged writes that only the copy has.

    A stale read was answered with success by the copy, which lacks every commit of the
    service. It is given with the last commit that its route obliges it to see.
    """
    sent, answered, commits = {}, {}, {}
    for line in path.read_text(encoding="utf-8").splitlines():
        item = json.loads(line)
        match item["event"]:
            case "sent":
                sent[item["id"]] = item
            case "answered" if item["outcome"] == "DONE":
                answered[item["id"]] = item
            case "commit":
                commits[item["id"]] = item["instance"]
    kept = [
        (answered[id_]["at"], id_)
        for id_, instance in commits.items()
        if id_ in answered and instance != COPY
    ]
    misplaced = [id_ for id_ in commits if id_ in answered and commits[id_] == COPY]
    stale = []
    for id_, answer in answered.items():
        kind = sent[id_]["client"].rpartition(" ")[2]
        is_read = sent[id_]["text"].startswith("READ ")
        if not is_read or answer["detail"] != f"{COPY}.{id_}":
            continue
        due = [item for item in kept if item[0] < sent[id_]["at"] - MAX_AGE_S[kind]]
        if due:
            stale.append((id_, kind, sent[id_]["at"], max(due)))
    return stale, misplaced


async def run_copy_case(folder, write_entries, trouble, *, before_s=8.0, measured_s=40.0):
    """Runs a deployment beside a test copy that somebody registers; returns the code.

    Args:
        folder: Folder of the case.
        write_entries: Coroutine function that registers the copy until it is cancelled.
        trouble: Whether the copy is registered.
    """
    folder = Path(folder)
    async with Deployment(folder) as dep:
        service = next(iter(dep.groups))
        test_group = Group(service, dep.record, dep.store)
        test_group.term = 4
        copy = TestCopy(
            test_group, COPY, host="127.0.40.1", zone="north-a", role="primary"
        )
        copy.log = [Entry(3, 1, ()), Entry(4, 90000, ())]
        await copy.start()
        if not await dep.wait_until_ready():
            return 2
        tally, stop = Tally(), asyncio.Event()
        loads = [
            asyncio.create_task(load(dep, proxy, tally, per_s=12, stop=stop))
            for proxy in dep.proxies
        ]
        await asyncio.sleep(before_s)
        writer = asyncio.create_task(write_entries(dep, copy)) if trouble else None
        await asyncio.sleep(measured_s)
        stop.set()
        if writer is not None:
            writer.cancel()
        await asyncio.gather(*loads)
        await copy.crash()
        served = sum(outcome == "DONE" for _, _, outcome in tally.items)
        if not served:
            return 2
    stale, misplaced = judge(folder / "record.txt")
    print(
        f"{len(tally.items)} operations, {served} served; {len(stale)} stale reads,"
        f" {len(misplaced)} acknowledged writes that no instance has"
    )
    for id_, kind, at, (acked_at, commit) in stale[:3]:
        print(
            f"read {id_} ({kind}) sent at {at:.3f} s ran on {COPY}, whose log lacks"
            f" commit {commit}, acknowledged at {acked_at:.3f} s"
        )
    return 1 if stale else 0


def run_case(main):
    """Runs a case and exits with its code: 1 broken, 0 held, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        code = asyncio.run(main(trouble))
    except Exception as exc:
        print(f"could not run: {type(exc).__name__}: {exc}")
        code = 2
    sys.exit(code)
