"""HTTP endpoint for load balancers and operators."""

import hmac
from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest

from heatherpier.telemetry._logs import JsonHandler, get_logger

log = get_logger("admin")

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
BEARER_PREFIX = "Bearer "
MAX_BODY_BYTES = 4096
SHUTDOWN_TIMEOUT_S = 1.0


class AdminServer:
    """Serves readiness, liveness, metrics, status and the log level.

    Args:
        ready: Returns whether the load balancer should send new callers.
        status: Returns the body of ``/status``; msgspec must be able to encode it as
            JSON.
        registry: Metrics that ``/metrics`` returns.
        handler: Log handler whose level ``/log-level`` changes, or None to forbid it.
        token: Secret that a request to change the log level must carry; empty to forbid
            such requests.
    """

    def __init__(
        self,
        *,
        ready: Callable[[], bool],
        status: Callable[[], Any],
        registry: CollectorRegistry,
        handler: JsonHandler | None = None,
        token: str = "",
    ) -> None:
        self._ready = ready
        self._status = status
        self._registry = registry
        self._handler = handler
        self._token = token
        self._runner: web.AppRunner | None = None

    async def start(self, *, host: str, port: int) -> None:
        """Starts to listen.

        Args:
            host: Address to listen at.
            port: TCP port.
        """
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/ready", self._get_ready)
        app.router.add_get("/live", self._get_live)
        app.router.add_get("/metrics", self._get_metrics)
        app.router.add_get("/status", self._get_status)
        app.router.add_put("/log-level", self._put_log_level)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def close(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _get_ready(self, req: web.Request) -> web.Response:
        if self._ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _get_live(self, req: web.Request) -> web.Response:
        return web.Response(text="live\n")

    async def _get_metrics(self, req: web.Request) -> web.Response:
        body = generate_latest(self._registry)
        return web.Response(body=body, headers={"Content-Type": METRICS_CONTENT_TYPE})

    async def _get_status(self, req: web.Request) -> web.Response:
        body = msgspec.json.encode(self._status())
        return web.Response(body=body, content_type="application/json")

    async def _put_log_level(self, req: web.Request) -> web.Response:
        authorization = req.headers.get("Authorization", "")
        expected = BEARER_PREFIX + self._token
        allowed = hmac.compare_digest(authorization.encode(), expected.encode())
        if not self._token or not allowed or self._handler is None:
            return web.Response(status=403, text="the admin token is needed\n")
        level = (await req.text()).strip().upper()
        try:
            self._handler.set_level(level)
        except LookupError:
            return web.Response(status=400, text=f"unknown level {level!r:.40}\n")
        log.notice("log level changed", level=level)
        return web.Response(text=f"{level}\n")
