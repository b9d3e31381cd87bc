"""Synchronises copies of the store's tables between proxies."""

import asyncio

from heatherpier.fleet import Message, Peer, PeerNetwork, PeerUnreachableError
from heatherpier.leases._grants import Grants
from heatherpier.leases._messages import CopyAnswer, CopyRequest, TableAnswer
from heatherpier.leases._peers import REQUEST_TIMEOUT_S
from heatherpier.tables import Changes, Row, TableCopy
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# Longest time that a request is held, whatever the peer asks for.
MAX_LONG_POLL_S = 5.0


class PeerTableSync:
    """Fetches newer tables from peers, and serves this proxy's copies to them.

    Args:
        network: Requests and answers between proxies.
        copies: Copies of tables by name, shared with peers.
        grants: Grants received from peers and given to them.
        timers: Timer service.
    """

    def __init__(
        self,
        *,
        network: PeerNetwork,
        copies: dict[str, TableCopy],
        grants: Grants,
        timers: Timers,
    ) -> None:
        self._network = network
        self._copies = copies
        self._grants = grants
        self._timers = timers
        self._changed = asyncio.Event()
        for copy in copies.values():
            copy.subscribe(self._note_changes)
        network.handle(CopyRequest, self._on_copy)

    async def refresh(self, peers: list[Peer]) -> None:
        """Applies newer rows of peers to the copies, and asks each peer for a grant."""
        await asyncio.gather(
            *(self._request_copies(peer, hold_s=0.0, with_grant=True) for peer in peers)
        )

    async def long_poll(self, peer: Peer, *, hold_s: float) -> bool:
        """Applies newer rows of a peer, and waits there for a change if it has none.

        Args:
            peer: The peer.
            hold_s: Longest wait for a change, in seconds.

        Returns:
            Whether the peer answered.
        """
        return await self._request_copies(peer, hold_s=hold_s, with_grant=False)

    async def _request_copies(
        self, peer: Peer, *, hold_s: float, with_grant: bool
    ) -> bool:
        versions = {name: copy.version for name, copy in self._copies.items()}
        req = CopyRequest(versions=versions, hold_s=hold_s, support=with_grant)
        sent_at = self._timers.elapsed()
        try:
            answer = await self._network.request(
                peer, req, timeout_s=hold_s + REQUEST_TIMEOUT_S
            )
        except PeerUnreachableError as exc:
            log.info(
                "peer did not answer a request for tables",
                peer=peer.name,
                reason=str(exc),
            )
            return False
        if not isinstance(answer, CopyAnswer):
            return False
        for name, table in answer.tables.items():
            copy = self._copies.get(name)
            if copy is not None:
                # The peer read its copy at this time or later, so the age
                # that results here is never too low.
                read_at = sent_at + answer.held_s
                self._apply_table(copy, table, read_at=read_at, peer=peer)
        if not with_grant:
            return True
        self._grants.receive(peer.name, asked_at=sent_at, grant_s=answer.grant_s)
        return True

    def _apply_table(
        self, copy: TableCopy, table: TableAnswer, *, read_at: float, peer: Peer
    ) -> None:
        changes = Changes(
            rows=tuple(
                Row(key=key, version=version, body=body)
                for key, version, body in table.rows
            ),
            version=table.version,
            as_of=read_at - table.age_s,
        )
        if table.version < copy.version:
            # The peer may know a newer row although its copy is older: a peer that
            # asked it to release a primary sent that row. A grant in the same answer
            # must not be counted without it.
            for row in changes.rows:
                if row.version > copy.version:
                    copy.apply_row(row)
            return
        if table.rows:
            log.info(
                "table updated from a peer",
                table=copy.table,
                peer=peer.name,
                version=table.version,
                previous=copy.version,
                rows=len(table.rows),
                age_s=round(table.age_s, 3),
            )
        if table.whole:
            copy.replace(changes)
        else:
            copy.apply(changes)

    async def _on_copy(self, sender: str, req: CopyRequest) -> Message | None:
        began = self._timers.elapsed()
        if req.hold_s > 0 and not self._has_changes(req):
            await self._wait_for_changes(min(req.hold_s, MAX_LONG_POLL_S))
        return CopyAnswer(
            tables={
                name: _make_table_answer(copy, since=req.versions.get(name, 0))
                for name, copy in self._copies.items()
                if copy.version
            },
            grant_s=self._grants.give() if req.support else 0.0,
            held_s=self._timers.elapsed() - began,
        )

    def _has_changes(self, req: CopyRequest) -> bool:
        """Returns whether this proxy knows rows that a peer lacks."""
        return any(
            copy.changes_since(req.versions.get(name, 0)) != ()
            for name, copy in self._copies.items()
        )

    async def _wait_for_changes(self, limit_s: float) -> None:
        try:
            async with self._timers.timeout(limit_s):
                await self._changed.wait()
        except TimeoutError:
            # The answer then says that nothing has changed.
            return

    def _note_changes(self, row: Row) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _make_table_answer(copy: TableCopy, *, since: int) -> TableAnswer:
    changed = copy.changes_since(since)
    rows = copy.rows() if changed is None else changed
    return TableAnswer(
        version=copy.version,
        age_s=copy.age_s(),
        rows=[(row.key, row.version, row.body) for row in rows],
        whole=changed is None,
    )
