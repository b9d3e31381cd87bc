"""A stand-in database instance: its log, its term and its replication."""

import asyncio
from collections import Counter
from collections.abc import Coroutine, Sequence
from typing import Any

from heatherpier.bench._engine import Engine, LogEntry, decode_entries, encode_entries
from heatherpier.bench._instance_faults import InstanceFaults
from heatherpier.groups import InstanceStatus, Role
from heatherpier.positions import LogPosition
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
ACCESS_DENIED = 1227
LOCK_WAIT_TIMEOUT = 1205
LOCK_WAIT_TIMEOUT_S = 5.0
MAX_FETCH_ENTRIES = 200
# How long a fetch at the end of the log waits for a new entry; also the period at which
# a replica with delayed entries refreshes its contact with the primary.
FETCH_LONG_POLL_S = 0.2
FETCH_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.05
# Reported as the age, or as the time since the last contact, while that is not known:
# the replica has not caught up with a primary, or not reached the one that it follows.
UNKNOWN_AGE_MS = 2**31


class Instance:
    """A database instance whose log, term and vote survive restarts.

    Args:
        address: Name and address of this instance.
        peers: The instances of its group.
        connector: Opens connections to the peers, for replication.
        timers: Timer service.
        slots: Maximum count of statements that run at once.
        connection_limit: Maximum count of open connections.

    Attributes:
        faults: Faults to inject.
        log: All committed transactions.
        reads: Counts of callers' reads, by the role that they were served in.
        adopted_term: Highest term that the instance has adopted.
        proposer: Proxy that the term was adopted for; empty if the instance
            learned of the term by following its primary.
        primary: Name of the primary that it follows, or its own name as primary;
            empty while it has none.
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
        self._last_primary_term = 0
        self._peers = {peer.name: peer for peer in peers}
        self._connector = connector
        self._write_lock = asyncio.Lock()
        self._state_changed = asyncio.Event()
        self._last_contact_at: float | None = None
        self._caught_up_at: float | None = None
        self._primary_changed = asyncio.Event()
        self._resumed = asyncio.Event()
        self._resumed.set()

    @property
    def position(self) -> LogPosition:
        """Position of the last applied entry, (0, 0) for an empty log."""
        if not self.log:
            return LogPosition(0, 0)
        return LogPosition(self.log[-1].term, self.log[-1].index)

    def status(self) -> InstanceStatus:
        """Returns the replication status that the instance reports."""
        return InstanceStatus(
            instance=self.name,
            role=self.role,
            adopted_term=self.adopted_term,
            proposer=self.proposer,
            primary=self.primary,
            position=self.position,
            age_ms=self._elapsed_ms(self._caught_up_at),
            contact_ms=self._elapsed_ms(self._last_contact_at),
        )

    def _elapsed_ms(self, moment: float | None) -> int:
        if self.role is Role.PRIMARY:
            return 0
        if moment is None:
            return UNKNOWN_AGE_MS
        return int((self.timers.now() - moment) * 1000)

    async def wait_for(self, position: LogPosition, *, timeout_s: float) -> None:
        """Waits until ``position`` is applied, at most ``timeout_s`` seconds.

        Also returns once a later term is adopted, since the entry may then never
        arrive.
        """
        try:
            async with self.timers.timeout(timeout_s):
                while self.position < position and self.adopted_term <= position.term:
                    await self._state_changed.wait()
        except TimeoutError:
            return

    async def wait_until_resumed(self) -> None:
        """Waits until the instance is not paused."""
        await self._resumed.wait()

    def pause(self) -> None:
        """Stops all answers, as a process that gets no CPU time does."""
        self.faults.paused = True
        self._resumed.clear()

    def resume(self) -> None:
        """Ends a `pause`; waiting statements continue."""
        self.faults.paused = False
        self._resumed.set()

    def adopt(self, term: int, proposer: str) -> None:
        """Adopts ``term`` for ``proposer`` if it is higher than the adopted term.

        This fences the instance: it is no longer the primary of an earlier term.
        """
        if term <= self.adopted_term:
            return
        self._enter_term(term, proposer)
        self._notify_state_changed()

    def _enter_term(self, term: int, proposer: str) -> None:
        self.adopted_term = term
        self.proposer = proposer
        self.role = Role.REPLICA
        self.primary = ""
        # A transaction of the old term can no longer commit. It is rolled back, since
        # replicated entries would otherwise be applied inside it. Transactions that
        # wait for the old lock wake up and fail, as the lock is no longer current.
        self.engine.rollback()
        if self._write_lock.locked():
            self._write_lock.release()
        self._write_lock = asyncio.Lock()

    def promote(self, term: int, proposer: str) -> None:
        """Makes the instance primary of ``term``, which was adopted for ``proposer``.

        Raises:
            StatementError: The adopted term is another, or of another proposer.
        """
        if (term, proposer) != (self.adopted_term, self.proposer):
            raise StatementError(
                code=ACCESS_DENIED,
                sqlstate="42000",
                message=f"term {term} is not adopted for {proposer}",
            )
        if self.role is Role.PRIMARY:
            return
        self.role = Role.PRIMARY
        self.primary = self.name
        self._last_primary_term = term
        self._append_entry(())

    def follow(self, term: int, primary: str) -> None:
        """Follows ``primary``, the primary of ``term``, unless the term is outdated."""
        if term < self.adopted_term or primary == self.name:
            return
        if term > self.adopted_term:
            self._enter_term(term, "")
        if self.role is Role.REPLICA and self.primary != primary:
            self.primary = primary
            self._last_contact_at = None
            self._primary_changed.set()
        self._notify_state_changed()

    def bootstrap(self, primary: str) -> None:
        """Enters term 1 with ``primary`` as the primary, as in a new group."""
        self.adopt(1, "bootstrap")
        if primary == self.name:
            self.promote(1, "bootstrap")
        else:
            self.follow(1, primary)

    async def begin_write(self) -> int:
        """Waits for the write lock and opens the writing transaction.

        Returns:
            The term that the transaction runs in.

        Raises:
            StatementError: The instance is not the primary, or the lock was not
                free within `LOCK_WAIT_TIMEOUT_S`.
        """
        self.require_primary()
        lock = self._write_lock
        try:
            async with self.timers.timeout(LOCK_WAIT_TIMEOUT_S):
                await lock.acquire()
        except TimeoutError as exc:
            raise StatementError(
                code=LOCK_WAIT_TIMEOUT,
                sqlstate="HY000",
                message="lock wait timeout exceeded",
            ) from exc
        if lock is not self._write_lock:
            lock.release()
            raise self._not_primary(None)
        try:
            term = self.require_primary()
        except StatementError:
            lock.release()
            raise
        self.engine.begin()
        return term

    def roll_back(self, term: int) -> None:
        """Rolls back the writing transaction of ``term``.

        Does nothing if a later term was adopted since: adopting it rolled the
        transaction back.
        """
        if term == self.adopted_term:
            self.engine.rollback()
            self._write_lock.release()

    def require_primary(self, term: int | None = None) -> int:
        """Returns the term that this instance is primary of.

        Args:
            term: Term that the transaction began in; None if it has not begun.

        Raises:
            StatementError: The instance is not the primary, or not of ``term``.
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
        """Commits the writing transaction, appends it to the log and frees the lock.

        Args:
            statements: The writes of the transaction, in order.
        """
        self.engine.commit(statements)
        self._write_lock.release()
        return self._append_entry(statements)

    def commit_alone(self, sql: str) -> LogPosition:
        """Commits one statement in its own transaction, without a connection."""
        self.engine.begin()
        self.engine.write(sql)
        self.engine.commit((sql,))
        return self._append_entry((sql,))

    def _append_entry(self, statements: tuple[str, ...]) -> LogPosition:
        entry = LogEntry(self.adopted_term, len(self.log) + 1, statements)
        self.log.append(entry)
        self._notify_state_changed()
        return self.position

    def _notify_state_changed(self) -> None:
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    def count_read(self, sql: str) -> None:
        """Counts a caller's read of a table under the current role.

        Reads without a table, and those of the proxies' own tables, don't count.
        """
        if " from " in sql.lower() and "heatherpier" not in sql.lower():
            self.reads[self.role] += 1

    def log_json(self, after: int, *, limit: int) -> str:
        """Returns at most ``limit`` log entries after index ``after`` as JSON."""
        return encode_entries(self.log[after : after + limit])

    async def serve_fetch(self, term: int, after: LogPosition) -> Result:
        """Answers a replica's request for the log entries after ``after``.

        Args:
            term: Term that the replica is in.
            after: Position of the replica's last entry.

        Returns:
            One row: whether ``after`` is in this log, the entries as JSON, and
            whether they reach the end of the log. If there is no entry yet, it
            waits for one for `FETCH_LONG_POLL_S`.

        Raises:
            StatementError: The instance is not the primary of ``term``, nor its fenced
                primary that follows no other one yet.
        """
        self._require_log_of_term(term)
        if not self._contains(after):
            return Result(rows=((0, "[]", 0),))
        await self.wait_for(
            LogPosition(term, after.index + 1), timeout_s=FETCH_LONG_POLL_S
        )
        self._require_log_of_term(term)
        entries = self.log[after.index : after.index + MAX_FETCH_ENTRIES]
        body = encode_entries(entries)
        # A fenced primary doesn't know what a later primary has written, so its last
        # entry does not mean that the replica is up to date.
        complete = after.index + len(entries) == len(self.log)
        at_end = int(complete and self.role is Role.PRIMARY)
        return Result(rows=((1, body, at_end),))

    def _require_log_of_term(self, term: int) -> None:
        # The log of a fenced primary does not change until it follows another primary.
        # Until then, replicas that are still in its term may fetch the last entries.
        is_fenced = self._last_primary_term == term and self.primary == ""
        is_primary = self.role is Role.PRIMARY and self.adopted_term == term
        if not (is_primary or is_fenced):
            raise self._not_primary(term)

    def _contains(self, position: LogPosition) -> bool:
        if position.index == 0:
            return True
        if position.index > len(self.log):
            return False
        return self.log[position.index - 1].term == position.term

    async def replicate(self) -> None:
        """Fetches entries from the current primary until the task is cancelled."""
        while True:
            await self.wait_until_resumed()
            primary = self._peers.get(self.primary)
            is_idle = self.role is Role.PRIMARY or self.faults.replication_stopped
            if primary is None or is_idle:
                await self.timers.sleep(RECONNECT_DELAY_S)
                continue
            await self._run_until_primary_changes(self._follow_stream(primary))

    async def _run_until_primary_changes(self, coro: Coroutine[Any, Any, None]) -> None:
        # A stream that hangs on a lost primary must not delay the stream from its
        # successor.
        stream = asyncio.ensure_future(coro)
        primary_changed = asyncio.ensure_future(self._primary_changed.wait())
        try:
            await asyncio.wait(
                {stream, primary_changed}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            stream.cancel()
            primary_changed.cancel()
        try:
            await stream
        except (UpstreamError, TimeoutError):
            await self.timers.sleep(RECONNECT_DELAY_S)
        except asyncio.CancelledError:
            if not self._primary_changed.is_set():
                raise
        self._primary_changed.clear()

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
            await self._delay_entries(conn, term)
        await self.wait_until_resumed()
        if self.faults.replication_stopped:
            return
        if self.adopted_term != term or self.position != after:
            return
        self._last_contact_at = self.timers.now()
        if not int(found):
            self._truncate(after.index - 1)
            return
        for entry in entries:
            self.engine.apply(entry)
            self.log.append(entry)
        if int(at_end):
            self._caught_up_at = read_at
        if entries:
            self._notify_state_changed()

    async def _delay_entries(self, conn: Connection, term: int) -> None:
        # A replica whose entries arrive late is still in contact with its primary, so
        # the contact is refreshed while the entries are delayed.
        deadline = self.timers.now() + self.faults.lag_ms / 1000
        while (remaining_s := deadline - self.timers.now()) > 0:
            await self.timers.sleep(min(remaining_s, FETCH_LONG_POLL_S))
            if remaining_s <= FETCH_LONG_POLL_S:
                return
            async with self.timers.timeout(FETCH_TIMEOUT_S):
                await conn.execute("CALL group_status()")
            if self.adopted_term == term:
                self._last_contact_at = self.timers.now()

    def _truncate(self, length: int) -> None:
        del self.log[length:]
        self.engine.reset(self.log)
