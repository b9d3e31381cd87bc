"""Serves a simulated store and simulated instances to real proxies on loopback."""

import asyncio
import base64
import json

from aiohttp import web

from heatherpier.bench._row_store import MemoryRowStore
from heatherpier.bench._simulated_group import SimulatedGroup, SimulatedInstance
from heatherpier.bench._simulated_link import SimulatedLink
from heatherpier.leases import NotRunningError
from heatherpier.platform._line import (
    ACCESSES,
    format_failure,
    format_ready,
    parse_position,
)
from heatherpier.pooling import (
    ApplyValue,
    Call,
    ClearSession,
    Demote,
    FetchStatus,
    Forward,
    ForwardExecute,
    OpenTransaction,
    PrepareShape,
    RollBack,
)
from heatherpier.statements import Failed, Reply, SessionState
from heatherpier.tables import (
    ChangeConflictError,
    HistoryLostError,
    Row,
    StoreRefusedError,
    StoreUnavailableError,
    make_version,
    number_of,
)
from heatherpier.timers import Timers
from heatherpier.upstreams import ConnectionLostError

HOST = "127.0.0.1"
HTTP_STATUSES = {
    ChangeConflictError: 412,
    HistoryLostError: 410,
    StoreRefusedError: 503,
    StoreUnavailableError: 504,
    NotRunningError: 409,
}


class StoreServer:
    """Serves the store and promotions by HTTP, on one port for each proxy.

    The port identifies the calling proxy, since faults of the store select proxies by
    name.
    """

    def __init__(
        self, store: MemoryRowStore, groups: dict[str, SimulatedGroup]
    ) -> None:
        self._store = store
        self._groups = groups
        self._runners: list[web.AppRunner] = []

    async def start(self, proxy: str, *, port: int) -> None:
        """Listens on the port of one proxy."""
        client = self._store.client(proxy)

        async def get(req: web.Request) -> web.Response:
            table = await client.read_table(req.query["table"])
            return self._rows(req.query["table"], table.rows, table.version)

        async def feed(req: web.Request) -> web.Response:
            query = req.query
            changes = await client.watch(
                query["table"],
                after=self._version(int(query["after"])),
                wait_s=int(query["waitMs"]) / 1000,
            )
            return self._rows(query["table"], changes.rows, changes.version)

        async def commit(req: web.Request) -> web.Response:
            change = await req.json()
            condition, *others = change["precondition"]
            where = condition["table"], condition["key"]
            unchanged = {item["key"]: self._version(item["ver"]) for item in others}
            version = 0
            for row in change["writes"]:
                body = base64.b64decode(row["value"])
                version = await client.put(
                    *where, body, expected=self._version(condition["ver"])
                )
            for _ in change["deletes"]:
                await client.delete(
                    *where,
                    expected=self._version(condition["ver"]),
                    unchanged=unchanged,
                )
            return self._json({"ver": number_of(version), "nowMs": self._now_ms()})

        async def promote(req: web.Request) -> web.Response:
            request = await req.json()
            token = int(req.headers["X-Fence-Token"])
            await self._groups[request["service"]].promote(request["id"], token=token)
            return web.json_response({})

        app = web.Application(middlewares=[self._answer_errors])
        app.router.add_get("/rows-get", get)
        app.router.add_get("/rows-feed", feed)
        app.router.add_post("/rows-tx", commit)
        app.router.add_post("/promotion", promote)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, HOST, port).start()
        self._runners.append(runner)

    async def close(self) -> None:
        """Stops listening."""
        for runner in self._runners:
            await runner.cleanup()

    def _rows(self, table: str, rows: tuple[Row, ...], version: int) -> web.Response:
        body = {
            "rows": [_encode_row(table, row) for row in rows],
            "truncated": False,
            "ver": number_of(version),
            "nowMs": self._now_ms(),
        }
        return self._json(body)

    def _version(self, number: int) -> int:
        """Returns the version that a number in a request has in the present epoch."""
        return make_version(self._store.epoch, number) if number else 0

    def _json(self, body: dict[str, object], *, status: int = 200) -> web.Response:
        headers = {"Store-Era": str(self._store.epoch)}
        return web.json_response(body, status=status, headers=headers)

    @web.middleware
    async def _answer_errors(self, req, handler):
        try:
            return await handler(req)
        except tuple(HTTP_STATUSES) as exc:
            return self._json({"rows": []}, status=HTTP_STATUSES[type(exc)])

    def _now_ms(self) -> float:
        return asyncio.get_running_loop().time() * 1000


def _encode_row(table: str, row: Row) -> dict[str, object]:
    wire: dict[str, object] = {"table": table, "part": "", "key": row.key}
    wire["ver"] = number_of(row.version)
    if row.body is None:
        return wire | {"tombstone": True}
    return wire | {"value": base64.b64encode(row.body).decode()}


class InstanceServer:
    """Serves one simulated instance by the line protocol.

    Attributes:
        new_work: Monotonic times in seconds at which single statements and the first
            ones of transactions arrived.
    """

    def __init__(
        self, group: SimulatedGroup, instance: SimulatedInstance, *, timers: Timers
    ) -> None:
        self._group = group
        self._instance = instance
        self._timers = timers
        self.new_work: list[float] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Listens on a free port and returns the port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        return self._server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Resets all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        assert self._server is not None
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._serve_session(reader, writer)
        except (ConnectionLostError, ConnectionError):
            # The connection is reset below, which is what the proxy should see.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        instance = self._instance
        fields = (await reader.readline()).decode().split()
        if len(fields) != 4 or not instance.running:
            return
        proxy = fields[2]
        if instance.is_unresponsive_to(proxy):
            await reader.read()
            return
        link = SimulatedLink(self._group, instance, proxy=proxy, timers=self._timers)
        writer.write(b"READY I -\r\n")
        # Whether the next statement belongs to a transaction that has begun.
        bound = False
        while line := (await reader.readline()).decode().rstrip():
            _, id_, text = line.split(" ", 2)
            call = parse_call(id_, text)
            if isinstance(call, Forward | ForwardExecute) and not bound:
                self.new_work.append(self._timers.now())
            reply = await link.run(call)
            bound = reply.state is SessionState.OPEN and not isinstance(
                call, OpenTransaction
            )
            writer.write(self._render(reply, text).encode())
        link.abort()

    def _render(self, reply: Reply, text: str) -> str:
        end = format_ready(reply.state, reply.position) + "\r\n"
        if isinstance(reply.outcome, Failed):
            return format_failure(reply.outcome) + "\r\n" + end
        rows = reply.outcome.rows
        if text == "STATUS" or text.startswith("DEMOTE"):
            rows = (self._status(),)
        lines = "".join(f"ROW {row}\r\n" for row in rows)
        return f"{lines}DONE {reply.outcome.signature or '-'}\r\n{end}"

    def _status(self) -> str:
        instance = self._instance
        role = "primary" if instance.leads else "replica"
        position = instance.received()
        return f"{role} {instance.term} {position.term}.{position.index} 0 0 0 0"


def parse_call(id_: str, text: str) -> Call:
    """Returns the call for a statement that a proxy sends to an instance."""
    min_position = None
    if text.startswith("AFTER "):
        _, position, text = text.split(" ", 2)
        min_position = parse_position(position)
    word, _, rest = text.partition(" ")
    match word:
        case "BEGIN":
            return OpenTransaction(read_only=bool(rest), min_position=min_position)
        case "ROLLBACK" if id_ == "-":
            return RollBack()
        case "RESET":
            return ClearSession()
        case "STATUS":
            return FetchStatus()
        case "DEMOTE":
            return Demote(term=int(rest))
        case "SET":
            name, _, value = rest.partition(" ")
            return ApplyValue(name=name, value=value)
        case "PREPARE":
            name, access, shape = rest.split(" ", 2)
            return PrepareShape(name=name, access=ACCESSES[access], shape=shape)
        case "EXEC":
            name, _, arguments = rest.partition(" ")
            return ForwardExecute(
                id=id_, name=name, arguments=arguments, min_position=min_position
            )
        case _:
            return Forward(id=id_, text=text, min_position=min_position)


def instance_row(instance: SimulatedInstance, *, service: str, port: int) -> bytes:
    """Returns the body of an instance's row in the store."""
    entry = {
        "service": service,
        "address": f"{HOST}:{port}",
        "zone": instance.record.instance.data_centre,
        "state": "draining" if instance.record.instance.leaving else "ready",
        "dbRole": "primary" if instance.leads else "replica",
    }
    return json.dumps(entry).encode()
