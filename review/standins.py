"""Stand-ins for a small deployment: store, promotions, instances, platform and clients.

They use the standard library alone and follow PROTOCOL.md and DEPLOY.md. The proxies
are the project's own program, started with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
ZONES = {"taipei-a": "taipei", "taichung-a": "taichung", "kaohsiung-a": "kaohsiung"}
BEAT_S = 1.2
STORE_ANSWER_S = 0.004


def now():
    """Returns monotonic time in seconds."""
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = open(path, "w")
        self.began = now()
        self.lines = []

    def __call__(self, event, **fields):
        line = {"t": round(now() - self.began, 4), "event": event, **fields}
        self.lines.append(line)
        self._file.write(json.dumps(line) + "\n")

    def close(self):
        self._file.close()


def free_ports(hosts, count):
    """Returns `count` adjacent ports that are free on all hosts."""
    for _ in range(200):
        base = random.randrange(20000, 60000 - count)
        socks = []
        try:
            for host in hosts:
                for port in range(base, base + count):
                    sock = socket.socket()
                    socks.append(sock)
                    sock.bind((host, port))
            return list(range(base, base + count))
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
    raise RuntimeError("no free ports")


# The platform's store and the promotions ----------------------------------------------


class Http:
    """A small HTTP/1.1 server with keep-alive."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        return self._server.sockets[0].getsockname()[1]

    def close(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.split("\r\n")
                method, target, _ = first.split(" ")
                headers = {}
                for line in lines:
                    name, colon, value = line.partition(":")
                    if colon:
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, answer, extra = await self._handle(method, target, headers, body)
                data = json.dumps(answer).encode()
                lines = [f"HTTP/1.1 {status} X", "Content-Type: application/json"]
                lines += [f"{name}: {value}" for name, value in extra.items()]
                lines += [f"Content-Length: {len(data)}", "", ""]
                writer.write("\r\n".join(lines).encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            # The caller has gone, or this stand-in ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's store in its table form."""

    def __init__(self, record):
        self.record = record
        self.version = 0
        self.rows = {}
        self.history = []
        self._changed = asyncio.Event()
        self._http = Http(self._handle)

    async def start(self, host):
        return await self._http.start(host)

    def close(self):
        self._http.close()

    def put(self, table, key, value):
        """Writes a row (None deletes it), as operator and instances do."""
        self.version += 1
        self._apply(table, key, value)
        self._wake()

    def _apply(self, table, key, value):
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (self.version, value)
        self.history.append((self.version, table, key, value))

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _state(self, **fields):
        return {"ver": self.version, "nowMs": now() * 1000, **fields}

    @staticmethod
    def _row(table, key, version, value):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return row | {"tombstone": True}
        return row | {"value": base64.b64encode(value).decode()}

    async def _handle(self, method, target, headers, body):
        from urllib.parse import parse_qsl, urlsplit

        url = urlsplit(target)
        query = dict(parse_qsl(url.query))
        await asyncio.sleep(STORE_ANSWER_S)
        if url.path == "/rows-tx":
            status, answer = self._commit(json.loads(body))
        elif url.path == "/rows-get":
            status, answer = 200, self._get(query)
        elif url.path == "/rows-feed":
            status, answer = 200, await self._feed(query)
        else:
            status, answer = 404, {}
        return status, answer, {}

    def _commit(self, change):
        current = []
        for row in change.get("precondition", []):
            version = self.rows.get((row["table"], row["key"]), (0, b""))[0]
            if version != row["ver"]:
                current.append(row | {"ver": version})
        if current:
            return 412, self._state(rows=current)
        self.version += 1
        for row in change.get("writes", []):
            self._apply(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in change.get("deletes", []):
            self._apply(row["table"], row["key"], None)
        self._wake()
        return 200, self._state()

    def _get(self, query):
        start, end = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", 500)), 500)
        found = sorted(
            (key, *row)
            for (table, key), row in self.rows.items()
            if table == query["table"] and key >= start and (end is None or key < end)
        )
        rows = [self._row(query["table"], *item) for item in found[:limit]]
        return self._state(rows=rows, truncated=len(found) > limit)

    async def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        until = now() + min(int(query["waitMs"]), 30000) / 1000
        while True:
            newest = {}
            for version, item_table, key, value in self.history:
                if item_table == table and version > after:
                    newest[key] = (version, value)
            rows = [
                self._row(table, key, *item)
                for key, item in sorted(newest.items(), key=lambda item: item[1][0])
            ]
            left = until - now()
            if rows or left <= 0:
                return self._state(rows=rows)
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Promotions:
    """The platform's interface for singleton duties; it does not check the fence."""

    def __init__(self, record, groups):
        self.record = record
        self.groups = groups
        self._http = Http(self._handle)

    async def start(self, host):
        return await self._http.start(host)

    def close(self):
        self._http.close()

    async def _handle(self, method, target, headers, body):
        request = json.loads(body)
        group = self.groups[request["service"]]
        self.record(
            "promotion",
            service=request["service"],
            id=request["id"],
            holder=headers.get("x-duty-holder"),
            token=headers.get("x-fence-token"),
        )
        instance = group.instances.get(request["id"])
        if instance is None or not instance.running:
            return 409, {}, {}
        if not instance.leads:
            asyncio.get_running_loop().call_later(
                group.promote_s, group.promote, instance
            )
        return 200, {}, {}


# Instances -----------------------------------------------------------------------------


class Instance:
    """One database instance; its log is a list of (term, number, item, data)."""

    def __init__(self, group, name, zone, *, leads=False):
        self.group = group
        self.name = name
        self.zone = zone
        self.leads = leads
        self.term = 1
        self.log = []
        self.applied = 0
        self.state = "ready"
        self.running = True
        self.born = int(time.time() * 1000)
        self.seq_no = 0
        self.beat_at = now()
        self.deaf = False
        self.cut_from_store = False
        self.port = 0
        self.connections = 0
        self.slots = asyncio.Semaphore(group.slots)
        self.queued = 0
        self._server = None
        self._writers = set()
        self._signatures = 0

    @property
    def received(self):
        return self.log[-1][:2] if self.log else (self.term if self.leads else 1, 0)

    @property
    def visible(self):
        if self.leads:
            return self.received
        return self.log[self.applied - 1][:2] if self.applied else (1, 0)

    async def start(self, host, port=0):
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        self.running = False
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self):
        self.seq_no += 1
        return json.dumps(
            {
                "service": self.group.service,
                "address": f"{self.group.host}:{self.port}",
                "zone": self.zone,
                "version": "1",
                "slots": self.group.slots,
                "state": self.state,
                "coldLeftMs": 0,
                "seqNo": self.seq_no,
                "dbRole": "primary" if self.leads else "replica",
                "born": self.born,
            }
        ).encode()

    def read(self, item):
        length = len(self.log) if self.leads else self.applied
        for term, number, key, data in reversed(self.log[:length]):
            if key == item:
                return data
        return "-"

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self.connections += 1
        try:
            await Session(self, reader, writer).run()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            # The proxy has gone, or this stand-in ends.
            pass
        finally:
            self.connections -= 1
            self._writers.discard(writer)
            writer.transport.abort()


class Session:
    """One connection to an instance."""

    def __init__(self, instance, reader, writer):
        self.instance = instance
        self.group = instance.group
        self.reader = reader
        self.writer = writer
        self.values = {}
        self.prepared = {}
        self.tx = None  # None, "rw" or "ro"
        self.failed = False
        self.term = 0
        self.writes = []

    def _send(self, *lines):
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode("latin-1"))

    async def run(self):
        instance = self.instance
        line = (await self.reader.readuntil(b"\r\n")).decode("latin-1")[:-2]
        word, *fields = line.split(" ")
        wrong = len(fields) < 2 or fields[0] != self.group.service
        if word != "START" or wrong or fields[2:3] not in ([], [instance.name]):
            self._send(f"ERR MISROUTED {instance.name}")
            return
        if instance.connections > self.group.max_conns:
            self._send(f"ERR OVERLOAD {instance.name}")
            return
        async with instance.slots:
            await asyncio.sleep(self.group.handshake_s)
        self._ready()
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode("latin-1")[:-2]
            word, _, rest = line.partition(" ")
            if word == "BYE":
                return
            id_, _, text = rest.partition(" ")
            lines = await self._execute(id_, text)
            self._send(*lines)
            self._ready()

    def _ready(self):
        state = "I" if self.tx is None else "E" if self.failed else "T"
        term, number = self.instance.visible
        self._send(f"READY {state} {term}.{number}")

    def _status(self):
        item = self.instance
        role = "primary" if item.leads else "replica"
        term, number = item.received
        row = f"ROW {role} {item.term} {term}.{number} 0 0 {item.queued} {item.connections}"
        return [row, "DONE -"]

    async def _execute(self, id_, text):
        instance = self.instance
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            position, _, text = rest.partition(" ")
            need = tuple(int(part) for part in position.split("."))
            if not self._includes(need):
                return [f"ERR LAGGING {instance.name}"]
            word, _, rest = text.partition(" ")
        if word == "STATUS":
            return self._status()
        if word == "DEMOTE":
            if instance.leads and instance.term < int(rest):
                instance.leads = False
                self.group.changed(instance)
            return self._status()
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return ["DONE -"]
        if word == "PREPARE":
            name, _, rest = rest.partition(" ")
            self.prepared[name] = rest
            return ["DONE -"]
        if word == "DEALLOC":
            self.prepared.pop(rest, None)
            return ["DONE -"]
        if word == "RESET":
            self.values, self.prepared = {}, {}
            return ["DONE -"]
        if word == "BEGIN":
            if not rest and not instance.leads:
                return [f"ERR READONLY {instance.name}"]
            self.tx, self.failed, self.writes = "ro" if rest else "rw", False, []
            self.term = instance.term
            return ["DONE -"]
        if word == "ROLLBACK":
            self.tx, self.writes = None, []
            return ["DONE -"]
        if word == "EXEC":
            name, _, arguments = rest.partition(" ")
            shape = self.prepared.get(name)
            if shape is None:
                return [f"ERR NOSTMT {name}"]
            word, rest = shape.split(" ")[0], arguments
        if word not in ("READ", "WRITE", "COMMIT"):
            return ["ERR MALFORMED"]
        return await self._work(id_, word, rest)

    def _includes(self, need):
        length = len(self.instance.log) if self.instance.leads else self.instance.applied
        if need[1] == 0:
            return True
        return any(item[:2] == need for item in self.instance.log[:length])

    async def _work(self, id_, word, rest):
        instance, group = self.instance, self.group
        if instance.queued >= group.slots + group.queue:
            return [f"ERR BUSY {instance.name}"]
        lost_lead = not instance.leads or (self.tx and instance.term != self.term)
        wants_lead = self.tx == "rw" or (self.tx is None and word == "WRITE")
        if wants_lead and lost_lead and not (word == "COMMIT" and not self.writes):
            self.failed = self.tx is not None
            return [f"ERR READONLY {instance.name}"]
        instance.queued += 1
        try:
            async with instance.slots:
                began = now()
                group.record(
                    "run", id=id_, instance=instance.name, word=word, tx=bool(self.tx)
                )
                await asyncio.sleep(group.work_s(instance, word, rest))
        finally:
            instance.queued -= 1
        rows = []
        if word == "READ":
            rows = [f"ROW {instance.read(rest.split(' ')[0])}"]
        elif word == "WRITE":
            item, _, data = rest.partition(" ")
            self.writes.append((item, data))
        if word == "COMMIT" or (word == "WRITE" and self.tx is None):
            if self.writes:
                await group.commit(instance, self.writes)
            self.writes, self.tx = [], None
        instance._signatures += 1
        group.record(
            "ran",
            id=id_,
            instance=instance.name,
            word=word,
            ms=round((now() - began) * 1000),
            position="%d.%d" % instance.visible,
        )
        return [*rows, f"DONE {instance.name}.{instance._signatures:x}"]


class Group:
    """A service: one primary and its replicas."""

    def __init__(self, service, record, store, *, work_s, promote_s=0.3, lag_s=0.008):
        self.service = service
        self.record = record
        self.store = store
        self.host = "127.0.0.1"
        self.slots = 3
        self.queue = 24
        self.max_conns = 41
        self.handshake_s = 0.012
        self.promote_s = promote_s
        self.lag_s = lag_s
        self.work_s = work_s
        # Replicas that must have received a commit before it is acknowledged.
        self.sync_replicas = 0
        self.instances = {}
        # Name and log of each instance that was promoted, at that time.
        self.promoted = []
        self._tasks = []
        for number, zone in enumerate(ZONES):
            name = f"i-{service}{number}"
            self.instances[name] = Instance(self, name, zone, leads=number == 0)

    async def start(self):
        for instance in self.instances.values():
            await instance.start(self.host)
            self.changed(instance)
            self._tasks.append(asyncio.create_task(self._beat(instance)))

    def close(self):
        for task in self._tasks:
            task.cancel()
        for instance in self.instances.values():
            instance.stop()

    def changed(self, instance):
        instance.beat_at = now()
        self.store.put("servers", instance.name, instance.entry())

    async def _beat(self, instance):
        while True:
            await asyncio.sleep(BEAT_S)
            if instance.running and not instance.cut_from_store:
                self.changed(instance)

    async def cut_from_store(self, instance, for_s):
        """Partitions an instance from the store alone, just after a heartbeat."""
        self.changed(instance)
        instance.cut_from_store = True
        self.record("instance cut from the store", id=instance.name, for_s=for_s)
        lapse_s = 3 * BEAT_S
        await asyncio.sleep(min(lapse_s, for_s))
        if lapse_s < for_s:
            self._drop_entry(instance)
        await asyncio.sleep(max(for_s - lapse_s, 0))
        instance.cut_from_store = False
        self.changed(instance)
        self.record(
            "instance reaches the store again", id=instance.name, leads=instance.leads
        )

    def lose(self, instance):
        """Loses an instance for good; its entry goes after three beats of silence."""
        silent_s = now() - instance.beat_at
        instance.stop()
        self.record("instance lost for good", id=instance.name, primary=instance.leads)
        asyncio.get_running_loop().call_later(
            max(3 * BEAT_S - silent_s, 0), self._drop_entry, instance
        )

    def _drop_entry(self, instance):
        self.record("entry removed", id=instance.name)
        self.store.put("servers", instance.name, None)

    async def commit(self, primary, writes):
        """Commits writes, and waits for the synchronous replicas."""
        self.append(primary, writes)
        position = primary.received
        while self.sync_replicas:
            if not primary.running:
                raise ConnectionError("the instance has crashed")
            holders = [
                item
                for item in self.instances.values()
                if item is not primary and item.running and item.received >= position
            ]
            if len(holders) >= self.sync_replicas:
                return
            await asyncio.sleep(0.002)

    async def crash(self, instance, for_s):
        """Crashes an instance, which comes back with its log."""
        silent_s = now() - instance.beat_at
        led, port = instance.leads, instance.port
        instance.stop()
        self.record("instance crashed", id=instance.name, primary=led, for_s=for_s)
        lapse_s = max(3 * BEAT_S - silent_s, 0)
        await asyncio.sleep(min(lapse_s, for_s))
        if lapse_s < for_s:
            self._drop_entry(instance)
        await asyncio.sleep(max(for_s - lapse_s, 0))
        instance.running = True
        leader = max(
            (item for item in self.instances.values() if item.leads and item.running),
            key=lambda item: item.term,
        )
        await instance.start(self.host, port)
        if leader is not instance:
            instance.leads = False
            instance.term = leader.term
            instance.log = list(leader.log)
            instance.applied = len(instance.log)
        self.record("instance is back", id=instance.name, leads=instance.leads)
        self.changed(instance)

    def append(self, primary, writes):
        number = primary.received[1]
        for item, data in writes:
            number += 1
            primary.log.append((primary.term, number, item, data))
        primary.applied = len(primary.log)
        loop = asyncio.get_running_loop()
        for other in self.instances.values():
            if other is not primary and not other.leads and other.term == primary.term:
                loop.call_later(self.lag_s, self._replicate, primary, other)

    def _replicate(self, primary, other):
        if other.running and not other.deaf and other.term == primary.term:
            other.log = list(primary.log)
            other.applied = len(other.log)

    def promote(self, instance):
        if not instance.running or instance.leads:
            return
        term = max(item.term for item in self.instances.values()) + 1
        old = [item for item in self.instances.values() if item.leads]
        instance.term, instance.leads = term, True
        self.promoted.append((instance.name, list(instance.log)))
        self.record(
            "promoted",
            service=self.service,
            id=instance.name,
            term=term,
            entries=len(instance.log),
        )
        self.changed(instance)
        for other in self.instances.values():
            if other is instance:
                continue
            if other in old:
                asyncio.get_running_loop().call_later(
                    1.0, self._follow, other, instance
                )
            else:
                self._follow(other, instance)

    def _follow(self, other, instance):
        if not instance.leads or other.term >= instance.term:
            return
        was_leading, other.leads, other.term = other.leads, False, instance.term
        other.log = list(instance.log)
        other.applied = len(other.log)
        if was_leading:
            self.changed(other)


# Proxies -------------------------------------------------------------------------------


class Proxy:
    """A process of the project on its own loopback address."""

    def __init__(self, deployment, number):
        self.name = f"front-{number + 1}"
        self.ip = f"127.0.3.{number + 1}"
        self.zone = list(ZONES)[number % len(ZONES)]
        self.deployment = deployment
        self.process = None
        self.ready = False
        self.settings = deployment.folder / f"{self.name}.yaml"

    def write_settings(self):
        item = self.deployment
        front, ready, control, *internal = item.ports
        cfg = {
            "node": self.name,
            "role": "proxy",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": self.ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen": {
                "front": f"{self.ip}:{front}",
                "ready": f"{self.ip}:{ready}",
                "control": f"{self.ip}:{control}",
            },
            "internalPorts": [internal[0], internal[-1]],
            "seeds": [f"{other.ip}:{control}" for other in item.proxies[:3]],
            "bootstrap": True,
            "lossCounted": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 430,
                "maxFds": 6450,
                "linkMbps": 1500.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "beatIntervalMs": int(BEAT_S * 1000),
            "contracts": [
                "base", "drain", "config", "cost", "recover", "sql", "platform",
            ],
            "tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": f"127.0.0.1:{item.store_port}",
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
            },
            "cloudApi": {
                "address": f"127.0.0.1:{item.promotion_port}",
                "ratePerS": 50.0,
                "duties": ["promotion"],
                "dutyPerS": 50.0,
            },
        }
        # JSON is YAML, too.
        self.settings.write_text(json.dumps(cfg))

    async def start(self):
        self.write_settings()
        env = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        env["HEATHERPIER_SETTINGS"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.settings.with_suffix(".log"), "ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-S", "deploy/serve.py",
                cwd=ROOT, env=env, stdout=output, stderr=output,
            )
        self.deployment.record("process started", proxy=self.name)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.deployment.record(
                "signal", proxy=self.name, signal=signal.Signals(number).name
            )

    async def probe(self):
        """Asks for readiness each second, as the platform does."""
        port = self.deployment.ports[1]
        while True:
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(self.ip, port)
                    writer.write(
                        f"GET /readiness HTTP/1.1\r\nHost: {self.ip}\r\n"
                        "Connection: close\r\n\r\n".encode()
                    )
                    status = (await reader.readline()).split()
                    writer.transport.abort()
                    self.ready = status[1:2] == [b"200"]
            except (OSError, TimeoutError):
                self.ready = False
            await asyncio.sleep(1.0)


BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableWindowMs": 5000,
    "ackMs": 6000,
    "catchUpS": 4,
    "drainMs": 7000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "revertSlackMs": 250,
    "maxStretchMs": 15000,
    "recoveryS": 12,
    "fencingRequired": False,
    "thawSlackMs": 300,
}


class Deployment:
    """Store, promotions, instances and proxies."""

    def __init__(self, record, *, proxies=4, services=("claims",), **group):
        self.record = record
        self._temp = tempfile.TemporaryDirectory()
        self.folder = Path(self._temp.name)
        self.store = Store(record)
        self.groups = {
            name: Group(name, record, self.store, **group) for name in services
        }
        self.promotions = Promotions(record, self.groups)
        self.proxies = []
        self.proxies += [Proxy(self, number) for number in range(proxies)]
        self.routes = []
        self._tasks = []

    async def __aenter__(self):
        self.store_port = await self.store.start("127.0.0.1")
        self.promotion_port = await self.promotions.start("127.0.0.1")
        self.ports = free_ports([proxy.ip for proxy in self.proxies], 8)
        for group in self.groups.values():
            await group.start()
        services = [
            {"name": name, "maxConns": group.max_conns, "syncReplicas": group.sync_replicas}
            for name, group in self.groups.items()
        ]
        limits = {
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 60000,
            "txIdleMs": 5000,
        }
        cfg = {"version": 3, "routes": self.routes, "services": services, "limits": limits}
        self.store.put("op", "config", json.dumps(cfg).encode())
        for proxy in self.proxies:
            await proxy.start()
            self._tasks.append(asyncio.create_task(proxy.probe()))
        return self

    def route(self, host, kind, service="claims", *, timeout_ms, staleness_ms=0):
        self.routes.append(
            {
                "name": f"r-{host}",
                "host": host,
                "kind": kind,
                "service": service,
                "timeoutMs": timeout_ms,
                "targetLatencyMs": 800,
                "maxStalenessMs": staleness_ms,
                "priority": 1,
            }
        )

    async def wait_ready(self, limit_s=25.0):
        until = now() + limit_s
        while not all(proxy.ready for proxy in self.proxies):
            if now() > until:
                raise CannotRun("the proxies did not become ready")
            await asyncio.sleep(0.1)

    async def __aexit__(self, *exc_info):
        for task in self._tasks:
            task.cancel()
        for proxy in self.proxies:
            if proxy.process is not None:
                proxy.signal(signal.SIGCONT)
                proxy.signal(signal.SIGKILL)
                await proxy.process.wait()
        for group in self.groups.values():
            group.close()
        self.promotions.close()
        self.store.close()
        if keep := os.environ.get("KEEP_LOGS"):
            import shutil

            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        self._temp.cleanup()


class CannotRun(Exception):
    """The case can't run here."""


# Clients -------------------------------------------------------------------------------

_ids = iter(range(1, 1 << 40))


class Request:
    """One statement of a client, its answer and how its connection ended."""

    def __init__(self, session, text):
        self.id = f"{next(_ids):016x}"
        self.session = session
        self.text = text
        self.sent_at = None
        self.answered_at = None
        self.closed_at = None
        self.rows = []
        self.answer = ""
        self.state = ""

    @property
    def done(self):
        return self.answer.startswith("DONE")


class Closed(Exception):
    """The proxy has closed the connection."""


class Client:
    """A client's session with one proxy."""

    def __init__(self, deployment, proxy, database):
        self.deployment = deployment
        self.proxy = proxy
        self.database = database
        self.requests = []
        self._reader = self._writer = None

    async def open(self):
        port = self.deployment.ports[0]
        self._reader, self._writer = await asyncio.open_connection(self.proxy.ip, port)
        self._writer.write(f"START {self.database}\r\n".encode())
        line = await self._line()
        if not line.startswith("READY"):
            raise Closed(line)
        return self

    async def _line(self):
        try:
            return (await self._reader.readuntil(b"\r\n")).decode("latin-1")[:-2]
        except (asyncio.IncompleteReadError, OSError) as exc:
            raise Closed(str(exc)) from exc

    async def query(self, text):
        record = self.deployment.record
        request = Request(self, text)
        self.requests.append(request)
        request.sent_at = now()
        record("sent", id=request.id, proxy=self.proxy.name, text=text)
        try:
            self._writer.write(f"QUERY {request.id} {text}\r\n".encode("latin-1"))
            while True:
                line = await self._line()
                word, _, rest = line.partition(" ")
                if word == "ROW":
                    request.rows.append(rest)
                elif word == "READY":
                    request.state, request.position = (rest + " -").split(" ")[:2]
                    request.answered_at = now()
                    record("answered", id=request.id, answer=request.answer, ready=rest)
                    return request
                else:
                    request.answer = line
        except (Closed, OSError):
            request.closed_at = now()
            record("closed without answer", id=request.id)
            raise Closed(request.id) from None

    def close(self):
        if self._writer is not None:
            self._writer.transport.abort()


async def call_in_turns(deployment, number, log, stop):
    """Sends single statements to the proxies and routes in turn until `stop` is set.

    Args:
        deployment: The deployment.
        number: Number of the caller.
        log: Gets the time and the success of each request.
        stop: Ends the calls.
    """
    texts = ("READ k1", "WRITE k1 v", "READ k2")
    turn = number
    while not stop.is_set():
        turn += 1
        proxy = deployment.proxies[turn % len(deployment.proxies)]
        route = deployment.routes[turn % len(deployment.routes)]
        client = Client(deployment, proxy, route["host"])
        sent = now()
        served = False
        try:
            async with asyncio.timeout(8.0):
                await client.open()
                request = await client.query(texts[turn % len(texts)])
            served = request.done
        except (OSError, Closed, TimeoutError):
            # It counts as not served.
            pass
        finally:
            client.close()
        log.append((sent, served))
        await asyncio.sleep(0.1)


def share_served(log, since, until):
    """Returns the share of the requests that were served, and their number."""
    found = [served for sent, served in log if since <= sent < until]
    return (sum(found) / len(found) if found else 0.0), len(found)


def judge_recovery(record, log, *, began, fault_at, back_at):
    """Returns what broke the rule RECOVER."""
    recovery_s = BOUNDS["recoveryS"]
    before, count = share_served(log, began, fault_at)
    after, measured = share_served(log, back_at + recovery_s, now() - 1.0)
    record("result", before=before, sent_before=count, after=after, sent_after=measured)
    print(f"served before the fault: {before:.2f} of {count}")
    print(f"served later than {recovery_s} s after it: {after:.2f} of {measured}")
    if before >= 0.25 and after < 0.25:
        return [f"RECOVER: {after:.2f} of {measured} requests are served"]
    return []


def main(case):
    """Runs a case and exits with 0 (held), 1 (broken) or 2 (can't run).

    Args:
        case: Coroutine function that takes the record and whether there is trouble,
            and returns the list of what broke the rule.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except (CannotRun, OSError, TimeoutError, asyncio.TimeoutError) as exc:
        print(f"could not run: {type(exc).__name__} {exc}")
        sys.exit(2)
    finally:
        record.close()
    for line in broken:
        print(line)
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
