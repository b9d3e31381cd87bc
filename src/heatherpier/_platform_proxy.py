"""Composes the process of a proxy on the users' platform.

Joins `ProxyEngine` to the clients of the store and the promotions, the peer network and
the connections to instances. Adds the listener for callers, the readiness probe and the
admin endpoint, and stops them in order within the grace period.
"""

import asyncio
import random
import signal
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from dataclasses import fields
from functools import partial
from typing import TYPE_CHECKING

from prometheus_client import Counter

from heatherpier import __version__
from heatherpier._engine_ports import Ports, StoreLayout, UnreadableRowError, VmLocation
from heatherpier._proxy_engine import ProxyEngine
from heatherpier.discovery import InstanceRecord
from heatherpier.fleet import Codec, Peer, ZmqPeers
from heatherpier.forwarding import FORWARDING_MESSAGES
from heatherpier.leases import LEASE_MESSAGES
from heatherpier.platform import (
    CONFIG_KEY,
    CONFIG_TABLE,
    INSTANCES_TABLE,
    LineConnector,
    LineControl,
    LineListener,
    MalformedRecordError,
    PromotionClient,
    ReadyServer,
    StoreClient,
    VmSettings,
    decode_config,
    decode_instance,
)
from heatherpier.quotas import QUOTA_MESSAGES
from heatherpier.routing import RoutingTable
from heatherpier.telemetry import (
    AdminServer,
    BoundedOutput,
    JsonHandler,
    Metrics,
    get_logger,
)
from heatherpier.timers import LoopTimers

if TYPE_CHECKING:
    from heatherpier.config_check import Draft

log = get_logger("proxy")
# Time for which new callers wait for a starting proxy to read the tables. A
# caller gives up a session that is not opened within 2 s.
FIRST_TABLES_S = 1.2
LOG_FLUSH_PERIOD_S = 0.1
# The fractions below are of the grace period, the time from the stop signal to the kill.

# Fraction from which sessions are closed as they become idle. The balancer probes each
# second and sends no more callers after two failed probes, which have happened by then.
CLOSE_IDLE_FRACTION = 0.4
# Fraction at which open transactions are rolled back, each between two statements.
END_TRANSACTIONS_FRACTION = 0.5
# Fraction from which statements are refused, because they may not end before the kill.
REFUSE_NEW_FRACTION = 0.55
# Fraction from which sessions without a statement are closed. A caller that connected
# before statements were refused has sent its first one by then, if it sends any.
CLOSE_UNUSED_FRACTION = 0.7
# Fraction at which statements that are still running are answered as unfinished, so that
# the process exits before the kill.
CUT_FRACTION = 0.9
STOP_POLL_S = 0.05
EXIT_OK = 0


def _read_configuration(body: bytes, *, identifies_callers: bool) -> RoutingTable:
    try:
        return decode_config(body, identifies_callers=identifies_callers)
    except MalformedRecordError as exc:
        raise UnreadableRowError(str(exc)) from exc


def read_draft(body: bytes) -> "Draft":
    """Decodes a configuration as it is written, to check it.

    Raises:
        UnreadableRowError: It can't be decoded.
    """
    # Imported here so that a proxy does not load it at its start.
    from heatherpier.platform.drafts import decode_draft

    try:
        return decode_draft(body)
    except MalformedRecordError as exc:
        raise UnreadableRowError(str(exc)) from exc


def _read_instance(name: str, body: bytes) -> InstanceRecord:
    try:
        return decode_instance(name, body)
    except MalformedRecordError as exc:
        raise UnreadableRowError(str(exc)) from exc


def _make_layout(cfg: VmSettings) -> StoreLayout:
    return StoreLayout(
        configuration=CONFIG_TABLE,
        configuration_key=CONFIG_KEY,
        instances=INSTANCES_TABLE,
        read_configuration=partial(
            _read_configuration, identifies_callers=cfg.identifies_callers
        ),
        read_instance=_read_instance,
    )


class PlatformProxy:
    """One proxy process on the users' platform.

    Args:
        cfg: Settings that the platform gives the VM.
        reload: Reads the settings again; raises MalformedRecordError.
        output: Buffer of log lines, which is flushed periodically; None if lines are
            written directly.
        log_handler: Log handler whose level the admin endpoint may change, or None.
        started_at: Time in seconds by `Timers.elapsed` at which the process was
            started, before its imports; None for now.
        early_hang_ups: Each SIGHUP up to the time when `run` handles them.
    """

    def __init__(
        self,
        cfg: VmSettings,
        *,
        reload: Callable[[], VmSettings],
        output: BoundedOutput | None = None,
        log_handler: JsonHandler | None = None,
        started_at: float | None = None,
        early_hang_ups: Sequence[int] = (),
    ) -> None:
        self._early_hang_ups = early_hang_ups
        self._cfg = cfg
        self._read_settings = reload
        self._output = output
        self._log_handler = log_handler
        self._started_at = started_at
        self._stopping = False
        self._timers = LoopTimers()
        self._metrics = Metrics()
        self._peer_bytes = Counter(
            "heatherpier_peer_bytes",
            "Bytes sent to other proxies, by type of message.",
            ["message"],
            registry=self._metrics.registry,
        )
        self._engine: ProxyEngine | None = None

    def _count_sent(self, kind: str, size: int) -> None:
        self._peer_bytes.labels(kind).inc(size)

    def ready(self) -> bool:
        """Returns whether the balancer should send new callers."""
        engine = self._engine
        return engine is not None and engine.can_serve() and not self._stopping

    async def run(self) -> int:
        """Serves callers until SIGTERM or SIGINT, then drains and stops.

        Sessions that are still open at `CUT_FRACTION` of the grace period are cut.

        Returns:
            Exit code 0.
        """
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        if self._early_hang_ups:
            # The settings may have been read before.
            self._reload()
        cfg = self._cfg
        log.info("started", version=__version__, data_centre=cfg.data_centre)
        async with AsyncExitStack() as stack:
            stack.callback(asyncio.create_task(self._flush_logs_periodically()).cancel)
            engine = await stack.enter_async_context(await self._make_engine(stack))
            self._engine = engine
            listener = LineListener(
                open_session=engine.open_session,
                limits=lambda: engine.context.routes.table.limits,
                wait_until_known=lambda: engine.wait_until_known(
                    limit_s=FIRST_TABLES_S
                ),
            )
            await listener.start(host=cfg.host, port=cfg.callers_port)
            stack.push_async_callback(listener.close)
            ready = ReadyServer(ready=self.ready)
            stack.push_async_callback(ready.close)
            await ready.start(host=cfg.host, port=cfg.ready_port)
            admin = self._make_admin()
            stack.push_async_callback(admin.close)
            await admin.start(host=cfg.host, port=cfg.metrics_port)
            log.info("listening", host=cfg.host, port=cfg.callers_port)
            await stop.wait()
            await self._stop(listener)
        log.info("stopped")
        self._flush_logs()
        return EXIT_OK

    async def _make_engine(self, stack: AsyncExitStack) -> ProxyEngine:
        cfg, timers = self._cfg, self._timers
        store = StoreClient(cfg.store, timers=timers)
        stack.push_async_callback(store.close)
        promotions = PromotionClient(cfg.promotions, timers=timers)
        stack.push_async_callback(promotions.close)
        me = self._peer(cfg.name, cfg.host)
        network = ZmqPeers(
            me,
            keys=None,
            codec=Codec((*LEASE_MESSAGES, *QUOTA_MESSAGES, *FORWARDING_MESSAGES)),
            timers=timers,
            on_sent=self._count_sent,
        )
        await stack.enter_async_context(network)
        connector = LineConnector(caller=cfg.name)
        return ProxyEngine(
            VmLocation(
                me=me,
                seeds=tuple(
                    self._peer(host, host) for host in cfg.seeds if host != cfg.host
                ),
                distance=cfg.distance,
                region=cfg.region,
                capacity=cfg.capacity,
            ),
            ports=Ports(
                store=store,
                network=network,
                connector=connector,
                control=LineControl(connector=connector, timers=timers),
                promotions=promotions,
            ),
            layout=_make_layout(cfg),
            timers=timers,
            rng=random.SystemRandom(),
            metrics=self._metrics.registry,
            quota_window=cfg.quota_window,
            drain_s=cfg.drain_s,
            started_at=self._started_at,
        )

    def _peer(self, name: str, host: str) -> Peer:
        return Peer(
            name=name,
            host=host,
            port=self._cfg.peer_port,
            data_centre=self._cfg.data_centre,
        )

    def _make_admin(self) -> AdminServer:
        return AdminServer(
            ready=self.ready,
            status=self._status,
            registry=self._metrics.registry,
            handler=self._log_handler,
        )

    async def _stop(self, listener: LineListener) -> None:
        grace_s = self._cfg.grace_s
        began = self._timers.now()
        self._stopping = True
        if self._engine is not None:
            self._engine.forwarding.stop()
        log.info("stopping", sessions=listener.sessions, grace_s=grace_s)
        await self._sleep_until(began + grace_s * CLOSE_IDLE_FRACTION)
        log.info("closing idle sessions", sessions=listener.sessions)
        listener.close_when_idle()
        await self._sleep_until(began + grace_s * END_TRANSACTIONS_FRACTION)
        listener.end_transactions()
        forwarding = None if self._engine is None else self._engine.forwarding
        if forwarding is not None:
            forwarding.end_transactions()
        await self._sleep_until(began + grace_s * REFUSE_NEW_FRACTION)
        listener.refuse_new()
        while listener.sessions or (forwarding is not None and forwarding.is_busy()):
            elapsed_s = self._timers.now() - began
            if elapsed_s >= grace_s * CLOSE_UNUSED_FRACTION:
                listener.close_unused()
            if elapsed_s >= grace_s * CUT_FRACTION:
                log.warning(
                    "sessions cut",
                    sessions=listener.sessions,
                    forwarded=forwarding is not None and forwarding.is_busy(),
                )
                return
            await self._timers.sleep(STOP_POLL_S)
        log.info("sessions ended", took_s=round(self._timers.now() - began, 3))

    async def _sleep_until(self, deadline: float) -> None:
        await self._timers.sleep(max(deadline - self._timers.now(), 0))

    def _reload(self) -> None:
        """Reads the settings again; changed addresses take effect at the next start."""
        try:
            cfg = self._read_settings()
        except MalformedRecordError as exc:
            log.error("settings not reloaded", reason=str(exc))
            return
        changed = [
            field.name
            for field in fields(cfg)
            if getattr(cfg, field.name) != getattr(self._cfg, field.name)
        ]
        self._cfg = cfg
        log.info("settings reloaded", changed=changed)

    async def _flush_logs_periodically(self) -> None:
        async for _ in self._timers.every(LOG_FLUSH_PERIOD_S):
            self._flush_logs()

    def _flush_logs(self) -> None:
        if self._output is not None:
            self._output.flush()

    def _status(self) -> dict[str, object]:
        status: dict[str, object] = {
            "proxy": self._cfg.name,
            "data_centre": self._cfg.data_centre,
            "version": __version__,
            "ready": self.ready(),
        }
        if self._engine is None:
            return status
        view = self._engine.view
        return status | {
            "configuration": self._engine.context.routes.table.version,
            "fleet_view_age_s": view.copy.age_s(),
            "members": sorted(view.members),
            "leaders": {name: leader.state for name, leader in view.leaders.items()},
        }
