"""A caller's transaction, bound to one connection with its first statement."""

from heatherpier.lending import LendingPool, LentConnection
from heatherpier.requests import OverloadedError
from heatherpier.routing import AnyCommit, Route
from heatherpier.serving._core import Core
from heatherpier.serving._runner import (
    RETRY_AFTER_MS,
    ROUND_PAUSE_S,
    Runner,
    failed,
    log_retry,
    nothing_offered,
    refuse,
)
from heatherpier.serving._tries import (
    LEAST_RUN_S,
    Lost,
    NotSent,
    Target,
    TryResult,
)
from heatherpier.serving._work import Work
from heatherpier.statements import Code, Done, Failed, Reply, SessionState
from heatherpier.telemetry import get_logger
from heatherpier.upstreams import ConnectError

log = get_logger("serving")


class Transaction:
    """One transaction from its opening to its end.

    The opening is answered at once. The first statement chooses the instance, and
    may choose another one as long as nothing has run.

    Attributes:
        route: The route that was in force at the opening.
        ended: Whether it is over.
    """

    def __init__(
        self, *, core: Core, runner: Runner, route: Route, read_only: bool
    ) -> None:
        self.route = route
        self.ended = False
        self.wrote = False
        self._core = core
        self._runner = runner
        self._read_only = read_only
        # Whether a replica may run it.
        self._anywhere = read_only and not isinstance(route.consistency, AnyCommit)
        self._target: Target | None = None
        self._conn: LentConnection | None = None
        self._pool: LendingPool | None = None
        self._bound_at = 0.0

    @property
    def bound(self) -> bool:
        """Whether a connection is held for it."""
        return self._conn is not None

    async def run(self, work: Work) -> Reply:
        """Runs a statement of the transaction."""
        if self._conn is None:
            return await self._run_first(work, commits=False)
        return await self._run_next(work)

    async def commit(self, work: Work) -> Reply:
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

    async def _run_first(self, work: Work, *, commits: bool) -> Reply:
        began = self._core.timers.now()
        while True:
            targets = await self._first_targets(work)
            if isinstance(targets, Failed):
                return self._end(Reply(outcome=targets, state=SessionState.IDLE))
            result: TryResult = nothing_offered(targets)
            for target in targets:
                if self._anywhere and not self._runner.may_offer(target):
                    continue
                result = await self._try_first(target, work)
                answer = self._judge_first(target, work, result, commits=commits)
                if answer is not None:
                    return answer
                log_retry(work, target, result)
            late = self._core.timers.now() + LEAST_RUN_S >= work.deadline
            hopeless = not targets and self._runner.gives_up(
                work, began=began, pause_s=ROUND_PAUSE_S
            )
            overloaded = isinstance(result, NotSent) and result.overloaded
            if late or hopeless or overloaded:
                return self._end(_refusal(result))
            await self._core.timers.sleep(ROUND_PAUSE_S)

    async def _first_targets(self, work: Work) -> list[Target] | Failed:
        if self._anywhere:
            return self._runner.targets(work)
        target = await self._runner.find_primary(work)
        return target if isinstance(target, Failed) else [target]

    async def _try_first(self, target: Target, work: Work) -> TryResult:
        """Binds a connection, opens the transaction and runs the statement."""
        core = self._core
        pool = core.pools.of(target.record)
        try:
            conn = await pool.borrow(
                work.needs.values,
                priority=self.route.priority,
                deadline=self._runner.tries.queue_until(
                    pool, work, until=work.deadline - LEAST_RUN_S
                ),
            )
        except (OverloadedError, ConnectError) as exc:
            return self._runner.tries.not_sent(target, exc)
        self._conn, self._pool, self._target = conn, pool, target
        self._bound_at = core.timers.now()
        if target.right is not None:
            core.use.begin(self.route.service, self._abort)
        opened = await self._runner.tries.open(
            conn, target, work, read_only=self._read_only
        )
        if not (isinstance(opened, Reply) and isinstance(opened.outcome, Done)):
            self._unbind()
            # Nothing but the opening was sent, and closing rolls that back.
            if isinstance(opened, Lost):
                return NotSent(reason=opened.reason)
            return opened
        return await self._runner.tries.send_next(conn, target, work)

    def _judge_first(
        self, target: Target, work: Work, result: TryResult, *, commits: bool
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
                return self._judge_commit(result)
            case _:
                return self._judge_statement(work, result)

    # Further statements

    async def _run_next(self, work: Work) -> Reply:
        assert self._conn is not None
        assert self._target is not None
        while True:
            result = await self._runner.tries.send_next(self._conn, self._target, work)
            if not self._may_repeat(result, work):
                return self._judge_statement(work, result)
            log_retry(work, self._target, result)
            await self._core.timers.sleep(ROUND_PAUSE_S)

    def _may_repeat(self, result: TryResult, work: Work) -> bool:
        """Tells whether the instance was only busy and the transaction goes on."""
        return (
            isinstance(result, Reply)
            and isinstance(result.outcome, Failed)
            and result.outcome.code in (Code.BUSY, Code.UNKNOWN_STATEMENT)
            and result.state is SessionState.OPEN
            and self._core.timers.now() + LEAST_RUN_S < work.deadline
        )

    def _judge_statement(self, work: Work, result: TryResult) -> Reply:
        match result:
            case Reply(outcome=Failed(code=code, reason=reason)) if code in (
                Code.FAILED,
                Code.TIMEOUT,
                Code.MALFORMED,
            ):
                return self._end(failed(code, reason))
            case Reply(outcome=Failed(reason=reason)):
                return self._end(failed(Code.ABORTED, reason))
            case Lost(reason=reason) | NotSent(reason=reason):
                # The commit was never sent, so closing the connection keeps nothing.
                return self._end(failed(Code.ABORTED, reason))
            case Reply():
                self.wrote = self.wrote or work.writes
                return result

    # The end

    async def _commit_bound(self, work: Work) -> Reply:
        assert self._conn is not None
        assert self._target is not None
        while True:
            result = await self._runner.tries.send_next(self._conn, self._target, work)
            if not self._may_repeat(result, work):
                return self._judge_commit(result)
            log_retry(work, self._target, result)
            await self._core.timers.sleep(ROUND_PAUSE_S)

    def _judge_commit(self, result: TryResult) -> Reply:
        match result:
            case Lost(reason=reason):
                return failed(Code.OUTCOME_UNKNOWN, reason)
            case NotSent(reason=reason):
                return failed(Code.ABORTED, reason)
            case Reply(outcome=Failed(code=code, reason=reason) as failure):
                return failed(Code.ABORTED if failure.not_run else code, reason)
            case Reply():
                return self._judge_success(result)

    def _judge_success(self, reply: Reply) -> Reply:
        assert self._target is not None
        right = self._target.right
        if not self.wrote or right is None or self._core.rights.continues(right):
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
        self._core.use.end(self.route.service, self._abort)
        if conn is None or pool is None:
            return
        held_s = self._core.timers.now() - self._bound_at
        if conn.clean:
            pool.give_back(conn, held_s=held_s)
        else:
            pool.roll_back(conn, held_s=held_s)


def _refusal(result: TryResult) -> Reply:
    match result:
        case NotSent():
            return refuse(result)
        case Reply(outcome=Failed(code=code, reason=reason)):
            return failed(code, reason, retry_after_ms=RETRY_AFTER_MS)
        case _:
            return failed(Code.ABORTED, "the transaction could not be opened")
