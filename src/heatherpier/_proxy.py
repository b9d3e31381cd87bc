"""Composes the process of a proxy that speaks MySQL.

Joins the registry of services and groups, reader, writer, admission and sessions to the
listener for callers, the admin endpoint and, if configured, the fleet.
"""

import asyncio
import functools
import random
import signal
from contextlib import AsyncExitStack

from heatherpier import __version__
from heatherpier._fleet_node import FleetNode
from heatherpier._metered_reader import MeteredReader, observe_primary_gaps
from heatherpier._registry import ServiceRegistry
from heatherpier._session import Session
from heatherpier._status import ProxyStatus, group_status
from heatherpier.callers import Listener, limits_of, ssl_context_of
from heatherpier.groups import (
    Group,
    Promoter,
    proposer_rank,
    start_watcher,
)
from heatherpier.limits import Admission
from heatherpier.sessions import TokenSigner
from heatherpier.settings import Document, ProxySettings
from heatherpier.telemetry import AdminServer, JsonHandler, Metrics, get_logger
from heatherpier.timers import LoopTimers
from heatherpier.upstreams.mysql import MysqlConnector
from heatherpier.writes import KeyGenerator, Writer

log = get_logger("proxy")
MS_PER_S = 1000
# Statements are answered by their deadline. This is the additional time for the answer
# to reach the caller while the proxy drains.
ANSWER_DELIVERY_S = 1.0
EXIT_OK = 0
EXIT_FAILED = 1


class Proxy:
    """One proxy process.

    Args:
        cfg: Settings of the process.
        document: Configuration that is active until the fleet has another.
        log_handler: Log handler whose level the admin endpoint may change, or None.
    """

    def __init__(
        self,
        cfg: ProxySettings,
        document: Document,
        *,
        log_handler: JsonHandler | None = None,
    ) -> None:
        self._cfg = cfg
        self._log_handler = log_handler
        self._ready = False
        self._timers = LoopTimers()
        rng = random.SystemRandom()
        self._metrics = Metrics()
        self._admission = Admission(timers=self._timers, proxies=cfg.proxies)
        self._reader = MeteredReader(
            timers=self._timers,
            data_centre=cfg.data_centre,
            rng=rng,
            admission=self._admission,
            metrics=self._metrics,
        )
        keys = KeyGenerator(proxy=cfg.name, rng=rng, timers=self._timers)
        self._writer = Writer(
            timers=self._timers, keys=keys, rng=rng, admission=self._admission
        )
        self._signer = TokenSigner(
            deployment=cfg.deployment,
            keys=tuple(bytes.fromhex(key) for key in cfg.token_keys),
        )
        self._connector = MysqlConnector(
            user=cfg.upstream_user,
            password=cfg.upstream_password.get_secret_value(),
            tls_ca=cfg.upstream_tls_ca,
            program_name=f"heatherpier/{cfg.data_centre}/{cfg.name}",
        )
        self._rng = rng
        self._fleet_node: FleetNode | None = None
        self._registry = ServiceRegistry(
            connector=self._connector,
            timers=self._timers,
            admission=self._admission,
            proxies=cfg.proxies,
            start=self._start_group,
        )
        self._document = document

    def open_session(self, user: str) -> Session:
        """Returns a new session for a caller that has authenticated as ``user``."""
        service = self._registry.service_of(user)
        return Session(
            groups=self._registry.groups_of(service.name),
            reader=self._reader,
            writer=self._writer,
            signer=self._signer,
            timers=self._timers,
            deadline_ms=service.deadline_ms,
            transaction_idle_ms=service.transaction_idle_ms,
            max_age_ms=service.max_age_ms,
            user=user,
        )

    async def run(self) -> int:
        """Serves callers until SIGTERM or SIGINT, then drains and stops.

        Returns:
            Exit code: 0, or 1 if the connection of a caller had to be cut.
        """
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)
        listener = self._make_listener()
        admin = await self._start_admin(listener)
        self._fleet_node = self._make_fleet_node()
        await self._registry.apply(self._document, 0)
        gap_observer = asyncio.create_task(
            observe_primary_gaps(
                self._registry.all_groups, timers=self._timers, metrics=self._metrics
            )
        )
        async with AsyncExitStack() as stack:
            if self._fleet_node is not None:
                await stack.enter_async_context(self._fleet_node)
            await listener.start(host=self._cfg.host, port=self._cfg.port)
            self._ready = True
            log.info("listening", host=self._cfg.host, port=self._cfg.port)
            await stop.wait()
            cut = await self._stop(listener)
        gap_observer.cancel()
        self._registry.close()
        self._admission.close()
        if admin is not None:
            await admin.close()
        log.info("stopped", cut=cut)
        return EXIT_FAILED if cut else EXIT_OK

    def _make_fleet_node(self) -> FleetNode | None:
        cfg = self._cfg
        if cfg.fleet is None or cfg.platform is None:
            return None
        return FleetNode(
            cfg,
            fleet=cfg.fleet,
            platform=cfg.platform,
            timers=self._timers,
            rng=self._rng,
            apply=self._registry.apply,
        )

    async def _stop(self, listener: Listener) -> int:
        cfg = self._cfg.stop
        self._ready = False
        log.info("stopping", connected=listener.connected)
        await self._timers.sleep(cfg.unready_ms / MS_PER_S)
        await listener.close()
        log.info("draining", connected=listener.connected)
        if self._fleet_node is not None:
            await self._fleet_node.leave()
        return await listener.drain(
            transactions_s=cfg.transactions_ms / MS_PER_S,
            statements_s=self._registry.max_deadline_s()
            + cfg.linger_ms / MS_PER_S
            + ANSWER_DELIVERY_S,
        )

    def _make_listener(self) -> Listener:
        return Listener(
            open_session=self.open_session,
            password_hashes=self._registry.password_hashes,
            timers=self._timers,
            metrics=self._metrics,
            limits=limits_of(self._cfg.callers, self._cfg.stop),
            ssl=ssl_context_of(self._cfg.callers),
        )

    async def _start_admin(self, listener: Listener) -> AdminServer | None:
        cfg = self._cfg.admin
        if cfg is None:
            return None
        admin = AdminServer(
            ready=lambda: self._ready,
            status=lambda: self._status(listener),
            registry=self._metrics.registry,
            handler=self._log_handler,
            token=cfg.token.get_secret_value(),
        )
        await admin.start(host=cfg.host, port=cfg.port)
        return admin

    def _status(self, listener: Listener) -> ProxyStatus:
        return ProxyStatus(
            proxy=self._cfg.name,
            data_centre=self._cfg.data_centre,
            version=__version__,
            ready=self._ready,
            callers=listener.connected,
            groups=[group_status(group) for group in self._registry.all_groups()],
            configuration=self._registry.version,
        )

    def _start_group(self, group: Group) -> None:
        node = self._fleet_node
        promoter = Promoter(
            group,
            proxy=self._cfg.name,
            timers=self._timers,
            rng=self._rng,
            directory=None if node is None else node.directory,
        )
        start_watcher(
            group,
            promoter=promoter,
            timers=self._timers,
            rng=self._rng,
            rank=functools.partial(self._proposer_rank, group.spec.name),
        )
        self._writer.start_pruning(group)

    def _proposer_rank(self, group: str) -> int:
        peers = [] if self._fleet_node is None else self._fleet_node.proxy_names()
        return proposer_rank(
            group, self._cfg.name, peers=peers, proxies=self._cfg.proxies
        )
