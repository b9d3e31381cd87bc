"""Builds a proxy from its settings and runs it."""

import asyncio
import functools
import random
import signal

from prometheus_client import REGISTRY

from heatherpier import __version__
from heatherpier._session import Session
from heatherpier._status import ProxyStatus, group_status
from heatherpier.callers import Listener, limits_of, ssl_context_of
from heatherpier.groups import (
    Group,
    GroupSpec,
    Promoter,
    proposer_rank,
    start_watcher,
)
from heatherpier.reads import Reader
from heatherpier.sessions import TokenSigner
from heatherpier.settings import Document, ProxySettings, ServiceModel
from heatherpier.telemetry import AdminServer, JsonHandler, get_logger
from heatherpier.timers import LoopTimers
from heatherpier.upstreams import Instance, MysqlConnector
from heatherpier.writes import KeyMaker, Writer

log = get_logger("proxy")
MS_PER_S = 1000
# A running statement answers at its deadline; this is for the answer's way.
ANSWER_GRACE_S = 1.0
EXIT_OK = 0
EXIT_FAILED = 1


class Proxy:
    """One proxy process.

    Args:
        cfg: Its settings.
        document: The configuration to begin with.
        log_handler: Log handler whose level the admin endpoint may change.
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
        self._reader = Reader(timers=self._timers, data_centre=cfg.data_centre, rng=rng)
        keys = KeyMaker(proxy=cfg.name, rng=rng, timers=self._timers)
        self._writer = Writer(timers=self._timers, keys=keys, rng=rng)
        self._signer = TokenSigner(
            deployment=cfg.deployment,
            keys=tuple(bytes.fromhex(key) for key in cfg.token_keys),
        )
        self._connector = MysqlConnector(
            user=cfg.upstream_user,
            password=cfg.upstream_password,
            program_name=f"heatherpier/{cfg.data_centre}/{cfg.name}",
        )
        self._services: dict[str, ServiceModel] = {}
        self._groups: dict[str, dict[str, Group]] = {}
        for service in document.services:
            self._add_service(service)

    def _add_service(self, service: ServiceModel) -> None:
        groups = {}
        for model in service.groups:
            spec = GroupSpec(
                name=model.name,
                service=service.name,
                database=model.database,
                instances=tuple(
                    Instance(
                        name=item.name,
                        host=item.host,
                        port=item.port,
                        data_centre=item.data_centre,
                        leaving=item.leaving,
                    )
                    for item in model.instances
                ),
                connections=max(service.connections // self._cfg.proxies, 1),
            )
            groups[model.database] = Group(
                spec, connector=self._connector, timers=self._timers
            )
        self._groups[service.name] = groups
        for user in service.users:
            self._services[user.name] = service

    def open_session(self, user: str) -> Session:
        """Makes the session of a new caller."""
        service = self._services[user]
        return Session(
            groups=self._groups[service.name],
            reader=self._reader,
            writer=self._writer,
            signer=self._signer,
            timers=self._timers,
            deadline_ms=service.deadline_ms,
            max_age_ms=service.max_age_ms,
            user=user,
        )

    async def run(self) -> int:
        """Serves callers until SIGTERM or SIGINT, then stops without cutting any.

        Returns:
            Exit code: 0, or 1 if a caller had to be cut.
        """
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        listener = self._make_listener()
        admin = await self._start_admin(listener)
        for group in self._all_groups():
            self._watch(group)
        await listener.start(host=self._cfg.host, port=self._cfg.port)
        self._ready = True
        log.info("listening", host=self._cfg.host, port=self._cfg.port)
        await stop.wait()
        cut = await self._stop(listener)
        for group in self._all_groups():
            group.close()
        if admin is not None:
            await admin.close()
        log.info("stopped", cut=cut)
        return EXIT_FAILED if cut else EXIT_OK

    async def _stop(self, listener: Listener) -> int:
        times = self._cfg.stop
        self._ready = False
        log.info("stopping", connected=listener.connected)
        await self._timers.sleep(times.unready_ms / MS_PER_S)
        await listener.close()
        log.info("draining", connected=listener.connected)
        deadlines = [service.deadline_ms for service in self._services.values()]
        return await listener.drain(
            transactions_s=times.transactions_ms / MS_PER_S,
            statements_s=(max(deadlines, default=0) + times.linger_ms) / MS_PER_S
            + ANSWER_GRACE_S,
        )

    def _make_listener(self) -> Listener:
        hashes = {
            user.name: user.password_hash
            for service in self._services.values()
            for user in service.users
        }
        return Listener(
            open_session=self.open_session,
            password_hashes=hashes,
            timers=self._timers,
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
            registry=REGISTRY,
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
            groups=[group_status(group) for group in self._all_groups()],
        )

    def _all_groups(self) -> list[Group]:
        return [g for groups in self._groups.values() for g in groups.values()]

    def _watch(self, group: Group) -> None:
        rng = random.SystemRandom()
        promoter = Promoter(group, proxy=self._cfg.name, timers=self._timers, rng=rng)
        rank = functools.partial(
            proposer_rank, group.spec.name, self._cfg.name, proxies=self._cfg.proxies
        )
        start_watcher(group, promoter=promoter, timers=self._timers, rng=rng, rank=rank)
