"""Readiness probe, by which the load balancer finds proxies for new callers."""

from collections.abc import Callable

from aiohttp import web

READINESS_PATH = "/readiness"
SHUTDOWN_TIMEOUT_S = 0.1


class ReadyServer:
    """Serves the readiness probe.

    Args:
        ready: Returns whether the load balancer should send new callers.
    """

    def __init__(self, *, ready: Callable[[], bool]) -> None:
        self._ready = ready
        self._runner: web.AppRunner | None = None

    async def start(self, *, host: str, port: int) -> None:
        """Starts listening."""
        app = web.Application()
        app.router.add_get(READINESS_PATH, self._handle_probe)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def close(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle_probe(self, req: web.Request) -> web.Response:
        return web.Response(status=200 if self._ready() else 503)
