"""Attempts to run a statement on one instance."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

from heatherpier.discovery import InstanceRecord
from heatherpier.leases import Lease
from heatherpier.pooling import (
    Call,
    InstanceConnection,
    OpenTransaction,
    Pool,
)
from heatherpier.positions import LogPosition
from heatherpier.requests import OverloadedError
from heatherpier.serving._context import ServingContext
from heatherpier.serving._pending_statement import PendingStatement
from heatherpier.serving._positions import PositionSample
from heatherpier.statements import Code, Done, Failed, Reply
from heatherpier.telemetry import get_logger
from heatherpier.upstreams import (
    ConnectError,
    ConnectionLostError,
    InstanceLeavingError,
    InstanceUnreachableError,
    PathLostError,
    TooManyConnectionsError,
)

log = get_logger("serving")
# A statement is not sent if less time than this is left: a round trip between regions
# and a short execution take this long.
MIN_EXECUTION_S = 0.05
# An answer that comes within this time after the deadline is still read, so that its
# connection can be reused instead of closed.
LATE_ANSWER_GRACE_S = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """An instance for an attempt, with the conditions of its use.

    Attributes:
        record: The instance.
        lease: The lease to use it as the primary, or None for a replica.
        min_position: Position sample that its log must include, or None if the
            statement does not require one.
    """

    record: InstanceRecord
    lease: Lease | None
    min_position: PositionSample | None

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.record.name

    @property
    def role(self) -> str:
        """Role that the instance is used in: ``primary`` or ``replica``."""
        return "replica" if self.lease is None else "primary"

    @property
    def position(self) -> LogPosition | None:
        """The position that its log must include, or None if there is none."""
        return None if self.min_position is None else self.min_position.position


@dataclass(frozen=True, slots=True, kw_only=True)
class NotSent:
    """Result of an attempt that did not reach an instance, so nothing ran.

    Attributes:
        reason: Cause, for the caller and the log.
        retry_after_ms: Time in milliseconds after which a retry may succeed, or None
            if unknown.
        overloaded: Whether capacity would become free too late; the statement is
            then refused without further attempts.
    """

    reason: str
    retry_after_ms: int | None = None
    overloaded: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerLost:
    """Result of an attempt whose answer did not arrive, so its outcome is unknown."""

    reason: str


AttemptResult = Reply | NotSent | AnswerLost


@dataclass(slots=True)
class _Progress:
    """Progress of an attempt.

    Attributes:
        sent: Whether the statement may have been sent.
        may_abandon: Whether the attempt may end early although it was sent.
    """

    sent: bool = False
    may_abandon: bool = False

    def timeout_result(self, target: Target) -> AttemptResult:
        """Returns the result of an attempt that did not end in time."""
        if self.sent:
            return AnswerLost(reason=f"{target.name}: no answer in time")
        return NotSent(reason=f"{target.name}: no connection in time")


class Attempts:
    """Runs statements on chosen instances and records what their answers show.

    Args:
        context: State that all sessions share.
    """

    def __init__(self, context: ServingContext) -> None:
        self._context = context
        self._tasks: set[asyncio.Task[AttemptResult]] = set()

    @asynccontextmanager
    async def acquired(
        self, target: Target, statement: PendingStatement, *, until: float
    ) -> AsyncIterator[tuple[InstanceConnection, Pool]]:
        """Acquires a connection to the target for the duration of the context."""
        pool = self._context.pools.of(target.record, statement.organisation)
        conn = await self.acquire(
            pool, target, statement, until=until, in_transaction=False
        )
        began = self._context.timers.now()
        service = statement.route.service
        if target.lease is not None:
            self._context.in_flight.begin(service, conn.abort)
        try:
            yield conn, pool
        finally:
            if target.lease is not None:
                self._context.in_flight.end(service, conn.abort)
            pool.release(conn, held_s=self._context.timers.now() - began)

    async def acquire(
        self,
        pool: Pool,
        target: Target,
        statement: PendingStatement,
        *,
        until: float,
        in_transaction: bool,
    ) -> InstanceConnection:
        """Acquires a connection for work that is not bound to the target yet.

        Args:
            pool: Pool of the target.
            target: The instance.
            statement: The statement.
            until: Monotonic time in seconds at which the attempt ends.
            in_transaction: Whether the statement opens a transaction.

        Raises:
            OverloadedError: No connection would be free in time.
            InstanceLeavingError: The target gets no new work before one would be.
            ConnectError: No connection can be opened.
        """
        if not self.accepts_new_work(target):
            raise InstanceLeavingError(f"{target.name} is leaving")
        left_s = self._context.registry.new_work_left_s(target.name)
        leaving_at = self._context.timers.now() + left_s
        queue_until = self.queue_until(pool, statement, until=until)
        try:
            return await pool.acquire(
                statement.needs.values,
                organisation=statement.organisation,
                priority=statement.route.priority,
                deadline=min(queue_until, leaving_at),
                use=statement.connection_use(in_transaction=in_transaction),
            )
        except OverloadedError as exc:
            if queue_until <= leaving_at:
                raise
            # Another instance may still have room.
            raise InstanceLeavingError(f"{target.name} is leaving") from exc

    def queue_until(
        self, pool: Pool, statement: PendingStatement, *, until: float
    ) -> float:
        """Returns until when a statement queues for a connection.

        Without an open connection the statement waits longer. The instance may be
        full of connections of lost proxies, whose slots become free within seconds,
        and each refusal would use up one of the caller's few attempts.

        So it does in fair order, where the pool refuses at once what has no chance.
        An instance that stops answering shows in its rate only after a while, so the
        caller keeps time for an attempt through another proxy.

        Returns:
            Monotonic time in seconds.
        """
        latest = until - MIN_EXECUTION_S
        if pool.fair or not pool.open_connections:
            return min(latest, statement.unattempted_until())
        return min(latest, statement.queue_until(self._context.timers.now()))

    async def run(
        self, target: Target, statement: PendingStatement, *, until: float
    ) -> AttemptResult:
        """Makes one attempt to run a statement outside of transactions.

        The attempt goes on in the background after ``until``, so that a late answer
        still leaves its connection reusable. If waiters are in fair order and this
        method is cancelled, an attempt that was not sent ends.

        Args:
            target: The instance.
            statement: The statement.
            until: Monotonic time in seconds at which this method returns at the
                latest.
        """
        progress = _Progress()
        task = asyncio.create_task(self._run(target, statement, progress, until=until))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        left_s = until - self._context.timers.now()
        try:
            done, _ = await asyncio.wait({task}, timeout=max(left_s, 0))
        except asyncio.CancelledError:
            abandoned = progress.may_abandon or not progress.sent
            if self._context.pools.fair and abandoned:
                # Nobody needs the answer, so it takes no place among the waiters.
                task.cancel()
            raise
        result = task.result() if done else progress.timeout_result(target)
        self._context.metrics.attempts.labels(target.role, result_label(result)).inc()
        return result

    async def _run(
        self,
        target: Target,
        statement: PendingStatement,
        progress: "_Progress",
        *,
        until: float,
    ) -> AttemptResult:
        try:
            async with self.acquired(target, statement, until=until) as (conn, pool):
                # After `until` nothing is sent any more, so a statement that is
                # reported as not sent does not run later.
                progress.sent = self._context.timers.now() < until
                progress.may_abandon = pool.may_abandon
                return await self.send(conn, target, statement, until=until)
        except (OverloadedError, ConnectError) as exc:
            return self.not_sent(target, exc)

    def not_sent(self, target: Target, exc: OverloadedError | ConnectError) -> NotSent:
        """Returns the result of an attempt that got no connection.

        A failure to connect counts against the health of the instance, unless the
        instance refused because it has too many connections, or leaves.
        """
        if isinstance(exc, OverloadedError):
            return NotSent(
                reason=exc.reason, retry_after_ms=exc.retry_after_ms, overloaded=True
            )
        if not isinstance(exc, TooManyConnectionsError | InstanceLeavingError):
            self._note_failure(target.name, str(exc), self._context.timers.now())
        return NotSent(reason=str(exc))

    async def open(
        self,
        conn: InstanceConnection,
        target: Target,
        statement: PendingStatement,
        *,
        read_only: bool,
    ) -> AttemptResult:
        """Opens a transaction on an acquired connection.

        The first statement is not pipelined with the opening: if the instance
        refused the opening, the statement would run outside of the transaction.
        """
        begin = OpenTransaction(read_only=read_only, min_position=target.position)
        return await self._exchange(
            conn,
            target,
            [*conn.setup_calls(statement.needs), begin],
            until=statement.deadline,
        )

    async def send(
        self,
        conn: InstanceConnection,
        target: Target,
        statement: PendingStatement,
        *,
        until: float,
    ) -> AttemptResult:
        """Runs a statement on an acquired connection."""
        calls = [
            *conn.setup_calls(statement.needs),
            statement.with_min_position(target.position),
        ]
        result = await self._exchange(
            conn,
            target,
            calls,
            until=until,
            grace_s=LATE_ANSWER_GRACE_S,
            kind=statement.kind,
        )
        if isinstance(result, Reply) and _lacks_prepared_statement(result):
            # The instance no longer has the prepared statement, so nothing ran.
            conn.forget_prepared()
            calls = [
                *conn.setup_calls(statement.needs),
                statement.with_min_position(target.position),
            ]
            result = await self._exchange(
                conn,
                target,
                calls,
                until=until,
                grace_s=LATE_ANSWER_GRACE_S,
                kind=statement.kind,
            )
        return result

    async def send_next(
        self, conn: InstanceConnection, target: Target, statement: PendingStatement
    ) -> AttemptResult:
        """Runs a statement on the connection of an open transaction."""
        calls = [*conn.setup_calls(statement.needs), statement.call]
        return await self._exchange(
            conn, target, calls, until=statement.deadline, in_transaction=True
        )

    async def _exchange(
        self,
        conn: InstanceConnection,
        target: Target,
        calls: Sequence[Call],
        *,
        until: float,
        in_transaction: bool = False,
        grace_s: float = 0.0,
        kind: str | None = None,
    ) -> AttemptResult:
        """Sends calls and returns the result of the last one.

        Args:
            conn: The connection.
            target: The instance.
            calls: The calls.
            until: Monotonic time in seconds by which the answer is expected.
            in_transaction: Whether a transaction is open on the connection.
            grace_s: Time in seconds after ``until`` for which the answer is still read.
            kind: Kind of statement as which the time of the answer is recorded, or
                None if it is not.
        """
        timers = self._context.timers
        sent_at = timers.now()
        if not self._may_send(target, in_transaction=in_transaction):
            return NotSent(reason=f"the lease on {target.name} as primary has ended")
        if not in_transaction and not self.accepts_new_work(target):
            return NotSent(reason=f"{target.name} is leaving")
        if until - sent_at < MIN_EXECUTION_S:
            return NotSent(reason=f"less than {MIN_EXECUTION_S} s left for an answer")
        if not in_transaction:
            self._context.registry.note_new_work(target.name)
        taken_at = timers.elapsed()
        self._context.health.note_sent(target.name, sent_at)
        self._context.balancer.note_sent(target.name, sent_at)
        try:
            replies = await conn.run(calls, timeout_s=until - sent_at, grace_s=grace_s)
        except (OverloadedError, InstanceUnreachableError) as exc:
            return self.not_sent(target, exc)
        except ConnectError as exc:
            return NotSent(reason=str(exc))
        except PathLostError as exc:
            return AnswerLost(reason=str(exc))
        except ConnectionLostError as exc:
            self._note_failure(target.name, str(exc), sent_at)
            return AnswerLost(reason=str(exc))
        finally:
            self._context.health.note_settled(target.name, sent_at)
            self._context.balancer.note_settled(target.name, sent_at)
        for reply in replies[:-1]:
            if isinstance(reply.outcome, Failed):
                conn.abort()
                return AnswerLost(
                    reason=f"{target.name}: setup failed: {reply.outcome.reason}"
                )
        reply = replies[-1]
        self._record_reply(target, reply, taken_at=taken_at)
        if kind is not None:
            self._context.balancer.note_outcome(
                target.record, reply.outcome, kind=kind, sent_at=sent_at
            )
        return reply

    def accepts_new_work(self, target: Target) -> bool:
        """Returns whether the target may be given work that is not bound to it."""
        return self._context.registry.accepts_new_work(target.name)

    def _may_send(self, target: Target, *, in_transaction: bool) -> bool:
        """Returns whether the lease on the target still permits a statement.

        A draining lease permits further statements of open transactions only.
        """
        if target.lease is None:
            return True
        if in_transaction:
            return self._context.leases.is_valid_or_draining(target.lease)
        return self._context.leases.is_valid(target.lease)

    def _note_failure(self, name: str, reason: str, sent_at: float) -> None:
        self._context.health.note_failure(name, reason=reason, sent_at=sent_at)

    def _record_reply(self, target: Target, reply: Reply, *, taken_at: float) -> None:
        context = self._context
        context.health.note_answer(target.name)
        context.replica_selector.note_position(target.name, reply.position)
        if target.lease is not None:
            self._record_rejection(target, reply)
        if target.lease is not None and reply.position is not None:
            # Only the primary's position covers all acknowledged commits. An instance
            # that answers "read only" was demoted.
            demoted = (
                isinstance(reply.outcome, Failed)
                and reply.outcome.code is Code.READ_ONLY
            )
            if not demoted and self._context.leases.is_valid_or_draining(target.lease):
                positions = context.positions_of(target.record.service)
                positions.note(reply.position, taken_at=taken_at)
        if target.min_position is not None:
            age_s = taken_at - target.min_position.taken_at
            match reply.outcome:
                case Failed(code=Code.LAGGING):
                    context.replica_selector.note_lagging(
                        target.name, min_position_age_s=age_s
                    )
                case Done():
                    context.replica_selector.note_served(
                        target.name, min_position_age_s=age_s
                    )

    def _record_rejection(self, target: Target, reply: Reply) -> None:
        if isinstance(reply.outcome, Failed) and reply.outcome.code is Code.BUSY:
            self._context.read_limiter_of(target.name).note_rejected()


def _lacks_prepared_statement(reply: Reply) -> bool:
    outcome = reply.outcome
    return isinstance(outcome, Failed) and outcome.code is Code.UNKNOWN_STATEMENT


def result_label(result: AttemptResult) -> str:
    """Returns the label of a result in metrics and logs."""
    match result:
        case Reply(outcome=Failed(code=code)):
            return code.value
        case Reply():
            return "done"
        case NotSent():
            return "not sent"
        case AnswerLost():
            return "lost"
