"""HTTP server of the stand-in platform, with the published protocols."""

import asyncio
import base64
import json
import signal
from pathlib import Path
from typing import Annotated, Any

from aiohttp import web
from pydantic import Field

from heatherpier.bench._platform import MemoryPlatform
from heatherpier.settings import StrictModel, load_model
from heatherpier.stores import (
    ConflictError,
    PlatformUnavailableError,
    Record,
    ThrottledError,
)
from heatherpier.timers import LoopTimers

TARGET_HEADER = "X-Amz-Target"
ERROR_TYPES = {
    ConflictError: "ConditionalCheckFailedException",
    ThrottledError: "ProvisionedThroughputExceededException",
}


class PlatformSettings(StrictModel):
    """Settings of the stand-in platform.

    Attributes:
        host: IP address to listen at.
        port: TCP port for both services.
    """

    host: str = "127.0.0.1"
    port: Annotated[int, Field(ge=1, le=65535)]


async def run_platform(path: Path) -> None:
    """Runs the stand-in platform until SIGTERM or SIGINT.

    Args:
        path: JSON file with its settings.
    """
    cfg = load_model(PlatformSettings, path)
    stop = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signum, stop.set)
    runner = await serve_platform(
        MemoryPlatform(timers=LoopTimers()), host=cfg.host, port=cfg.port
    )
    await stop.wait()
    await runner.cleanup()


async def serve_platform(
    platform: MemoryPlatform, *, host: str, port: int
) -> web.AppRunner:
    """Starts an HTTP server for ``platform`` and returns its runner."""
    handlers = _HttpHandlers(platform)
    app = web.Application()
    app.router.add_post("/", handlers.call_table)
    app.router.add_put("/{bucket}/{name:.+}", handlers.put_object)
    app.router.add_get("/{bucket}/{name:.+}", handlers.get_object)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner


class _HttpHandlers:
    """HTTP handlers that forward calls to the platform in memory."""

    def __init__(self, platform: MemoryPlatform) -> None:
        self._platform = platform

    async def call_table(self, req: web.Request) -> web.Response:
        action = req.headers.get(TARGET_HEADER, "").rpartition(".")[2]
        body = json.loads(await req.read())
        try:
            match action:
                case "GetItem":
                    return _json(await self._get(body))
                case "PutItem":
                    return _json(await self._put(body))
                case _:
                    return _json({"__type": "UnknownOperationException"}, status=400)
        except (ConflictError, ThrottledError) as exc:
            return _json({"__type": ERROR_TYPES[type(exc)]}, status=400)
        except PlatformUnavailableError:
            return _json({"__type": "InternalServerError"}, status=500)

    async def _get(self, body: dict[str, Any]) -> dict[str, Any]:
        record = await self._platform.get(body["Key"]["key"]["S"])
        if record is None:
            return {}
        return {
            "Item": {
                "key": {"S": record.key},
                "version": {"N": str(record.version)},
                "body": {"B": base64.b64encode(record.body).decode()},
            }
        }

    async def _put(self, body: dict[str, Any]) -> dict[str, Any]:
        item = body["Item"]
        await self._platform.put(
            Record(
                key=item["key"]["S"],
                version=int(item["version"]["N"]),
                body=base64.b64decode(item["body"]["B"]),
            )
        )
        return {}

    async def put_object(self, req: web.Request) -> web.Response:
        try:
            await self._platform.put_object(req.match_info["name"], await req.read())
        except (PlatformUnavailableError, ThrottledError):
            return web.Response(status=503)
        return web.Response()

    async def get_object(self, req: web.Request) -> web.Response:
        try:
            body = await self._platform.get_object(req.match_info["name"])
        except (PlatformUnavailableError, ThrottledError):
            return web.Response(status=503)
        if body is None:
            error = "<Error><Code>NoSuchKey</Code></Error>"
            return web.Response(status=404, text=error, content_type="application/xml")
        return web.Response(body=body)


def _json(body: dict[str, Any], *, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        text=json.dumps(body),
        content_type="application/x-amz-json-1.0",
    )
