"""Composes the part of a MySQL proxy that takes part in its fleet.

Joins the peer network, membership, the follower of the configuration and the
directory of primaries.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

from heatherpier._directory import PlatformDirectory
from heatherpier.configuration import MESSAGES, Follower
from heatherpier.fleet import (
    MEMBERSHIP_MESSAGES,
    Codec,
    CurveKeys,
    Membership,
    Peer,
    ZmqPeers,
)
from heatherpier.settings import Document, FleetModel, PlatformModel, ProxySettings
from heatherpier.stores import AwsPlatform, PlatformAddress
from heatherpier.timers import Timers

LEAVE_TIMEOUT_S = 1.0


class FleetNode:
    """A proxy's membership in its fleet, as an asynchronous context manager.

    Args:
        cfg: Settings of the proxy.
        fleet: Settings of the fleet.
        platform: Settings of the platform's services.
        timers: Timer service.
        rng: Random source.
        apply: Activates a document of the given version.

    Attributes:
        members: Membership of the fleet.
        directory: Directory of primaries.
    """

    def __init__(
        self,
        cfg: ProxySettings,
        *,
        fleet: FleetModel,
        platform: PlatformModel,
        timers: Timers,
        rng: random.Random,
        apply: Callable[[Document, int], Awaitable[None]],
    ) -> None:
        me = Peer(
            name=cfg.name,
            host=cfg.host,
            port=fleet.port,
            data_centre=cfg.data_centre,
        )
        self._seeds = [
            Peer(
                name=seed.name,
                host=seed.host,
                port=seed.port,
                data_centre=seed.data_centre,
            )
            for seed in fleet.seeds
        ]
        self._timers = timers
        self._stack = AsyncExitStack()
        self._platform = AwsPlatform(platform_address(platform))
        self._network = ZmqPeers(
            me,
            keys=CurveKeys(
                public=fleet.public_key.encode(),
                secret=fleet.secret_key.get_secret_value().encode(),
            ),
            codec=Codec((*MEMBERSHIP_MESSAGES, *MESSAGES)),
            timers=timers,
        )
        self._follower = Follower(
            tables=self._platform,
            objects=self._platform,
            network=self._network,
            timers=timers,
            rng=rng,
            apply=apply,
        )
        self.members = Membership(
            me,
            network=self._network,
            timers=timers,
            rng=rng,
            # Wall time is needed only to give each restart another incarnation. If
            # the clock was set back, the member refutes what peers say of its
            # earlier incarnation and so gets a higher one.
            incarnation=timers.wall_ms(),
            version=self._follower.version,
            on_version=self._follower.note_peer_version,
        )
        self._follower.use_members(self.members)
        self.directory = PlatformDirectory(self._platform)

    async def __aenter__(self) -> "FleetNode":
        await self._stack.enter_async_context(self._platform)
        await self._stack.enter_async_context(self._network)
        tasks = [
            asyncio.create_task(self._run_membership()),
            asyncio.create_task(self._follower.run()),
        ]
        self._stack.push_async_callback(self._stop_tasks, tasks)
        return self

    async def _run_membership(self) -> None:
        await self.members.join(self._seeds)
        await self.members.run()

    async def _stop_tasks(self, tasks: list[asyncio.Task[None]]) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._follower.close()

    async def leave(self) -> None:
        """Informs peers that this proxy stops, for at most `LEAVE_TIMEOUT_S`."""
        try:
            async with self._timers.timeout(LEAVE_TIMEOUT_S):
                await self.members.leave()
        except TimeoutError:
            return

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    def proxy_names(self) -> list[str]:
        """Returns the names of all proxies that may be alive."""
        return [peer.name for peer in self.members.alive()]


def platform_address(model: PlatformModel) -> PlatformAddress:
    """Converts the settings of the platform's services to their address."""
    return PlatformAddress(
        table_url=model.table_url,
        object_url=model.object_url,
        table=model.table,
        bucket=model.bucket,
        region=model.region,
        access_key=model.access_key,
        secret_key=model.secret_key.get_secret_value(),
    )
