"""One try of a statement on one instance."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

from heatherpier.discovery import InstanceRecord
from heatherpier.groups import LogPosition
from heatherpier.leases import Lease
from heatherpier.pooling import (
    Call,
    ConnectionPool,
    InstanceConnection,
    OpenTransaction,
)
from heatherpier.requests import OverloadedError
from heatherpier.serving._context import ServingContext
from heatherpier.serving._pending_statement import PendingStatement
from heatherpier.serving._positions import PositionSample
from heatherpier.statements import Code, Done, Failed, Reply
from heatherpier.telemetry import get_logger
from heatherpier.upstreams import (
    ConnectError,
    ConnectionLostError,
    TooManyConnectionsError,
)

log = get_logger("serving")
# A statement is not sent if less time than this is left for its answer: two ways
# between regions and some work.
MIN_EXECUTION_S = 0.05
# A late answer is awaited this much longer, so that its connection can be kept.
LATE_ANSWER_GRACE_S = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """Where and under which conditions a statement is tried.

    Attributes:
        record: The instance.
        lease: The lease to use it as the primary, or None for a replica.
        min_position: What its log must hold, or None.
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
        """What the instance is used as."""
        return "replica" if self.lease is None else "primary"

    @property
    def position(self) -> LogPosition | None:
        """The position that its log must hold, or None."""
        return None if self.min_position is None else self.min_position.position


@dataclass(frozen=True, slots=True, kw_only=True)
class NotSent:
    """A try that did not reach an instance, so nothing ran.

    Attributes:
        reason: Why.
        retry_after_ms: When there may be room, or None.
        overloaded: Whether its turn would have come too late.
    """

    reason: str
    retry_after_ms: int | None = None
    overloaded: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerLost:
    """A try whose answer did not arrive, so its outcome is unknown."""

    reason: str


AttemptResult = Reply | NotSent | AnswerLost


@dataclass(slots=True)
class _Progress:
    """How far a try has come.

    Attributes:
        sent: Whether the statement may have been sent.
    """

    sent: bool = False

    def unfinished(self, target: Target) -> AttemptResult:
        """Returns the result of a try that has not ended in time."""
        if self.sent:
            return AnswerLost(reason=f"{target.name}: no answer yet")
        return NotSent(reason=f"{target.name}: no connection in time")


class Attempts:
    """Runs statements on chosen instances and learns from their answers.

    Args:
        context: What sessions share.
    """

    def __init__(self, context: ServingContext) -> None:
        self._context = context
        self._tasks: set[asyncio.Task[AttemptResult]] = set()

    @asynccontextmanager
    async def acquired(
        self, target: Target, work: PendingStatement, *, until: float
    ) -> AsyncIterator[tuple[InstanceConnection, ConnectionPool]]:
        """Acquires a connection to the target for the duration of the context."""
        pool = self._context.pools.of(target.record)
        queue_until = self.queue_until(pool, work, until=until)
        conn = await pool.acquire(
            work.needs.values, priority=work.route.priority, deadline=queue_until
        )
        began = self._context.timers.now()
        service = work.route.service
        if target.lease is not None:
            self._context.in_flight.begin(service, conn.abort)
        try:
            yield conn, pool
        finally:
            if target.lease is not None:
                self._context.in_flight.end(service, conn.abort)
            pool.release(conn, held_s=self._context.timers.now() - began)

    def queue_until(
        self, pool: ConnectionPool, work: PendingStatement, *, until: float
    ) -> float:
        """Returns until when a statement queues for a connection.

        An instance that is full of lost proxies' connections has room again within
        seconds, and each refused try would cost the caller one of its few.
        """
        latest = until - MIN_EXECUTION_S
        if not pool.open_connections:
            return min(latest, work.unattempted_until())
        return min(latest, work.queue_until(self._context.timers.now()))

    async def run(
        self, target: Target, work: PendingStatement, *, until: float
    ) -> AttemptResult:
        """Tries a single statement on an instance.

        An answer that comes too late still gives its connection back in order.

        Args:
            target: The instance.
            work: The statement.
            until: Monotonic time in seconds when to give this try up.
        """
        progress = _Progress()
        task = asyncio.create_task(self._run(target, work, progress, until=until))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        left_s = until - self._context.timers.now()
        done, _ = await asyncio.wait({task}, timeout=max(left_s, 0))
        result = task.result() if done else progress.unfinished(target)
        self._context.metrics.attempts.labels(target.role, result_label(result)).inc()
        return result

    async def _run(
        self,
        target: Target,
        work: PendingStatement,
        progress: "_Progress",
        *,
        until: float,
    ) -> AttemptResult:
        try:
            async with self.acquired(target, work, until=until) as (conn, _):
                # Nothing is sent once the time is over, so this can't come late.
                progress.sent = self._context.timers.now() < until
                return await self.send(conn, target, work, until=until)
        except (OverloadedError, ConnectError) as exc:
            return self.not_sent(target, exc)

    def not_sent(self, target: Target, exc: OverloadedError | ConnectError) -> NotSent:
        if isinstance(exc, OverloadedError):
            return NotSent(
                reason=exc.reason, retry_after_ms=exc.retry_after_ms, overloaded=True
            )
        if not isinstance(exc, TooManyConnectionsError):
            self._note_failure(target.name, str(exc), self._context.timers.now())
        return NotSent(reason=str(exc))

    async def open(
        self,
        conn: InstanceConnection,
        target: Target,
        work: PendingStatement,
        *,
        read_only: bool,
    ) -> AttemptResult:
        """Opens a transaction on an acquired connection.

        The first statement goes only after the answer: behind a refused opening it
        would run outside of the transaction.
        """
        begin = OpenTransaction(read_only=read_only, min_position=target.position)
        return await self._exchange(
            conn,
            target,
            [*conn.setup_calls(work.needs), begin],
            until=work.deadline,
        )

    async def send(
        self,
        conn: InstanceConnection,
        target: Target,
        work: PendingStatement,
        *,
        until: float,
    ) -> AttemptResult:
        """Runs a statement on an acquired connection."""
        calls = [*conn.setup_calls(work.needs), work.with_min_position(target.position)]
        result = await self._exchange(
            conn, target, calls, until=until, grace_s=LATE_ANSWER_GRACE_S
        )
        if isinstance(result, Reply) and _unknown_statement(result):
            # The instance lost the prepared statement; it did not run.
            conn.forget_prepared()
            calls = [
                *conn.setup_calls(work.needs),
                work.with_min_position(target.position),
            ]
            result = await self._exchange(
                conn, target, calls, until=until, grace_s=LATE_ANSWER_GRACE_S
            )
        return result

    async def send_next(
        self, conn: InstanceConnection, target: Target, work: PendingStatement
    ) -> AttemptResult:
        """Runs a further statement of an open transaction."""
        calls = [*conn.setup_calls(work.needs), work.call]
        return await self._exchange(
            conn, target, calls, until=work.deadline, begun=True
        )

    async def _exchange(
        self,
        conn: InstanceConnection,
        target: Target,
        calls: Sequence[Call],
        *,
        until: float,
        begun: bool = False,
        grace_s: float = 0.0,
    ) -> AttemptResult:
        timers = self._context.timers
        sent_at = timers.now()
        if not self._may_send(target, begun=begun):
            return NotSent(reason=f"the right to use {target.name} as primary ended")
        if until - sent_at < MIN_EXECUTION_S:
            return NotSent(reason="no time is left")
        taken_at = timers.elapsed()
        self._context.health.note_sent(target.name, sent_at)
        try:
            replies = await conn.run(calls, timeout_s=until - sent_at + grace_s)
        except ConnectError as exc:
            return NotSent(reason=str(exc))
        except ConnectionLostError as exc:
            self._note_failure(target.name, str(exc), sent_at)
            return AnswerLost(reason=str(exc))
        finally:
            self._context.health.note_settled(target.name, sent_at)
        for reply in replies[:-1]:
            if isinstance(reply.outcome, Failed):
                conn.abort()
                return AnswerLost(reason=f"{target.name}: setup {reply.outcome.reason}")
        reply = replies[-1]
        self._learn(target, reply, taken_at=taken_at)
        return reply

    def _may_send(self, target: Target, *, begun: bool) -> bool:
        """Tells whether the lease to use the target stands for new or begun work."""
        if target.lease is None:
            return True
        if begun:
            return self._context.leases.is_valid_or_draining(target.lease)
        return self._context.leases.is_valid(target.lease)

    def _note_failure(self, name: str, reason: str, sent_at: float) -> None:
        self._context.health.note_failure(name, reason=reason, sent_at=sent_at)

    def _learn(self, target: Target, reply: Reply, *, taken_at: float) -> None:
        context = self._context
        context.health.note_answer(target.name)
        context.replica_selector.note_position(target.name, reply.position)
        if target.lease is not None:
            self._learn_room(target, reply)
        if target.lease is not None and reply.position is not None:
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

    def _learn_room(self, target: Target, reply: Reply) -> None:
        if isinstance(reply.outcome, Failed) and reply.outcome.code is Code.BUSY:
            self._context.read_limiter_of(target.name).note_rejected()


def _unknown_statement(reply: Reply) -> bool:
    outcome = reply.outcome
    return isinstance(outcome, Failed) and outcome.code is Code.UNKNOWN_STATEMENT


def result_label(result: AttemptResult) -> str:
    """Returns the label of a result for metrics and logs."""
    match result:
        case Reply(outcome=Failed(code=code)):
            return code.value
        case Reply():
            return "done"
        case NotSent():
            return "not sent"
        case AnswerLost():
            return "lost"
