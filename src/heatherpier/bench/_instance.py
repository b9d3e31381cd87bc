"""One stand-in database instance: its log, its term and its replication."""

import asyncio
from collections import Counter
from collections.abc import Coroutine, Sequence
from typing import Any

from heatherpier.bench._engine import Engine, LogEntry, decode_entries, encode_entries
from heatherpier.bench._instance_faults import InstanceFaults
from heatherpier.groups import InstanceStatus, LogPosition, Role
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    Connection,
    Connector,
    Result,
    StatementError,
    UpstreamError,
)
from heatherpier.upstreams import Instance as Address

READ_ONLY = 1290
NOT_GRANTED = 1227
LOCK_WAIT_TIMEOUT = 1205
LOCK_WAIT_S = 5.0
FETCH_LIMIT = 200
FETCH_IDLE_S = 0.2
FETCH_TIMEOUT_S = 1.0
RECONNECT_S = 0.05
NEVER_MS = 2**31


class Instance:
    """A database instance that keeps its log, term and vote over restarts.

    Args:
        address: Its own name and address.
        peers: The other instances of its group.
        connector: Reaches the peers, for replication.
        timers: Timer service.
        slots: Statements that may run at once.
        connection_limit: Connections that may be open at once.
    """

    def __init__(
        self,
        address: Address,
        *,
        peers: Sequence[Address],
        connector: Connector,
        timers: Timers,
        slots: int = 3,
        connection_limit: int = 20,
    ) -> None:
        self.address = address
        self.name = address.name
        self.faults = InstanceFaults()
        self.slots = asyncio.Semaphore(slots)
        self.connection_limit = connection_limit
        self.timers = timers
        self.engine = Engine()
        self.log: list[LogEntry] = []
        self.reads: Counter[Role] = Counter()
        self.role = Role.REPLICA
        self.adopted_term = 0
        self.proposer = ""
        self.primary = ""
        self._led_term = 0
        self._peers = {peer.name: peer for peer in peers}
        self._connector = connector
        self._writer = asyncio.Lock()
        self._grew = asyncio.Event()
        self._last_contact: float | None = None
        self._caught_up_at: float | None = None
        self._moved = asyncio.Event()
        self._resumed = asyncio.Event()
        self._resumed.set()

    # Status and waits

    @property
    def position(self) -> LogPosition:
        """Position of the last applied entry."""
        if not self.log:
            return LogPosition(0, 0)
        return LogPosition(self.log[-1].term, self.log[-1].index)

    def status(self) -> InstanceStatus:
        """Returns what the instance tells about itself."""
        return InstanceStatus(
            instance=self.name,
            role=self.role,
            adopted_term=self.adopted_term,
            proposer=self.proposer,
            primary=self.primary,
            position=self.position,
            age_ms=self._since_ms(self._caught_up_at),
            contact_ms=self._since_ms(self._last_contact),
        )

    def _since_ms(self, moment: float | None) -> int:
        if self.role is Role.PRIMARY:
            return 0
        if moment is None:
            return NEVER_MS
        return int((self.timers.now() - moment) * 1000)

    async def wait_for(self, position: LogPosition, *, timeout_s: float) -> None:
        """Returns when ``position`` is applied, fenced off, or the time is over."""
        try:
            async with self.timers.timeout(timeout_s):
                while self.position < position and self.adopted_term <= position.term:
                    await self._grew.wait()
        except TimeoutError:
            return

    async def until_resumed(self) -> None:
        """Returns when the instance is not paused."""
        await self._resumed.wait()

    def pause(self) -> None:
        """Stops answering, as a process that gets no CPU."""
        self.faults.paused = True
        self._resumed.clear()

    def resume(self) -> None:
        """Goes on where `pause` stopped."""
        self.faults.paused = False
        self._resumed.set()

    # Terms

    def adopt(self, term: int, proposer: str) -> None:
        """Adopts ``term`` for ``proposer`` if it is higher than any before."""
        if term <= self.adopted_term:
            return
        self._enter_term(term, proposer)
        self._announce()

    def _enter_term(self, term: int, proposer: str) -> None:
        self.adopted_term = term
        self.proposer = proposer
        self.role = Role.REPLICA
        self.primary = ""
        # A transaction of the old term can't commit; replicated entries must not
        # be applied inside it.
        self.engine.rollback()
        if self._writer.locked():
            self._writer.release()
        self._writer = asyncio.Lock()

    def promote(self, term: int, proposer: str) -> None:
        """Becomes primary of a term that was adopted for ``proposer``."""
        if (term, proposer) != (self.adopted_term, self.proposer):
            raise StatementError(
                code=NOT_GRANTED,
                sqlstate="42000",
                message=f"term {term} is not adopted for {proposer}",
            )
        if self.role is Role.PRIMARY:
            return
        self.role = Role.PRIMARY
        self.primary = self.name
        self._led_term = term
        self._append(())

    def follow(self, term: int, primary: str) -> None:
        """Follows ``primary``, the primary of ``term``."""
        if term < self.adopted_term or primary == self.name:
            return
        if term > self.adopted_term:
            self._enter_term(term, "")
        if self.role is Role.REPLICA and self.primary != primary:
            self.primary = primary
            self._last_contact = None
            self._moved.set()
        self._announce()

    def bootstrap(self, primary: str) -> None:
        """Starts in term 1 under ``primary``, as a new group does."""
        self.adopt(1, "bootstrap")
        if primary == self.name:
            self.promote(1, "bootstrap")
        else:
            self.follow(1, primary)

    # Writes

    async def begin_write(self) -> int:
        """Opens the writing transaction, waiting for its turn.

        Returns:
            The term that it runs in.

        Raises:
            StatementError: The instance is not the primary, or the wait took longer
                than `LOCK_WAIT_S`.
        """
        self.require_primary()
        lock = self._writer
        try:
            async with self.timers.timeout(LOCK_WAIT_S):
                await lock.acquire()
        except TimeoutError as exc:
            raise StatementError(
                code=LOCK_WAIT_TIMEOUT,
                sqlstate="HY000",
                message="lock wait timeout exceeded",
            ) from exc
        if lock is not self._writer:
            lock.release()
            raise self._not_primary(None)
        try:
            term = self.require_primary()
        except StatementError:
            lock.release()
            raise
        self.engine.begin()
        return term

    def abandon(self, term: int) -> None:
        """Undoes the writing transaction of ``term``, if a later term did not."""
        if term == self.adopted_term:
            self.engine.rollback()
            self._writer.release()

    def require_primary(self, term: int | None = None) -> int:
        """Returns the term that this instance is primary of.

        Args:
            term: Term that the transaction began in, if it did.

        Raises:
            StatementError: It is not the primary, or no longer in ``term``.
        """
        if self.role is not Role.PRIMARY or term not in (None, self.adopted_term):
            raise self._not_primary(term)
        return self.adopted_term

    def _not_primary(self, term: int | None) -> StatementError:
        return StatementError(
            code=READ_ONLY,
            sqlstate="HY000",
            message=f"{self.name} is not the primary of term {term or 'any'}",
        )

    def commit(self, statements: tuple[str, ...]) -> LogPosition:
        """Makes the open transaction durable here and visible to readers."""
        self.engine.commit(statements)
        self._writer.release()
        return self._append(statements)

    def commit_alone(self, sql: str) -> LogPosition:
        """Commits one statement as a caller of this instance alone would."""
        self.engine.begin()
        self.engine.write(sql)
        self.engine.commit((sql,))
        return self._append((sql,))

    def _append(self, statements: tuple[str, ...]) -> LogPosition:
        entry = LogEntry(self.adopted_term, len(self.log) + 1, statements)
        self.log.append(entry)
        self._announce()
        return self.position

    def _announce(self) -> None:
        self._grew.set()
        self._grew = asyncio.Event()

    # What the bench asks

    def count_read(self, sql: str) -> None:
        """Counts a caller's read of a table by the role it is served in."""
        if " from " in sql.lower() and "heatherpier" not in sql.lower():
            self.reads[self.role] += 1

    def log_json(self, after: int, *, limit: int) -> str:
        """Returns entries of the log after index ``after`` as JSON."""
        return encode_entries(self.log[after : after + limit])

    # Replication

    async def serve_fetch(self, term: int, after: LogPosition) -> Result:
        """Answers a replica that asks for the entries after ``after``.

        The answer has one row: whether ``after`` is in this log, then the
        entries as JSON, then whether they reach the log's end.
        """
        self._require_log_of(term)
        if not self._contains(after):
            return Result(rows=((0, "[]", 0),))
        await self.wait_for(LogPosition(term, after.index + 1), timeout_s=FETCH_IDLE_S)
        self._require_log_of(term)
        entries = self.log[after.index : after.index + FETCH_LIMIT]
        body = encode_entries(entries)
        # A fenced primary can't know what a later one has written.
        complete = after.index + len(entries) == len(self.log)
        at_end = int(complete and self.role is Role.PRIMARY)
        return Result(rows=((1, body, at_end),))

    def _require_log_of(self, term: int) -> None:
        # A fenced primary's log stays as it was until it follows another primary,
        # so replicas that are still in its term may fetch the last entries.
        fenced = self._led_term == term and self.primary == ""
        leads = self.role is Role.PRIMARY and self.adopted_term == term
        if not (leads or fenced):
            raise self._not_primary(term)

    def _contains(self, position: LogPosition) -> bool:
        if position.index == 0:
            return True
        if position.index > len(self.log):
            return False
        return self.log[position.index - 1].term == position.term

    async def replicate(self) -> None:
        """Fetches entries from the primary for as long as the task runs."""
        while True:
            await self.until_resumed()
            primary = self._peers.get(self.primary)
            idle = self.role is Role.PRIMARY or self.faults.replication_stopped
            if primary is None or idle:
                await self.timers.sleep(RECONNECT_S)
                continue
            await self._until_moved(self._follow_stream(primary))

    async def _until_moved(self, work: Coroutine[Any, Any, None]) -> None:
        # A stream that hangs on a lost primary must not delay the next one.
        stream = asyncio.ensure_future(work)
        moved = asyncio.ensure_future(self._moved.wait())
        try:
            await asyncio.wait({stream, moved}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            stream.cancel()
            moved.cancel()
        try:
            await stream
        except (UpstreamError, TimeoutError):
            await self.timers.sleep(RECONNECT_S)
        except asyncio.CancelledError:
            if not self._moved.is_set():
                raise
        self._moved.clear()

    async def _follow_stream(self, primary: Address) -> None:
        async with self.timers.timeout(FETCH_TIMEOUT_S):
            conn = await self._connector.connect(primary)
        try:
            while self.primary == primary.name and self.role is Role.REPLICA:
                if self.faults.replication_stopped:
                    return
                await self._fetch_once(conn)
        finally:
            conn.abort()

    async def _fetch_once(self, conn: Connection) -> None:
        term, after = self.adopted_term, self.position
        sql = f"CALL group_fetch({term}, {after.term}, {after.index})"
        async with self.timers.timeout(FETCH_TIMEOUT_S):
            result = await conn.execute(sql)
        found, body, at_end = result.rows[0]
        read_at = self.timers.now()
        entries = decode_entries(body)
        if entries:
            await self._lag(conn, term)
        await self.until_resumed()
        if self.faults.replication_stopped:
            return
        if self.adopted_term != term or self.position != after:
            return
        self._last_contact = self.timers.now()
        if not int(found):
            self._truncate(after.index - 1)
            return
        for entry in entries:
            self.engine.apply(entry)
            self.log.append(entry)
        if int(at_end):
            self._caught_up_at = read_at
        if entries:
            self._announce()

    async def _lag(self, conn: Connection, term: int) -> None:
        # A replica that is far behind still hears from its primary.
        end = self.timers.now() + self.faults.lag_ms / 1000
        while (left := end - self.timers.now()) > 0:
            await self.timers.sleep(min(left, FETCH_IDLE_S))
            if left <= FETCH_IDLE_S:
                return
            async with self.timers.timeout(FETCH_TIMEOUT_S):
                await conn.execute("CALL group_status()")
            if self.adopted_term == term:
                self._last_contact = self.timers.now()

    def _truncate(self, length: int) -> None:
        del self.log[length:]
        self.engine.reset(self.log)
