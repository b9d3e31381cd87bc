"""A caller's transaction, which its first statement binds to one connection."""

from heatherpier.pooling import InstanceConnection, Pool
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
    failed_reply,
    log_retry,
    nothing_attempted,
    overloaded_reply,
)
from heatherpier.statements import Code, Done, Failed, Reply, SessionState
from heatherpier.telemetry import get_logger
from heatherpier.upstreams import ConnectError

log = get_logger("serving")


class Transaction:
    """One transaction from its opening to its end.

    The opening is answered at once, without an instance. The first statement selects
    the instance; it may select another one as long as nothing has run.

    Attributes:
        route: The route that was active at the opening.
        organisation: Organisation of the caller at the opening, or empty.
        ended: Whether it has ended.
        wrote: Whether a statement that may change data has succeeded in it.
    """

    def __init__(
        self,
        *,
        context: ServingContext,
        runner: Runner,
        route: Route,
        read_only: bool,
        organisation: str = "",
    ) -> None:
        self.route = route
        self.organisation = organisation
        self.ended = False
        self.wrote = False
        self._context = context
        self._runner = runner
        self._read_only = read_only
        self._replica_allowed = read_only and not isinstance(
            route.consistency, AnyCommit
        )
        self._target: Target | None = None
        self._conn: InstanceConnection | None = None
        self._pool: Pool | None = None
        self._bound_at = 0.0

    @property
    def bound(self) -> bool:
        """Whether the transaction is bound to a connection."""
        return self._conn is not None

    async def run(self, statement: PendingStatement) -> Reply:
        """Runs a statement of the transaction."""
        if self._conn is None:
            return await self._run_first(statement, is_commit=False)
        return await self._run_next(statement)

    async def commit(self, statement: PendingStatement) -> Reply:
        """Commits; the transaction ends whatever the answer is."""
        try:
            if self._conn is None:
                reply = await self._run_first(statement, is_commit=True)
            else:
                reply = await self._commit_bound(statement)
        finally:
            self._finish()
        return reply

    def roll_back(self) -> None:
        """Rolls back in the background, if a transaction is open on an instance."""
        self._finish()

    def _abort(self) -> None:
        """Closes the connection, which fails a running statement and rolls back."""
        if self._conn is not None:
            self._conn.abort()

    async def _run_first(
        self, statement: PendingStatement, *, is_commit: bool
    ) -> Reply:
        began = self._context.timers.now()
        while True:
            targets = await self._first_targets(statement)
            if isinstance(targets, Failed):
                return self._finish_with(
                    Reply(outcome=targets, state=SessionState.IDLE)
                )
            result: AttemptResult = nothing_attempted(targets)
            for target in targets:
                if self._replica_allowed and not self._runner.try_admit_read(target):
                    continue
                result = await self._attempt_first(target, statement)
                answer = self._final_first_answer(
                    target, statement, result, is_commit=is_commit
                )
                if answer is not None:
                    return answer
                log_retry(statement, target, result)
            out_of_time = (
                self._context.timers.now() + MIN_EXECUTION_S >= statement.deadline
            )
            refused = not targets and self._runner.should_refuse_read(
                statement, began=began, pause_s=ROUND_PAUSE_S
            )
            overloaded = isinstance(result, NotSent) and result.overloaded
            if out_of_time or refused or overloaded:
                return self._finish_with(_refusal_reply(result))
            await self._context.timers.sleep(ROUND_PAUSE_S)

    async def _first_targets(
        self, statement: PendingStatement
    ) -> list[Target] | Failed:
        if self._replica_allowed:
            return self._runner.targets(statement)
        target = await self._runner.find_primary(statement)
        return target if isinstance(target, Failed) else [target]

    async def _attempt_first(
        self, target: Target, statement: PendingStatement
    ) -> AttemptResult:
        """Binds a connection, opens the transaction and runs the statement."""
        context = self._context
        pool = context.pools.of(target.record, statement.organisation)
        try:
            conn = await self._runner.attempts.acquire(
                pool,
                target,
                statement,
                until=statement.deadline - MIN_EXECUTION_S,
                in_transaction=True,
            )
        except (OverloadedError, ConnectError) as exc:
            return self._runner.attempts.not_sent(target, exc)
        self._conn, self._pool, self._target = conn, pool, target
        self._bound_at = context.timers.now()
        if target.lease is not None:
            context.in_flight.begin(self.route.service, self._abort)
        opened = await self._runner.attempts.open(
            conn, target, statement, read_only=self._read_only
        )
        if not (isinstance(opened, Reply) and isinstance(opened.outcome, Done)):
            self._unbind()
            # Only the opening was sent, and the instance rolls that back when the
            # connection closes.
            if isinstance(opened, AnswerLost):
                return NotSent(reason=opened.reason)
            return opened
        if not self._runner.attempts.accepts_new_work(target):
            # The opening took until the instance may end.
            return NotSent(reason=f"{target.name} is leaving")
        context.registry.note_new_work(target.name)
        return await self._runner.attempts.send_next(conn, target, statement)

    def _final_first_answer(
        self,
        target: Target,
        statement: PendingStatement,
        result: AttemptResult,
        *,
        is_commit: bool,
    ) -> Reply | None:
        """Returns the first statement's answer, or None to attempt the next target."""
        match result:
            case NotSent():
                self._unbind()
                return None
            case Reply(outcome=Failed() as failure) if failure.not_run:
                self._unbind()
                return None
            case _ if is_commit:
                return self._final_commit_answer(result)
            case _:
                return self._final_answer(statement, result)

    async def _run_next(self, statement: PendingStatement) -> Reply:
        assert self._conn is not None
        assert self._target is not None
        while True:
            result = await self._runner.attempts.send_next(
                self._conn, self._target, statement
            )
            if not self._may_retry(result, statement):
                return self._final_answer(statement, result)
            log_retry(statement, self._target, result)
            await self._context.timers.sleep(ROUND_PAUSE_S)

    def _may_retry(self, result: AttemptResult, statement: PendingStatement) -> bool:
        """Returns whether a statement did not run and may be sent again."""
        return (
            isinstance(result, Reply)
            and isinstance(result.outcome, Failed)
            and result.outcome.code in (Code.BUSY, Code.UNKNOWN_STATEMENT)
            and result.state is SessionState.OPEN
            and self._context.timers.now() + MIN_EXECUTION_S < statement.deadline
        )

    def _final_answer(
        self, statement: PendingStatement, result: AttemptResult
    ) -> Reply:
        match result:
            case Reply(outcome=Failed(code=code, reason=reason)) if code in (
                Code.FAILED,
                Code.TIMEOUT,
                Code.MALFORMED,
            ):
                return self._finish_with(failed_reply(code, reason))
            case Reply(outcome=Failed(reason=reason)):
                return self._finish_with(failed_reply(Code.ABORTED, reason))
            case AnswerLost(reason=reason) | NotSent(reason=reason):
                # The commit was not sent, so closing the connection rolls back.
                return self._finish_with(failed_reply(Code.ABORTED, reason))
            case Reply():
                self.wrote = self.wrote or statement.writes
                return result

    async def _commit_bound(self, statement: PendingStatement) -> Reply:
        assert self._conn is not None
        assert self._target is not None
        while True:
            result = await self._runner.attempts.send_next(
                self._conn, self._target, statement
            )
            if not self._may_retry(result, statement):
                return self._final_commit_answer(result)
            log_retry(statement, self._target, result)
            await self._context.timers.sleep(ROUND_PAUSE_S)

    def _final_commit_answer(self, result: AttemptResult) -> Reply:
        match result:
            case AnswerLost(reason=reason):
                return failed_reply(Code.OUTCOME_UNKNOWN, reason)
            case NotSent(reason=reason):
                return failed_reply(Code.ABORTED, reason)
            case Reply(outcome=Failed(code=code, reason=reason) as failure):
                return failed_reply(Code.ABORTED if failure.not_run else code, reason)
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
        return failed_reply(
            Code.OUTCOME_UNKNOWN,
            f"{self._target.name} may not have been the primary any more",
        )

    def _finish_with(self, reply: Reply) -> Reply:
        self._finish()
        return reply

    def _finish(self) -> None:
        self.ended = True
        self._unbind()

    def _unbind(self) -> None:
        """Releases the connection, after a rollback if a transaction is open on it."""
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


def _refusal_reply(result: AttemptResult) -> Reply:
    match result:
        case NotSent():
            return overloaded_reply(result)
        case Reply(outcome=Failed(code=code, reason=reason)):
            return failed_reply(code, reason, retry_after_ms=RETRY_AFTER_MS)
        case _:
            return failed_reply(Code.ABORTED, "the transaction could not be opened")
