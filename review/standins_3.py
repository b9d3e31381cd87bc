"""Stand-ins for the platform's store, promotions, instances and clients.

Only the standard library is used. All of them run in the process of a script; the
proxies run as separate processes with the command of the deploy file. Every address is a
loopback address.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
PROMOTE_S = 0.3
HANDSHAKE_S = 0.005
BEAT_S = 1.2
ZONES = {"north-a": "north", "central-a": "central", "south-a": "south"}


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run, with times since the start."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._began = now()

    def note(self, *words):
        line = f"{now() - self._began:9.3f} " + " ".join(map(str, words))
        self._file.write(line + "\n")
        self._file.flush()

    def close(self):
        self._file.close()


def free_base(ports):
    """Returns the first three numbers of a loopback network with these ports free."""
    for step in range(1, 200):
        base = f"127.{(os.getpid() + step) % 200 + 20}.{(os.getpid() // 200 + step) % 250}"
        try:
            for last in (*range(1, 20), 100, 200):
                for port in ports:
                    with socket.socket() as sock:
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        sock.bind((f"{base}.{last}", port))
        except OSError:
            continue
        return base
    raise OSError("no free loopback network")


class Store:
    """The platform's store and its promotions, by HTTP."""

    def __init__(self, record):
        self.record = record
        self.tables = {}
        self.history = []
        self.ver = 0
        self.changed = asyncio.Event()
        # Promotions that lose an acknowledged commit, by the rule LOST.
        self.groups = {}
        self.highest_token = {}
        self.lower_tokens = []

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _apply(self, table, part, key, value):
        rows = self.tables.setdefault(table, {})
        if value is None:
            rows.pop((part, key), None)
            row = {"table": table, "part": part, "key": key, "ver": self.ver, "tombstone": True}
        else:
            row = {"table": table, "part": part, "key": key, "ver": self.ver, "value": value}
            rows[(part, key)] = row
        self.history.append(row)

    def put(self, table, key, body):
        """Writes a row as the operator or an instance does; None removes it."""
        self.ver += 1
        value = None if body is None else base64.b64encode(json.dumps(body).encode()).decode()
        self._apply(table, "", key, value)
        self._notify()
        return self.ver

    def _answer(self, **fields):
        return 200, {**fields, "ver": self.ver, "nowMs": now() * 1000}

    async def handle(self, method, path, query, body, headers):
        match (method, path):
            case ("GET", "/rows-get"):
                rows = self.tables.get(query["table"], {})
                first, limit = query.get("from", ""), int(query.get("limit", 500))
                found = sorted(
                    (row for (part, key), row in rows.items()
                     if part == query.get("part", "") and key >= first),
                    key=lambda row: row["key"].encode(),
                )
                return self._answer(rows=found[:limit], truncated=len(found) > limit)
            case ("GET", "/rows-feed"):
                after, until = int(query["after"]), now() + int(query["waitMs"]) / 1000
                while True:
                    rows = [row for row in self.history
                            if row["table"] == query["table"] and row["ver"] > after]
                    left = until - now()
                    if rows or left <= 0:
                        return self._answer(rows=rows)
                    await asyncio.wait({asyncio.ensure_future(self.changed.wait())}, timeout=left)
            case ("POST", "/rows-tx"):
                return await self._commit(json.loads(body))
            case ("POST", "/promotion"):
                req = json.loads(body)
                token = int(headers["x-fence-token"])
                holder = headers["x-duty-holder"]
                self.record.note("promotion", req["service"], req["id"], holder, token)
                if token < self.highest_token.get(req["service"], 0):
                    self.lower_tokens.append((req["service"], holder, token))
                self.highest_token[req["service"]] = max(
                    token, self.highest_token.get(req["service"], 0)
                )
                return self.groups[req["service"]].request_promotion(req["id"])
        return 404, {}

    async def _commit(self, change):
        await asyncio.sleep(0.003)
        current = []
        conflict = False
        for row in change.get("precondition", ()):
            known = self.tables.get(row["table"], {}).get((row.get("part", ""), row["key"]))
            if known is not None:
                current.append(known)
            conflict |= (known["ver"] if known else 0) != row["ver"]
        if conflict:
            return 412, {"rows": current, "ver": self.ver, "nowMs": now() * 1000}
        self.ver += 1
        for row in change.get("writes", ()):
            self._apply(row["table"], row.get("part", ""), row["key"], row["value"])
        for row in change.get("deletes", ()):
            self._apply(row["table"], row.get("part", ""), row["key"], None)
        self._notify()
        return self._answer()


async def serve_http(handle, host, port):
    """Serves HTTP/1.1 with keep-alive; returns the server."""

    async def serve(reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split()
                headers = {}
                while (line := await reader.readline()).strip():
                    name, _, value = line.decode().partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                status, answer = await handle(method, url.path, query, body, headers)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    return await asyncio.start_server(serve, host, port)


@dataclass
class Commit:
    term: int
    number: int
    writes: tuple  # of (item, data)


class Instance:
    """One database instance by the line protocol."""

    def __init__(self, group, name, zone):
        self.group, self.name, self.zone = group, name, zone
        self.leads = False
        self.term = 1
        self.log = []
        self.lag_s = 0.01
        # Whether it receives no commits, as a replica that has fallen behind.
        self.receives = True
        self.seq = 0
        self.state = "ready"
        self.server = None
        self.address = None
        self.running = False
        self.born = 0
        self.writers = set()

    @property
    def position(self):
        last = self.log[-1] if self.log else Commit(self.term, 0, ())
        return last.term, last.number

    def text(self):
        term, number = self.position
        return f"{term}.{number}"

    def read(self, item, own=()):
        for key, data in reversed(own):
            if key == item:
                return data
        for commit in reversed(self.log):
            for key, data in reversed(commit.writes):
                if key == item:
                    return data
        return None

    async def commit(self, writes):
        """Commits, and returns once enough replicas have received it."""
        number = self.position[1] + 1
        commit = Commit(self.term, number, tuple(writes))
        self.log.append(commit)
        for other in self.group.instances:
            if other is not self:
                asyncio.get_running_loop().call_later(other.lag_s, other.receive, self)
        while self.group.synchronous and sum(
            other is not self and commit in other.log for other in self.group.instances
        ) < self.group.synchronous:
            await asyncio.sleep(0.002)
        return commit

    def receive(self, primary):
        ready = self.running and primary.running and self.receives
        if ready and not self.leads and primary.leads and primary.term >= self.term:
            self.log = list(primary.log)
            self.term = primary.term

    def entry(self):
        self.seq += 1
        return {
            "service": self.group.service, "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone, "version": "v1", "slots": 3, "state": self.state,
            "coldLeftMs": 0, "dbRole": "primary" if self.leads else "replica",
            "seqNo": self.seq, "born": self.born,
        }

    async def start(self, host, port=0):
        """Listens, and registers itself."""
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = (host, self.server.sockets[0].getsockname()[1])
        self.running, self.born, self.seq = True, int(time.time() * 1000), 0
        self.heard_at = now()
        self.group.store.put("servers", self.name, self.entry())

    def crash(self):
        """Ends at once; its entry goes after three heartbeats of silence."""
        self.group.record.note("crashed", self.name, "log", self.text())
        self.running = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart(self, *, keeps_log):
        """Starts again under its id, at its address.

        A primary that crashed comes back with its log, as a replica if another instance
        was promoted. Any other instance holds nothing of before.
        """
        newest = max(item.term for item in self.group.instances)
        if self.leads and self.term < newest:
            self.leads = False
        if not keeps_log:
            self.log, self.term, self.leads = [], 0, False
        await self.start(*self.address)
        self.group.record.note("started again", self.name, "log", self.text())
        self.group.catch_up(self)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            words = (await reader.readline()).decode("latin-1").split()
            if len(words) != 4 or words[1] != self.group.service or words[3] != self.name:
                writer.write(b"ERR MISROUTED\r\n")
                return
            await asyncio.sleep(HANDSHAKE_S)
            writer.write(f"READY I {self.text()}\r\n".encode())
            await self._serve_queries(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _serve_queries(self, reader, writer):
        values, names = {}, {}
        tx, writes, plain = None, [], False
        while line := await reader.readline():
            _, id_, text = line.decode("latin-1").rstrip("\r\n").split(" ", 2)
            rows, outcome = [], "DONE -"
            lacks = False
            if text.startswith("AFTER "):
                _, position, text = text.split(" ", 2)
                term, number = map(int, position.split("."))
                lacks = self.position < (term, number)
            word, _, rest = text.partition(" ")
            kind = word
            if word == "EXEC":
                name, _, rest = rest.partition(" ")
                kind = names.get(name, ("NOSTMT",))[0]
            if lacks:
                outcome = "ERR LAGGING"
            elif kind == "NOSTMT":
                outcome = "ERR NOSTMT"
            elif kind == "STATUS" or kind == "DEMOTE":
                if kind == "DEMOTE" and self.leads and self.term < int(rest):
                    self.leads = False
                    self.group.store.put("servers", self.name, self.entry())
                role = "primary" if self.leads else "replica"
                rows = [f"{role} {self.term} {self.text()} 0 0 0 1"]
            elif kind == "SET":
                name, _, value = rest.partition(" ")
                values[name] = value
            elif kind == "PREPARE":
                name, access, shape = rest.split(" ", 2)
                names[name] = (access, shape)
            elif kind == "DEALLOC":
                names.pop(rest, None)
            elif kind == "RESET":
                values, names = {}, {}
            elif kind == "BEGIN":
                plain = not rest
                if plain and not self.leads:
                    outcome = "ERR READONLY"
                else:
                    tx, writes = "T", []
            elif kind == "ROLLBACK":
                tx, writes = None, []
            elif kind == "COMMIT":
                await asyncio.sleep(0.002)
                if writes and not self.leads:
                    outcome = "ERR READONLY"
                else:
                    if writes:
                        await self.commit(writes)
                    outcome = f"DONE {self.name}.{id_}"
                tx, writes = None, []
            elif kind == "READ":
                await asyncio.sleep(0.004)
                if tx and plain and not self.leads:
                    outcome = "ERR READONLY"
                else:
                    item = rest.split(" ")[0]
                    rows = [str(self.read(item, writes))]
                    outcome = f"DONE {self.name}.{id_}"
                    self.group.record.note(
                        "ran", self.name, id_, "READ", item, rows[0], "log", self.text()
                    )
            elif kind == "WRITE":
                await asyncio.sleep(0.004)
                if not self.leads or (tx and not plain):
                    outcome = "ERR READONLY"
                else:
                    item, _, data = rest.partition(" ")
                    outcome = f"DONE {self.name}.{id_}"
                    if tx:
                        writes.append((item, data))
                    else:
                        await self.commit([(item, data)])
                    self.group.record.note(
                        "ran", self.name, id_, "WRITE", item, data, "log", self.text()
                    )
            else:
                outcome = "ERR MALFORMED"
            if outcome.startswith("ERR") and tx:
                tx = "E"
            state = tx or "I"
            answer = "".join(f"ROW {row}\r\n" for row in rows)
            writer.write(f"{answer}{outcome}\r\nREADY {state} {self.text()}\r\n".encode("latin-1"))
            await writer.drain()


class Group:
    """The instances of one service; the first one is the primary."""

    def __init__(self, service, store, record, zones, synchronous=0):
        self.service, self.store, self.record = service, store, record
        self.synchronous = synchronous
        # Data of acknowledged writes, and what promotions have lost of it.
        self.acknowledged = []
        self.lost = []
        self.instances = [
            Instance(self, f"i-{service}-{number}", zone) for number, zone in enumerate(zones)
        ]
        self.instances[0].leads = True
        store.groups[service] = self

    async def start(self, base, first):
        for number, item in enumerate(self.instances):
            await item.start(f"{base}.{first + number}")
        self.beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            await asyncio.sleep(BEAT_S)
            for item in self.instances:
                if item.running:
                    item.heard_at = now()
                    self.store.put("servers", item.name, item.entry())
                elif item.heard_at and now() - item.heard_at > 3 * BEAT_S:
                    item.heard_at = 0
                    self.store.put("servers", item.name, None)

    def catch_up(self, item):
        """Has an instance receive the log of the primary, if it reaches one."""
        for other in self.instances:
            if other.leads and other.running and other is not item:
                asyncio.get_running_loop().call_later(item.lag_s, item.receive, other)

    def request_promotion(self, name):
        target = next((item for item in self.instances if item.name == name), None)
        if target is None or not target.running:
            return 409, {}
        if not (target.leads and target.term == max(i.term for i in self.instances)):
            asyncio.get_running_loop().call_later(PROMOTE_S, self._promote, target)
        return 200, {}

    def _promote(self, target):
        if not target.running:
            return
        held = {write for commit in target.log for write in commit.writes}
        missing = [write for write in self.acknowledged if write not in held]
        if missing:
            self.lost.append((target.name, target.text(), missing))
        target.term = max(item.term for item in self.instances) + 1
        target.leads = True
        self.record.note("promoted", target.name, "term", target.term)
        for other in self.instances:
            if other is not target and other.running:
                other.leads = False
                other.receive(target)
            if other.running:
                self.store.put("servers", other.name, other.entry())


@dataclass
class Reply:
    rows: list
    outcome: str
    state: str
    position: str

    @property
    def ok(self):
        return self.outcome.startswith("DONE")


class Client:
    """One session of a client; one request at a time."""

    def __init__(self, record, name):
        self.record, self.name, self.count = record, name, 0
        self.writer = None

    async def start(self, host, port, database):
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.writer.write(f"START {database} key\r\n".encode())
        answer = (await asyncio.wait_for(self.reader.readline(), 2.0)).decode().strip()
        self.record.note("session", self.name, database, answer)
        return answer.startswith("READY")

    async def query(self, text, timeout=5.0):
        self.count += 1
        id_ = f"{self.name}{self.count:04d}"
        self.record.note("sent", id_, text)
        self.writer.write(f"QUERY {id_} {text}\r\n".encode())
        rows, outcome = [], ""
        async with asyncio.timeout(timeout):
            while True:
                raw = await self.reader.readline()
                if not raw:
                    raise ConnectionError("closed by the proxy")
                word, _, fields = raw.decode("latin-1").rstrip("\r\n").partition(" ")
                if word == "ROW":
                    rows.append(fields)
                elif word == "READY":
                    state, _, position = fields.partition(" ")
                    break
                else:
                    outcome = f"{word} {fields}"
        self.record.note("answered", id_, outcome, "rows", rows, state, position)
        return Reply(rows, outcome, state, position)

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()


@dataclass
class Proxy:
    """A process of the system, started by the command of the deploy file."""

    name: str
    host: str
    settings: Path
    log: Path
    process: object = None

    async def start(self):
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["HEATHERPIER_SETTINGS"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-S", "deploy/serve.py", cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Deployment:
    """A store, groups of instances and proxies."""

    FRONT, READY, CONTROL, STORE, DUTY, INNER = 8784, 8785, 8782, 8783, 8786, 7440

    def __init__(
        self, record, *, proxies=("north-a",), services=("alpha",), zones=None, synchronous=0
    ):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="heatherpier-review-")
        self.base = free_base(
            (self.FRONT, self.READY, self.CONTROL, self.STORE, self.INNER, self.INNER + 1)
        )
        self.store = Store(record)
        zones = zones or ("central-a", "north-a", "south-a")
        self.groups = {name: Group(name, self.store, record, zones, synchronous)
                       for name in services}
        self.synchronous = synchronous
        self.version = 0
        self.services = services
        self.proxies = [self._proxy(number, zone) for number, zone in enumerate(proxies)]
        self.servers = []

    def _proxy(self, number, zone):
        host = f"{self.base}.{number + 1}"
        name = f"front-{zone}-{number + 1}"
        settings = {
            "node": name, "role": "proxy", "machineClass": "front",
            "serves": ["front", "control"], "ip": host, "zone": zone, "region": ZONES[zone],
            "zones": ZONES,
            "listen": {"front": f"{host}:{self.FRONT}", "ready": f"{host}:{self.READY}",
                       "control": f"{host}:{self.CONTROL}"},
            "internalPorts": [self.INNER, self.INNER + 15],
            "seeds": [f"{self.base}.1:{self.CONTROL}"], "bootstrap": True, "lossCounted": False,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4300,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "virtual_ip",
            "beatIntervalMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
            "tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 5000, "ackMs": 6000,
                       "catchUpS": 4, "drainMs": 7000, "graceS": 6, "lossSlackMs": 200,
                       "configApplyMs": 3000, "revertSlackMs": 250, "maxStretchMs": 15000,
                       "recoveryS": 12, "fencingRequired": False, "thawSlackMs": 300},
            "platform": {"address": f"{self.base}.200:{self.STORE}", "form": "table",
                         "writesPerS": 400, "readsPerS": 2000, "txMs": 3.0,
                         "partWritesS": 300, "rowBytes": 65536, "across": True,
                         "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0},
            "cloudApi": {"address": f"{self.base}.200:{self.STORE}", "ratePerS": 50.0,
                         "duties": ["promotion"], "dutyPerS": 50.0},
        }
        folder = Path(self.folder.name)
        path = folder / f"{name}.yaml"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return Proxy(name, host, path, folder / f"{name}.log")

    def add_proxy(self, zone):
        """Adds a machine at another address; its process has to be started."""
        proxy = self._proxy(len(self.proxies), zone)
        self.proxies.append(proxy)
        return proxy

    def configure(self, routes):
        """Writes a configuration; routes are (database, kind, service, staleness)."""
        self.version += 3
        body = {
            "version": self.version,
            "routes": [
                {"name": f"r-{host}-{service}", "host": host, "prefix": "/", "kind": kind,
                 "timeoutMs": 800, "targetLatencyMs": 800, "priority": 2,
                 "service": service, "maxAttempts": 2, "maxStalenessMs": stale}
                for host, kind, service, stale in routes
            ],
            "services": [
                {"name": name, "healthPath": "/health", "maxConns": 22, "protocol": "h1",
                 "tls": False, "syncReplicas": self.synchronous}
                for name in self.services
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
        }
        self.record.note("configuration", self.version, [(r[0], r[2]) for r in routes])
        self.store.put("op", "config", body)

    async def __aenter__(self):
        self.servers.append(
            await serve_http(self.store.handle, f"{self.base}.200", self.STORE)
        )
        for number, group in enumerate(self.groups.values()):
            await group.start(self.base, 100 + 10 * number)
        return self

    async def start_proxies(self):
        for proxy in self.proxies:
            await proxy.start()
        for proxy in self.proxies:
            await self.wait_ready(proxy)

    async def wait_ready(self, proxy, limit_s=20.0):
        """Waits until the readiness probe is answered with 200."""
        until = now() + limit_s
        while now() < until:
            try:
                reader, writer = await asyncio.open_connection(proxy.host, self.READY)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.transport.abort()
                if b" 200 " in line:
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{proxy.name} is not ready")

    async def __aexit__(self, *exc_info):
        for proxy in self.proxies:
            proxy.signal(signal.SIGKILL)
            if proxy.process is not None:
                await proxy.process.wait()
        for server in self.servers:
            server.close()
        for group in self.groups.values():
            group.beats.cancel()
            for item in group.instances:
                item.server.close()
        if os.environ.get("KEEP_LOGS"):
            for proxy in self.proxies:
                print(proxy.log.read_text())
        self.folder.cleanup()


def run(main, folder, limit_s=100.0):
    """Runs a case and exits: 0 the rule held, 1 it was broken, 2 it could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded():
        async with asyncio.timeout(limit_s):
            return await main(record, trouble)

    try:
        broken = asyncio.run(bounded())
    except Exception as exc:  # the case could not be played
        record.note("could not run:", type(exc).__name__, exc)
        print(f"could not run: {type(exc).__name__}: {exc}")
        sys.exit(2)
    record.note("broken" if broken else "held", broken or "")
    print("BROKEN" if broken else "held", broken or "")
    sys.exit(1 if broken else 0)
