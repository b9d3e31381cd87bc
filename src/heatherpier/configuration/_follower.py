"""Keeps a proxy at the newest accepted configuration."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from pydantic import ValidationError

from heatherpier.configuration._errors import ConfigurationError, SectionMissingError
from heatherpier.configuration._head import (
    BLOB_PREFIX,
    HEAD_KEY,
    Head,
    decode_manifest,
    digest,
    join_sections,
)
from heatherpier.configuration._messages import (
    BlobsReply,
    BlobsRequest,
    HeadNotice,
    HeadReply,
    HeadRequest,
)
from heatherpier.configuration._publisher import decode_head
from heatherpier.fleet import (
    Membership,
    Message,
    Peer,
    PeerNetwork,
    PeerUnreachableError,
)
from heatherpier.settings import Document
from heatherpier.stores import ObjectStore, PlatformError, TableStore
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("configuration")

# All proxies of a data centre together poll the head this often.
POLLS_PER_DATA_CENTRE_HZ = 2.0
MIN_POLL_PERIOD_S = 1.0
REQUEST_TIMEOUT_S = 0.5
REPLY_BYTES = 512 * 1024

Apply = Callable[[Document, int], Awaitable[None]]


class Follower:
    """Learns of new heads, fetches what changed and activates it.

    A lower version is never applied, whoever offers it.

    Args:
        tables: Holds the head.
        objects: Holds the sections.
        network: Reaches peers.
        timers: Timer service.
        rng: Random source.
        apply: Activates a validated document, wholly or not at all.
    """

    def __init__(
        self,
        *,
        tables: TableStore,
        objects: ObjectStore,
        network: PeerNetwork,
        timers: Timers,
        rng: random.Random,
        apply: Apply,
    ) -> None:
        self.head: Head | None = None
        self._tables = tables
        self._objects = objects
        self._network = network
        self._timers = timers
        self._rng = rng
        self._apply = apply
        self._members: Membership | None = None
        self._blobs: dict[str, bytes] = {}
        self._applying = asyncio.Lock()
        self._refused_version = 0
        self._tasks: set[asyncio.Task[None]] = set()
        network.handle(HeadNotice, self._on_notice)
        network.handle(HeadRequest, self._on_head_request)
        network.handle(BlobsRequest, self._on_blobs_request)

    def version(self) -> int:
        """Returns the active version, or 0 before the first."""
        return 0 if self.head is None else self.head.version

    def use_members(self, members: Membership) -> None:
        """Sets whom to tell of new heads."""
        self._members = members

    def hear_version(self, peer: Peer, version: int) -> None:
        """Takes in which version is active at a peer."""
        if version > self.version():
            self._spawn(self._ask_peer(peer))

    async def run(self) -> None:
        """Polls the head for as long as the task runs."""
        while True:
            await self.poll()
            await self._timers.sleep(
                self._poll_period_s() * self._rng.uniform(0.8, 1.2)
            )

    def _poll_period_s(self) -> float:
        # The polls are shared by count, not by election: a dead peer costs its
        # share and no more, and no agreement is needed.
        if self._members is None:
            return MIN_POLL_PERIOD_S
        place = self._members.me.data_centre
        count = len(self._members.alive(data_centre=place))
        return max(count / POLLS_PER_DATA_CENTRE_HZ, MIN_POLL_PERIOD_S)

    async def poll(self) -> None:
        """Reads the head once."""
        try:
            record = await self._tables.get(HEAD_KEY)
        except PlatformError as exc:
            log.debug("head can't be read", reason=str(exc))
            return
        if record is not None:
            await self.offer(decode_head(record), source=None)

    async def offer(self, head: Head, *, source: Peer | None) -> None:
        """Activates ``head`` if it is newer than what is.

        Args:
            head: An accepted head.
            source: Peer that has its sections, or None.
        """
        async with self._applying:
            if head.version <= max(self.version(), self._refused_version):
                return
            try:
                blobs = await self._collect(head, source=source)
                manifest = decode_manifest(blobs[head.manifest])
                document = join_sections(manifest, blobs)
            except ConfigurationError as exc:
                log.warning("blobs are missing", version=head.version, reason=str(exc))
                return
            except ValidationError as exc:
                self._refused_version = head.version
                log.error("document refused", version=head.version, reason=str(exc))
                return
            await self._apply(document, head.version)
            self.head = head
            self._blobs = blobs
        log.info("version in force", version=head.version, author=head.author)
        if self._must_relay(source):
            self._spawn(self._tell_peers(head))

    def _must_relay(self, source: Peer | None) -> bool:
        # Who tells one proxy of a data centre tells them all, so those told by
        # a near peer need not repeat it.
        if self._members is None:
            return False
        near = self._members.me.data_centre
        return source is None or source.data_centre != near

    # Blobs

    async def _collect(self, head: Head, *, source: Peer | None) -> dict[str, bytes]:
        blobs: dict[str, bytes] = {}
        await self._fetch({head.manifest}, blobs, source=source)
        manifest = decode_manifest(blobs[head.manifest])
        await self._fetch(set(manifest.sections.values()), blobs, source=source)
        return blobs

    async def _fetch(
        self, wanted: set[str], blobs: dict[str, bytes], *, source: Peer | None
    ) -> None:
        blobs.update({n: self._blobs[n] for n in wanted if n in self._blobs})
        if source is not None and wanted - set(blobs):
            await self._fetch_from_peer(source, wanted, blobs)
        for name in sorted(wanted - set(blobs)):
            blobs[name] = await self._fetch_from_store(name)

    async def _fetch_from_peer(
        self, peer: Peer, wanted: set[str], blobs: dict[str, bytes]
    ) -> None:
        while missing := wanted - set(blobs):
            request = BlobsRequest(digests=tuple(sorted(missing)))
            try:
                answer = await self._network.request(
                    peer, request, timeout_s=REQUEST_TIMEOUT_S
                )
            except PeerUnreachableError:
                return
            got = answer.blobs if isinstance(answer, BlobsReply) else {}
            valid = {
                name: body
                for name, body in got.items()
                if name in missing and digest(body) == name
            }
            if not valid:
                return
            blobs.update(valid)

    async def _fetch_from_store(self, name: str) -> bytes:
        try:
            body = await self._objects.get_object(BLOB_PREFIX + name)
        except PlatformError as exc:
            raise SectionMissingError(f"blob {name[:12]}: {exc}") from exc
        if body is None or digest(body) != name:
            raise SectionMissingError(f"blob {name[:12]} is not in the object store")
        return body

    # Peers

    async def _tell_peers(self, head: Head) -> None:
        if self._members is None:
            return
        notice = HeadNotice(head=head)
        await asyncio.gather(
            *(self._tell(peer, notice) for peer in self._notified(self._members))
        )

    def _notified(self, members: Membership) -> list[Peer]:
        me = members.me
        near = [
            peer
            for peer in members.alive(data_centre=me.data_centre)
            if peer.name != me.name
        ]
        others: dict[str, list[Peer]] = {}
        for peer in members.alive():
            if peer.data_centre != me.data_centre:
                others.setdefault(peer.data_centre, []).append(peer)
        return near + [self._rng.choice(peers) for peers in others.values()]

    async def _tell(self, peer: Peer, notice: HeadNotice) -> None:
        try:
            await self._network.request(peer, notice, timeout_s=REQUEST_TIMEOUT_S)
        except PeerUnreachableError:
            # The probe's version tells the peer later.
            return

    async def _ask_peer(self, peer: Peer) -> None:
        try:
            answer = await self._network.request(
                peer, HeadRequest(), timeout_s=REQUEST_TIMEOUT_S
            )
        except PeerUnreachableError:
            return
        if isinstance(answer, HeadReply) and answer.head is not None:
            await self.offer(answer.head, source=peer)

    async def _on_notice(self, sender: str, notice: HeadNotice) -> Message:
        if notice.head.version > self.version():
            self._spawn(self.offer(notice.head, source=self._peer(sender)))
        return HeadReply(head=None)

    async def _on_head_request(self, sender: str, req: HeadRequest) -> Message:
        return HeadReply(head=self.head)

    async def _on_blobs_request(self, sender: str, req: BlobsRequest) -> Message:
        chosen: dict[str, bytes] = {}
        size = 0
        for name in req.digests:
            body = self._blobs.get(name)
            if body is None:
                continue
            size += len(body)
            if chosen and size > REPLY_BYTES:
                break
            chosen[name] = body
        return BlobsReply(blobs=chosen)

    def _peer(self, name: str) -> Peer | None:
        if self._members is None:
            return None
        return next((p for p in self._members.alive() if p.name == name), None)

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Ends all running exchanges."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
