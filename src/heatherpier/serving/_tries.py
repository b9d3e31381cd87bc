"""One try of a statement on one instance."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

from heatherpier.discovery import InstanceRecord
from heatherpier.groups import LogPosition
from heatherpier.leases import Right
from heatherpier.lending import Call, LendingPool, LentConnection, OpenTransaction
from heatherpier.requests import OverloadedError
from heatherpier.serving._core import Core
from heatherpier.serving._samples import Sample
from heatherpier.serving._work import Work
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
LEAST_RUN_S = 0.05
# A late answer is awaited this much longer, so that its connection can be kept.
LATE_S = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """Where and under which conditions a statement is tried.

    Attributes:
        record: The instance.
        right: The right to use it as the primary, or None for a replica.
        floor: What its log must hold, or None.
    """

    record: InstanceRecord
    right: Right | None
    floor: Sample | None

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.record.name

    @property
    def role(self) -> str:
        """What the instance is used as."""
        return "replica" if self.right is None else "primary"

    @property
    def position(self) -> LogPosition | None:
        """The position that its log must hold, or None."""
        return None if self.floor is None else self.floor.position


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
class Lost:
    """A try whose answer did not arrive, so its outcome is unknown."""

    reason: str


TryResult = Reply | NotSent | Lost


@dataclass(slots=True)
class _Progress:
    """How far a try has come.

    Attributes:
        sent: Whether the statement may have been sent.
    """

    sent: bool = False

    def unfinished(self, target: Target) -> TryResult:
        """Returns the result of a try that has not ended in time."""
        if self.sent:
            return Lost(reason=f"{target.name}: no answer yet")
        return NotSent(reason=f"{target.name}: no connection in time")


class Tries:
    """Runs statements on chosen instances and learns from their answers.

    Args:
        core: What sessions share.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self._tasks: set[asyncio.Task[TryResult]] = set()

    @asynccontextmanager
    async def borrowed(
        self, target: Target, work: Work, *, until: float
    ) -> AsyncIterator[tuple[LentConnection, LendingPool]]:
        """Lends a connection to the target for the duration of the context."""
        pool = self._core.pools.of(target.record)
        queue_until = self.queue_until(pool, work, until=until)
        conn = await pool.borrow(
            work.needs.values, priority=work.route.priority, deadline=queue_until
        )
        began = self._core.timers.now()
        service = work.route.service
        if target.right is not None:
            self._core.use.begin(service, conn.abort)
        try:
            yield conn, pool
        finally:
            if target.right is not None:
                self._core.use.end(service, conn.abort)
            pool.give_back(conn, held_s=self._core.timers.now() - began)

    def queue_until(self, pool: LendingPool, work: Work, *, until: float) -> float:
        """Returns until when a statement queues for a connection.

        An instance that is full of lost proxies' connections has room again within
        seconds, and each refused try would cost the caller one of its few.
        """
        latest = until - LEAST_RUN_S
        if not pool.open_connections:
            return min(latest, work.untried_until())
        return min(latest, work.queue_until(self._core.timers.now()))

    async def run(self, target: Target, work: Work, *, until: float) -> TryResult:
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
        left_s = until - self._core.timers.now()
        done, _ = await asyncio.wait({task}, timeout=max(left_s, 0))
        result = task.result() if done else progress.unfinished(target)
        self._core.metrics.tries.labels(target.role, result_label(result)).inc()
        return result

    async def _run(
        self, target: Target, work: Work, progress: "_Progress", *, until: float
    ) -> TryResult:
        try:
            async with self.borrowed(target, work, until=until) as (conn, _):
                # Nothing is sent once the time is over, so this can't come late.
                progress.sent = self._core.timers.now() < until
                return await self.send(conn, target, work, until=until)
        except (OverloadedError, ConnectError) as exc:
            return self.not_sent(target, exc)

    def not_sent(self, target: Target, exc: OverloadedError | ConnectError) -> NotSent:
        if isinstance(exc, OverloadedError):
            return NotSent(
                reason=exc.reason, retry_after_ms=exc.retry_after_ms, overloaded=True
            )
        if not isinstance(exc, TooManyConnectionsError):
            self._note_failure(target.name, str(exc), self._core.timers.now())
        return NotSent(reason=str(exc))

    async def open(
        self, conn: LentConnection, target: Target, work: Work, *, read_only: bool
    ) -> TryResult:
        """Opens a transaction on a lent connection.

        The first statement goes only after the answer: behind a refused opening it
        would run outside of the transaction.
        """
        begin = OpenTransaction(read_only=read_only, floor=target.position)
        return await self._exchange(
            conn,
            target,
            [*conn.setup_calls(work.needs), begin],
            until=work.deadline,
        )

    async def send(
        self, conn: LentConnection, target: Target, work: Work, *, until: float
    ) -> TryResult:
        """Runs a statement on a lent connection."""
        calls = [*conn.setup_calls(work.needs), work.with_floor(target.position)]
        result = await self._exchange(conn, target, calls, until=until, grace_s=LATE_S)
        if isinstance(result, Reply) and _unknown_statement(result):
            # The instance lost the prepared statement; it did not run.
            conn.forget_prepared()
            calls = [*conn.setup_calls(work.needs), work.with_floor(target.position)]
            result = await self._exchange(
                conn, target, calls, until=until, grace_s=LATE_S
            )
        return result

    async def send_next(
        self, conn: LentConnection, target: Target, work: Work
    ) -> TryResult:
        """Runs a further statement of an open transaction."""
        calls = [*conn.setup_calls(work.needs), work.call]
        return await self._exchange(
            conn, target, calls, until=work.deadline, begun=True
        )

    async def _exchange(
        self,
        conn: LentConnection,
        target: Target,
        calls: Sequence[Call],
        *,
        until: float,
        begun: bool = False,
        grace_s: float = 0.0,
    ) -> TryResult:
        timers = self._core.timers
        sent_at = timers.now()
        if not self._may_send(target, begun=begun):
            return NotSent(reason=f"the right to use {target.name} as primary ended")
        if until - sent_at < LEAST_RUN_S:
            return NotSent(reason="no time is left")
        taken_at = timers.elapsed()
        self._core.health.note_sent(target.name, sent_at)
        try:
            replies = await conn.run(calls, timeout_s=until - sent_at + grace_s)
        except ConnectError as exc:
            return NotSent(reason=str(exc))
        except ConnectionLostError as exc:
            self._note_failure(target.name, str(exc), sent_at)
            return Lost(reason=str(exc))
        finally:
            self._core.health.note_settled(target.name, sent_at)
        for reply in replies[:-1]:
            if isinstance(reply.outcome, Failed):
                conn.abort()
                return Lost(reason=f"{target.name}: setup {reply.outcome.reason}")
        reply = replies[-1]
        self._learn(target, reply, taken_at=taken_at)
        return reply

    def _may_send(self, target: Target, *, begun: bool) -> bool:
        """Tells whether the right to use the target stands for new or begun work."""
        if target.right is None:
            return True
        if begun:
            return self._core.rights.continues(target.right)
        return self._core.rights.holds(target.right)

    def _note_failure(self, name: str, reason: str, sent_at: float) -> None:
        self._core.health.note_failure(name, reason=reason, sent_at=sent_at)

    def _learn(self, target: Target, reply: Reply, *, taken_at: float) -> None:
        core = self._core
        core.health.note_answer(target.name)
        core.placement.note_position(target.name, reply.position)
        if target.right is not None:
            self._learn_room(target, reply)
        if target.right is not None and reply.position is not None:
            demoted = (
                isinstance(reply.outcome, Failed)
                and reply.outcome.code is Code.READ_ONLY
            )
            if not demoted and self._core.rights.continues(target.right):
                samples = core.samples_of(target.record.service)
                samples.note(reply.position, taken_at=taken_at)
        if target.floor is not None:
            age_s = taken_at - target.floor.taken_at
            match reply.outcome:
                case Failed(code=Code.LAGGING):
                    core.placement.note_lagging(target.name, floor_age_s=age_s)
                case Done():
                    core.placement.note_served(target.name, floor_age_s=age_s)

    def _learn_room(self, target: Target, reply: Reply) -> None:
        if isinstance(reply.outcome, Failed) and reply.outcome.code is Code.BUSY:
            self._core.budget_of(target.name).note_turned_away()


def _unknown_statement(reply: Reply) -> bool:
    outcome = reply.outcome
    return isinstance(outcome, Failed) and outcome.code is Code.UNKNOWN_STATEMENT


def result_label(result: TryResult) -> str:
    """Returns the label of a result for metrics and logs."""
    match result:
        case Reply(outcome=Failed(code=code)):
            return code.value
        case Reply():
            return "done"
        case NotSent():
            return "not sent"
        case Lost():
            return "lost"
