"""Builds a proxy from its settings and runs it."""

import asyncio
import functools
import random
import signal

from heatherpier._session import Session
from heatherpier.callers import Listener
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
from heatherpier.telemetry import get_logger
from heatherpier.timers import LoopTimers
from heatherpier.upstreams import Instance, MysqlConnector
from heatherpier.writes import KeyMaker, Writer

log = get_logger("proxy")


class Proxy:
    """One proxy process.

    Args:
        cfg: Its settings.
        document: The configuration to begin with.
    """

    def __init__(self, cfg: ProxySettings, document: Document) -> None:
        self._cfg = cfg
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

    async def run(self) -> None:
        """Serves callers until SIGTERM or SIGINT."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        hashes = {
            user.name: user.password_hash
            for service in self._services.values()
            for user in service.users
        }
        listener = Listener(open_session=self.open_session, password_hashes=hashes)
        for groups in self._groups.values():
            for group in groups.values():
                self._watch(group)
        await listener.start(host=self._cfg.host, port=self._cfg.port)
        log.info("listening", host=self._cfg.host, port=self._cfg.port)
        await stop.wait()
        await listener.close()
        for groups in self._groups.values():
            for group in groups.values():
                group.close()
        log.info("stopped")

    def _watch(self, group: Group) -> None:
        rng = random.SystemRandom()
        promoter = Promoter(group, proxy=self._cfg.name, timers=self._timers, rng=rng)
        rank = functools.partial(
            proposer_rank, group.spec.name, self._cfg.name, proxies=self._cfg.proxies
        )
        start_watcher(group, promoter=promoter, timers=self._timers, rng=rng, rank=rank)
