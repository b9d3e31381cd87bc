"""Synchronises copies of the store's tables between proxies."""

import asyncio

from heatherpier.fleet import Message, Peer, PeerNetwork, PeerUnreachableError
from heatherpier.leases._deflation import DeflateError, deflate, inflate
from heatherpier.leases._grants import Grants
from heatherpier.leases._messages import CopyAnswer, CopyRequest, TableAnswer
from heatherpier.leases._peers import REQUEST_TIMEOUT_S
from heatherpier.leases._sample_exchange import SampleExchange
from heatherpier.tables import Changes, Row, TableCopy
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# Longest time that a request is held, whatever the peer asks for.
MAX_LONG_POLL_S = 5.0
# Smaller rows hardly shrink, and most rows of members and instances are smaller.
MIN_DEFLATED_BYTES = 2048


class PeerTableSync:
    """Fetches newer tables from peers, and serves this proxy's copies to them.

    Args:
        network: Requests and answers between proxies.
        copies: Copies of tables by name, shared with peers.
        granted_table: Name of the table that grants rest on.
        grants: Grants received from peers and given to them.
        exchange: Shares positions of primaries with the peer that is followed.
        timers: Timer service.
    """

    def __init__(
        self,
        *,
        network: PeerNetwork,
        copies: dict[str, TableCopy],
        granted_table: str,
        grants: Grants,
        exchange: SampleExchange,
        timers: Timers,
    ) -> None:
        self._network = network
        self._copies = copies
        self._grants = grants
        self._exchange = exchange
        self._timers = timers
        self._granted_table = granted_table
        # Version and deflated content of large rows, by table and key.
        self._deflated_rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self._changed = asyncio.Event()
        for copy in copies.values():
            copy.subscribe(self._note_changes)
        network.handle(CopyRequest, self._on_copy)

    async def refresh(self, peer: Peer) -> dict[str, float]:
        """Applies newer rows of all tables of a peer, and asks it for a grant.

        Returns:
            Age of the peer's copy of each table in seconds; empty without an answer.
        """
        return _ages(await self._request_copies(peer, hold_s=0.0, with_grant=True))

    async def request_grant(self, peer: Peer) -> dict[str, float]:
        """Asks a peer for a grant, and for newer rows of the table that it rests on.

        Other tables can be large, and are fetched from one peer only.

        Returns:
            Age of the peer's copy of that table in seconds; empty without an answer.
        """
        answer = await self._request_copies(
            peer, hold_s=0.0, with_grant=True, tables=[self._granted_table]
        )
        return _ages(answer)

    async def long_poll(self, peer: Peer, *, hold_s: float) -> bool:
        """Applies newer rows of a peer, and waits there for a change if it has none.

        Args:
            peer: The peer.
            hold_s: Longest wait for a change, in seconds.

        Returns:
            Whether the peer answered.
        """
        sent_at = self._timers.elapsed()
        answer = await self._request_copies(
            peer, hold_s=hold_s, with_grant=False, shares=True
        )
        if answer is None:
            return False
        self._exchange.take_answer(
            peer.name, answer.samples, sent_after=sent_at + answer.held_s
        )
        return True

    async def _request_copies(
        self,
        peer: Peer,
        *,
        hold_s: float,
        with_grant: bool,
        tables: list[str] | None = None,
        shares: bool = False,
    ) -> CopyAnswer | None:
        versions = {name: copy.version for name, copy in self._copies.items()}
        req = CopyRequest(
            versions=versions,
            hold_s=hold_s,
            support=with_grant,
            tables=tables,
            deflate=True,
            samples=self._exchange.report_to(peer.name) if shares else None,
            shares=shares,
        )
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
            return None
        if not isinstance(answer, CopyAnswer):
            return None
        # The peer read its copies at this time or later, so the ages that result here
        # are never too low.
        read_at = sent_at + answer.held_s
        applied = [
            self._apply_table(copy, table, read_at=read_at, peer=peer)
            for name, table in answer.tables.items()
            if (copy := self._copies.get(name)) is not None
        ]
        # A grant counts only together with the changes that the peer knows.
        if with_grant and all(applied):
            self._grants.receive(peer.name, asked_at=sent_at, grant_s=answer.grant_s)
        return answer

    def _apply_table(
        self, copy: TableCopy, table: TableAnswer, *, read_at: float, peer: Peer
    ) -> bool:
        """Applies a peer's rows; returns False if they can't be read."""
        try:
            rows = tuple(_read_row(item, table.deflated) for item in table.rows)
        except DeflateError as exc:
            log.warning(
                "rows of a peer can't be inflated",
                table=copy.table,
                peer=peer.name,
                version=table.version,
                reason=str(exc),
            )
            return False
        changes = Changes(rows=rows, version=table.version, as_of=read_at - table.age_s)
        if table.version < copy.version:
            # The peer may know a newer row although its copy is older: a peer that
            # asked it to release a primary sent that row. A grant in the same answer
            # must not be counted without it.
            for row in changes.rows:
                if row.version > copy.version:
                    copy.apply_row(row)
            return True
        if any(_is_news(row, copy) for row in rows):
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
        return True

    async def _on_copy(self, sender: str, req: CopyRequest) -> Message | None:
        began = self._timers.elapsed()
        if self._exchange.take_report(req.samples):
            self._wake()
        if req.hold_s > 0 and not self._has_changes(req):
            await self._wait_for_changes(min(req.hold_s, MAX_LONG_POLL_S))
        return CopyAnswer(
            tables={
                name: self._make_table_answer(copy, req)
                for name, copy in self._copies.items()
                if copy.version and (req.tables is None or name in req.tables)
            },
            grant_s=self._grants.give() if req.support else 0.0,
            held_s=self._timers.elapsed() - began,
            samples=self._exchange.answer_to(sender) if req.shares else None,
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
        self._wake()

    def _wake(self) -> None:
        """Ends the delay of the requests that are held."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _make_table_answer(self, copy: TableCopy, req: CopyRequest) -> TableAnswer:
        changed = copy.changes_since(req.versions.get(copy.table, 0))
        rows = copy.rows() if changed is None else changed
        sent, deflated = [], []
        for row in rows:
            body = row.body
            if req.deflate and body is not None and len(body) >= MIN_DEFLATED_BYTES:
                body = self._deflated(copy.table, row)
                deflated.append(row.key)
            sent.append((row.key, row.version, body))
        return TableAnswer(
            version=copy.version,
            age_s=copy.age_s(),
            rows=sent,
            whole=changed is None,
            deflated=deflated,
        )

    def _deflated(self, table: str, row: Row) -> bytes:
        """Returns the deflated content of a row, which is kept for other peers."""
        assert row.body is not None
        version, body = self._deflated_rows.get((table, row.key), (-1, b""))
        if version != row.version:
            body = deflate(row.body)
            self._deflated_rows[(table, row.key)] = (row.version, body)
        return body


def _read_row(item: tuple[str, int, bytes | None], deflated: list[str]) -> Row:
    key, version, body = item
    if body is not None and key in deflated:
        body = inflate(body)
    return Row(key=key, version=version, body=body)


def _ages(answer: CopyAnswer | None) -> dict[str, float]:
    if answer is None:
        return {}
    return {name: table.age_s for name, table in answer.tables.items()}


def _is_news(row: Row, copy: TableCopy) -> bool:
    known = copy.get(row.key)
    return known is None or known.version < row.version
