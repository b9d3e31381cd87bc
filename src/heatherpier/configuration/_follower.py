"""Keeps the configuration of a proxy at the newest accepted version."""

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

# Rate at which all proxies of a data centre together poll the head.
POLLS_PER_DATA_CENTRE_HZ = 2.0
MIN_POLL_PERIOD_S = 1.0
REQUEST_TIMEOUT_S = 0.5
# Limit of the blobs in one reply, below the 1 MiB limit of a frame. The first blob is
# sent whatever its size.
MAX_REPLY_BYTES = 512 * 1024

# Takes a validated document and its version.
Apply = Callable[[Document, int], Awaitable[None]]


class Follower:
    """Receives new heads, fetches the changed sections and activates the document.

    Heads come from polls of the table service and from peers. A version that is not
    above the active one is never activated, whatever its source.

    Attributes:
        head: Active head, or None before the first.

    Args:
        tables: Table service, which stores the head.
        objects: Object store of manifests and sections.
        network: Sends messages to peers.
        timers: Timer service.
        rng: Random source.
        apply: Activates a validated document, completely or not at all.
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
        self._activation_lock = asyncio.Lock()
        # Highest version whose document did not validate; it is not fetched again.
        self._invalid_version = 0
        self._tasks: set[asyncio.Task[None]] = set()
        network.handle(HeadNotice, self._on_notice)
        network.handle(HeadRequest, self._on_head_request)
        network.handle(BlobsRequest, self._on_blobs_request)

    def version(self) -> int:
        """Returns the active version, or 0 if none is active yet."""
        return 0 if self.head is None else self.head.version

    def use_members(self, members: Membership) -> None:
        """Sets the membership, whose members are notified of new heads."""
        self._members = members

    def note_peer_version(self, peer: Peer, version: int) -> None:
        """Fetches the head of ``peer`` if the version active there is newer."""
        if version > self.version():
            self._spawn(self._fetch_head_from(peer))

    async def run(self) -> None:
        """Polls the head until the task is cancelled."""
        while True:
            await self.poll()
            await self._timers.sleep(
                self._poll_period_s() * self._rng.uniform(0.8, 1.2)
            )

    def _poll_period_s(self) -> float:
        # Each proxy polls at a rate of its own, which is the rate of the data centre
        # divided by the number of live proxies there. This needs no election, and a
        # proxy that dies takes only its own share of the polls away.
        if self._members is None:
            return MIN_POLL_PERIOD_S
        data_centre = self._members.me.data_centre
        count = len(self._members.alive(data_centre=data_centre))
        return max(count / POLLS_PER_DATA_CENTRE_HZ, MIN_POLL_PERIOD_S)

    async def poll(self) -> None:
        """Reads the head once and activates it if it is newer."""
        try:
            record = await self._tables.get(HEAD_KEY)
        except PlatformError as exc:
            log.debug("reading the configuration head failed", reason=str(exc))
            return
        if record is None:
            return
        try:
            head = decode_head(record)
        except ConfigurationError as exc:
            log.error(
                "malformed configuration head ignored",
                version=record.version,
                reason=str(exc),
            )
            return
        await self.activate_if_newer(head, source=None)

    async def activate_if_newer(self, head: Head, *, source: Peer | None) -> None:
        """Activates ``head`` if it is newer than the active one.

        Args:
            head: Accepted head.
            source: Peer to fetch its blobs from, or None for the object store only.
        """
        async with self._activation_lock:
            if head.version <= max(self.version(), self._invalid_version):
                return
            try:
                blobs = await self._fetch_blobs(head, source=source)
                manifest = decode_manifest(blobs[head.manifest])
                document = join_sections(manifest, blobs)
            except ConfigurationError as exc:
                log.warning(
                    "configuration not activated, blobs missing",
                    version=head.version,
                    reason=str(exc),
                )
                return
            except ValidationError as exc:
                self._invalid_version = head.version
                log.error(
                    "configuration not activated, document invalid",
                    version=head.version,
                    reason=str(exc),
                )
                return
            await self._apply(document, head.version)
            self.head = head
            self._blobs = blobs
        log.info(
            "configuration version activated", version=head.version, author=head.author
        )
        if self._should_notify_peers(source):
            self._spawn(self._notify_peers(head))

    def _should_notify_peers(self, source: Peer | None) -> bool:
        # A proxy that gets a head from the store or from another data centre notifies
        # all proxies of its own data centre. Those that get it from a peer of their own
        # data centre therefore need not pass it on.
        if self._members is None:
            return False
        local = self._members.me.data_centre
        return source is None or source.data_centre != local

    async def _fetch_blobs(
        self, head: Head, *, source: Peer | None
    ) -> dict[str, bytes]:
        blobs: dict[str, bytes] = {}
        await self._add_blobs({head.manifest}, blobs, source=source)
        manifest = decode_manifest(blobs[head.manifest])
        await self._add_blobs(set(manifest.sections.values()), blobs, source=source)
        return blobs

    async def _add_blobs(
        self, wanted: set[str], blobs: dict[str, bytes], *, source: Peer | None
    ) -> None:
        """Adds the ``wanted`` blobs from the active ones, the peer or the store."""
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
            received = answer.blobs if isinstance(answer, BlobsReply) else {}
            valid = {
                name: body
                for name, body in received.items()
                if name in missing and digest(body) == name
            }
            if not valid:
                return
            blobs.update(valid)

    async def _fetch_from_store(self, name: str) -> bytes:
        try:
            body = await self._objects.get_object(BLOB_PREFIX + name)
        except PlatformError as exc:
            raise SectionMissingError(f"blob {name[:12]} can't be read: {exc}") from exc
        if body is None or digest(body) != name:
            raise SectionMissingError(
                f"blob {name[:12]} is missing or corrupt in the object store"
            )
        return body

    async def _notify_peers(self, head: Head) -> None:
        if self._members is None:
            return
        notice = HeadNotice(head=head)
        await asyncio.gather(
            *(
                self._notify(peer, notice)
                for peer in self._notice_targets(self._members)
            )
        )

    def _notice_targets(self, members: Membership) -> list[Peer]:
        """Returns all local peers and one random peer of each other data centre."""
        me = members.me
        local = [
            peer
            for peer in members.alive(data_centre=me.data_centre)
            if peer.name != me.name
        ]
        others: dict[str, list[Peer]] = {}
        for peer in members.alive():
            if peer.data_centre != me.data_centre:
                others.setdefault(peer.data_centre, []).append(peer)
        return local + [self._rng.choice(peers) for peers in others.values()]

    async def _notify(self, peer: Peer, notice: HeadNotice) -> None:
        try:
            await self._network.request(peer, notice, timeout_s=REQUEST_TIMEOUT_S)
        except PeerUnreachableError:
            # The peer learns of the version from the next membership probe.
            return

    async def _fetch_head_from(self, peer: Peer) -> None:
        try:
            answer = await self._network.request(
                peer, HeadRequest(), timeout_s=REQUEST_TIMEOUT_S
            )
        except PeerUnreachableError:
            return
        if isinstance(answer, HeadReply) and answer.head is not None:
            await self.activate_if_newer(answer.head, source=peer)

    async def _on_notice(self, sender: str, notice: HeadNotice) -> Message:
        if notice.head.version > self.version():
            self._spawn(self.activate_if_newer(notice.head, source=self._peer(sender)))
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
            if chosen and size > MAX_REPLY_BYTES:
                break
            chosen[name] = body
        return BlobsReply(blobs=chosen)

    def _peer(self, name: str) -> Peer | None:
        if self._members is None:
            return None
        return next((p for p in self._members.alive() if p.name == name), None)

    def _spawn(self, awaitable: Awaitable[None]) -> None:
        task = asyncio.ensure_future(awaitable)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancels all running requests and activations."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
