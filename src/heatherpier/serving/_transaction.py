"""A caller's transaction, bound to one connection with its first statement."""

from heatherpier.pooling import ConnectionPool, InstanceConnection
from heatherpier.requests import OverloadedError
from heatherpier.routing import AnyCommit, Route
from heatherpier.serving._attempts import (
    MIN_EXECUTION_S,
    AnswerLost,
    AttemptResult,
    NotSent,
    Target,
)
from heatherpier.serving._context import ServingContext
from heatherpier.serving._pending_statement import PendingStatement
from heatherpier.serving._runner import (
    RETRY_AFTER_MS,
    ROUND_PAUSE_S,
    Runner,
    failed,
    log_retry,
    nothing_offered,
    refuse,
)
from heatherpier.statements import Code, Done, Failed, Reply, SessionState
from heatherpier.telemetry import get_logger
from heatherpier.upstreams import ConnectError

log = get_logger("serving")


class Transaction:
    """One transaction from its opening to its end.

    The opening is answered at once. The first statement chooses the instance, and
    may choose another one as long as nothing has run.

    Attributes:
        route: The route that was active at the opening.
        ended: Whether it is over.
    """

    def __init__(
        self, *, context: ServingContext, runner: Runner, route: Route, read_only: bool
    ) -> None:
        self.route = route
        self.ended = False
        self.wrote = False
        self._context = context
        self._runner = runner
        self._read_only = read_only
        # Whether a replica may run it.
        self._anywhere = read_only and not isinstance(route.consistency, AnyCommit)
        self._target: Target | None = None
        self._conn: InstanceConnection | None = None
        self._pool: ConnectionPool | None = None
        self._bound_at = 0.0

    @property
    def bound(self) -> bool:
        """Whether a connection is held for it."""
        return self._conn is not None

    async def run(self, work: PendingStatement) -> Reply:
        """Runs a statement of the transaction."""
        if self._conn is None:
            return await self._run_first(work, commits=False)
        return await self._run_next(work)

    async def commit(self, work: PendingStatement) -> Reply:
        """Commits; the transaction is over whatever the answer is."""
        try:
            if self._conn is None:
                reply = await self._run_first(work, commits=True)
            else:
                reply = await self._commit_bound(work)
        finally:
            self._release()
        return reply

    def roll_back(self) -> None:
        """Rolls back; the connection is cleaned in the background."""
        self._release()

    def _abort(self) -> None:
        """Closes the connection; what runs on it fails, and nothing is kept."""
        if self._conn is not None:
            self._conn.abort()

    # The first statement

    async def _run_first(self, work: PendingStatement, *, commits: bool) -> Reply:
        began = self._context.timers.now()
        while True:
            targets = await self._first_targets(work)
            if isinstance(targets, Failed):
                return self._end(Reply(outcome=targets, state=SessionState.IDLE))
            result: AttemptResult = nothing_offered(targets)
            for target in targets:
                if self._anywhere and not self._runner.may_offer(target):
                    continue
                result = await self._attempt_first(target, work)
                answer = self._final_first_answer(target, work, result, commits=commits)
                if answer is not None:
                    return answer
                log_retry(work, target, result)
            late = self._context.timers.now() + MIN_EXECUTION_S >= work.deadline
            given_up = not targets and self._runner.gives_up(
                work, began=began, pause_s=ROUND_PAUSE_S
            )
            overloaded = isinstance(result, NotSent) and result.overloaded
            if late or given_up or overloaded:
                return self._end(_refusal(result))
            await self._context.timers.sleep(ROUND_PAUSE_S)

    async def _first_targets(self, work: PendingStatement) -> list[Target] | Failed:
        if self._anywhere:
            return self._runner.targets(work)
        target = await self._runner.find_primary(work)
        return target if isinstance(target, Failed) else [target]

    async def _attempt_first(
        self, target: Target, work: PendingStatement
    ) -> AttemptResult:
        """Binds a connection, opens the transaction and runs the statement."""
        context = self._context
        pool = context.pools.of(target.record)
        try:
            conn = await pool.acquire(
                work.needs.values,
                priority=self.route.priority,
                deadline=self._runner.attempts.queue_until(
                    pool, work, until=work.deadline - MIN_EXECUTION_S
                ),
            )
        except (OverloadedError, ConnectError) as exc:
            return self._runner.attempts.not_sent(target, exc)
        self._conn, self._pool, self._target = conn, pool, target
        self._bound_at = context.timers.now()
        if target.lease is not None:
            context.in_flight.begin(self.route.service, self._abort)
        opened = await self._runner.attempts.open(
            conn, target, work, read_only=self._read_only
        )
        if not (isinstance(opened, Reply) and isinstance(opened.outcome, Done)):
            self._unbind()
            # Nothing but the opening was sent, and closing rolls that back.
            if isinstance(opened, AnswerLost):
                return NotSent(reason=opened.reason)
            return opened
        return await self._runner.attempts.send_next(conn, target, work)

    def _final_first_answer(
        self,
        target: Target,
        work: PendingStatement,
        result: AttemptResult,
        *,
        commits: bool,
    ) -> Reply | None:
        """Returns the answer to the first statement, or None to try another one."""
        match result:
            case NotSent():
                self._unbind()
                return None
            case Reply(outcome=Failed() as failure) if failure.not_run:
                self._unbind()
                return None
            case _ if commits:
                return self._final_commit_answer(result)
            case _:
                return self._final_answer(work, result)

    # Further statements

    async def _run_next(self, work: PendingStatement) -> Reply:
        assert self._conn is not None
        assert self._target is not None
        while True:
            result = await self._runner.attempts.send_next(
                self._conn, self._target, work
            )
            if not self._may_repeat(result, work):
                return self._final_answer(work, result)
            log_retry(work, self._target, result)
            await self._context.timers.sleep(ROUND_PAUSE_S)

    def _may_repeat(self, result: AttemptResult, work: PendingStatement) -> bool:
        """Tells whether the instance was only busy and the transaction goes on."""
        return (
            isinstance(result, Reply)
            and isinstance(result.outcome, Failed)
            and result.outcome.code in (Code.BUSY, Code.UNKNOWN_STATEMENT)
            and result.state is SessionState.OPEN
            and self._context.timers.now() + MIN_EXECUTION_S < work.deadline
        )

    def _final_answer(self, work: PendingStatement, result: AttemptResult) -> Reply:
        match result:
            case Reply(outcome=Failed(code=code, reason=reason)) if code in (
                Code.FAILED,
                Code.TIMEOUT,
                Code.MALFORMED,
            ):
                return self._end(failed(code, reason))
            case Reply(outcome=Failed(reason=reason)):
                return self._end(failed(Code.ABORTED, reason))
            case AnswerLost(reason=reason) | NotSent(reason=reason):
                # The commit was never sent, so closing the connection keeps nothing.
                return self._end(failed(Code.ABORTED, reason))
            case Reply():
                self.wrote = self.wrote or work.writes
                return result

    # The end

    async def _commit_bound(self, work: PendingStatement) -> Reply:
        assert self._conn is not None
        assert self._target is not None
        while True:
            result = await self._runner.attempts.send_next(
                self._conn, self._target, work
            )
            if not self._may_repeat(result, work):
                return self._final_commit_answer(result)
            log_retry(work, self._target, result)
            await self._context.timers.sleep(ROUND_PAUSE_S)

    def _final_commit_answer(self, result: AttemptResult) -> Reply:
        match result:
            case AnswerLost(reason=reason):
                return failed(Code.OUTCOME_UNKNOWN, reason)
            case NotSent(reason=reason):
                return failed(Code.ABORTED, reason)
            case Reply(outcome=Failed(code=code, reason=reason) as failure):
                return failed(Code.ABORTED if failure.not_run else code, reason)
            case Reply():
                return self._final_success_answer(result)

    def _final_success_answer(self, reply: Reply) -> Reply:
        assert self._target is not None
        lease = self._target.lease
        if (
            not self.wrote
            or lease is None
            or self._context.leases.is_valid_or_draining(lease)
        ):
            return reply
        return failed(
            Code.OUTCOME_UNKNOWN,
            f"{self._target.name} may not have been the primary any more",
        )

    def _end(self, reply: Reply) -> Reply:
        self._release()
        return reply

    def _release(self) -> None:
        self.ended = True
        self._unbind()

    def _unbind(self) -> None:
        """Gives the connection back, after rolling back what it has open."""
        conn, pool = self._conn, self._pool
        self._conn = self._pool = None
        self._context.in_flight.end(self.route.service, self._abort)
        if conn is None or pool is None:
            return
        held_s = self._context.timers.now() - self._bound_at
        if conn.clean:
            pool.release(conn, held_s=held_s)
        else:
            pool.roll_back_and_release(conn, held_s=held_s)


def _refusal(result: AttemptResult) -> Reply:
    match result:
        case NotSent():
            return refuse(result)
        case Reply(outcome=Failed(code=code, reason=reason)):
            return failed(code, reason, retry_after_ms=RETRY_AFTER_MS)
        case _:
            return failed(Code.ABORTED, "the transaction could not be opened")
