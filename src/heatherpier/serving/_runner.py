"""Runs single statements: reads on any fresh instance, others on the primary."""

import asyncio
from collections.abc import Iterator

from heatherpier.leases import Lease, NoLease
from heatherpier.routing import AnyCommit
from heatherpier.serving._attempts import (
    MIN_EXECUTION_S,
    AnswerLost,
    AttemptResult,
    Attempts,
    NotSent,
    Target,
    result_label,
)
from heatherpier.serving._context import ServingContext
from heatherpier.serving._pending_statement import PendingStatement
from heatherpier.statements import Code, Done, Failed, Reply, SessionState
from heatherpier.telemetry import get_logger

log = get_logger("serving")
# After this long without an answer a read is also sent to the next instance. The
# slowest kind of read has a p95 execution time of 0.1 s.
HEDGE_DELAY_S = 0.25
# Pause between two rounds of attempts. Outside of transactions it doubles after each
# round.
ROUND_PAUSE_S = 0.02
# Upper bound of the doubled pause.
MAX_ROUND_PAUSE_S = 0.16
# Fraction of the latency objective for which a statement waits while there is no
# primary and no change in progress that would bring one.
NO_PRIMARY_WAIT_FRACTION = 0.25
# Delay that refusals suggest to callers where no better estimate is at hand.
RETRY_AFTER_MS = 500
# Delay that refusals suggest while a lost primary is being replaced, which takes 1.5 s
# to 3 s from its loss. A caller that retries sooner is refused again, and many callers
# have only two more attempts.
PRIMARY_LOST_RETRY_AFTER_MS = 1500


def failed_reply(
    code: Code,
    reason: str,
    *,
    retry_after_ms: int | None = None,
    state: SessionState = SessionState.IDLE,
) -> Reply:
    """Returns a failure that the proxy itself answers with."""
    outcome = Failed(code=code, reason=reason, retry_after_ms=retry_after_ms)
    return Reply(outcome=outcome, state=state)


def overloaded_reply(result: NotSent) -> Reply:
    """Returns the answer ``overloaded`` to a statement that reached no instance."""
    return failed_reply(
        Code.OVERLOADED,
        result.reason,
        retry_after_ms=result.retry_after_ms or RETRY_AFTER_MS,
    )


def nothing_attempted(targets: list[Target]) -> NotSent:
    """Returns the result of a read that was sent to none of its targets.

    Args:
        targets: The instances that could have served it. If there are any, all were
            held back by the rate limit of reads on the primary.
    """
    if targets:
        return NotSent(
            reason=f"reads on {targets[0].name} are rate-limited, and replicas lag",
            retry_after_ms=RETRY_AFTER_MS,
            overloaded=True,
        )
    return NotSent(reason="no instance is fresh enough", retry_after_ms=RETRY_AFTER_MS)


class Runner:
    """Runs statements outside of transactions, with retries and hedged reads.

    Args:
        context: State that all sessions share.
    """

    def __init__(self, context: ServingContext) -> None:
        self._context = context
        self.attempts = Attempts(context)
        self._background: set[asyncio.Task[AttemptResult]] = set()

    async def run(self, statement: PendingStatement) -> Reply:
        """Runs a statement outside of transactions and returns its final answer."""
        if statement.writes:
            return await self._write(statement)
        return await self._read(statement)

    async def find_primary(self, statement: PendingStatement) -> Target | Failed:
        """Returns the primary, after a bounded wait if there is none.

        The wait is longer if a change of primary is in progress or the primary does
        not answer, since a new primary is then expected.
        """
        context = self._context
        service = statement.route.service
        began = context.timers.now()
        while True:
            lease = context.leases.lease(service)
            change_expected, reason = self._wait_reason(lease)
            if change_expected is None:
                assert isinstance(lease, Lease)
                record = context.registry.get(lease.instance)
                assert record is not None
                return Target(record=record, lease=lease, min_position=None)
            until = self._wait_until(
                statement, lease, began=began, change_expected=change_expected
            )
            now = context.timers.now()
            if now >= until:
                return Failed(
                    code=Code.OVERLOADED,
                    reason=f"no primary: {reason}",
                    retry_after_ms=PRIMARY_LOST_RETRY_AFTER_MS
                    if change_expected
                    else RETRY_AFTER_MS,
                )
            await context.leases.wait_for_change(
                service, until=min(until, now + ROUND_PAUSE_S)
            )

    def _wait_until(
        self,
        statement: PendingStatement,
        lease: Lease | NoLease,
        *,
        began: float,
        change_expected: bool,
    ) -> float:
        """Returns until when a statement waits for a primary.

        Args:
            statement: The statement.
            lease: The lease on the primary, or why there is none.
            began: Monotonic time in seconds when the wait began.
            change_expected: Whether a new primary is expected soon.

        Returns:
            Monotonic time in seconds.
        """
        if not change_expected:
            return min(
                statement.deadline,
                began + statement.route.objective_s * NO_PRIMARY_WAIT_FRACTION,
            )
        if isinstance(lease, NoLease) and lease.planned:
            return statement.deadline - MIN_EXECUTION_S
        return statement.unattempted_until()

    def _wait_reason(self, lease: Lease | NoLease) -> tuple[bool | None, str]:
        """Returns whether a new primary is expected, and why there is none now.

        The first item is None if the primary can be used.
        """
        if isinstance(lease, NoLease):
            return lease.changing, lease.reason
        if self._context.registry.get(lease.instance) is None:
            return False, f"{lease.instance} is not registered"
        if not self._context.registry.accepts_new_work(lease.instance):
            return False, f"{lease.instance} is leaving and has no successor"
        if self._context.health.in_backoff(lease.instance):
            return True, f"{lease.instance} does not answer"
        return None, ""

    async def _write(self, statement: PendingStatement) -> Reply:
        pause_s = ROUND_PAUSE_S
        while True:
            target = await self.find_primary(statement)
            if isinstance(target, Failed):
                return Reply(outcome=target, state=SessionState.IDLE)
            result = await self.attempts.run(
                target, statement, until=statement.deadline
            )
            answer = self.final_write_answer(target, statement, result)
            if answer is not None:
                return answer
            log_retry(statement, target, result)
            await self._context.timers.sleep(pause_s)
            pause_s = min(pause_s * 2, MAX_ROUND_PAUSE_S)

    def final_write_answer(
        self, target: Target, statement: PendingStatement, result: AttemptResult
    ) -> Reply | None:
        """Returns the final answer to a write, or None if it may be retried."""
        out_of_time = self._context.timers.now() + MIN_EXECUTION_S >= statement.deadline
        match result:
            case AnswerLost(reason=reason):
                return failed_reply(Code.OUTCOME_UNKNOWN, reason)
            case NotSent():
                return (
                    overloaded_reply(result)
                    if out_of_time or result.overloaded
                    else None
                )
            case Reply(outcome=Failed() as failure):
                return result if out_of_time or not failure.not_run else None
            case Reply():
                assert target.lease is not None
                if self._context.leases.is_valid_or_draining(target.lease):
                    return result
                # The lease ended before the answer came. If a new primary committed
                # before this commit, this commit is lost.
                return failed_reply(
                    Code.OUTCOME_UNKNOWN,
                    f"{target.name} may not have been the primary any more",
                )

    def targets(self, statement: PendingStatement) -> list[Target]:
        """Returns the instances that may serve a read, best first."""
        context = self._context
        service = statement.route.service
        min_position = context.min_position(statement.route, statement.own_commit)
        lease = context.leases.lease(service)
        primary = lease.instance if isinstance(lease, Lease) else None
        ranked = context.replica_selector.rank(
            service, primary=primary, min_position=min_position
        )
        return [
            Target(record=record, lease=lease, min_position=None)
            if isinstance(lease, Lease) and record.name == primary
            else Target(record=record, lease=None, min_position=min_position)
            for record in ranked
        ]

    def should_refuse_read(
        self, statement: PendingStatement, *, began: float, pause_s: float
    ) -> bool:
        """Returns whether to refuse a read that had no instance to be sent to.

        Args:
            statement: The read.
            began: Monotonic time in seconds when its first round began.
            pause_s: Time in seconds until its next round.
        """
        lease = self._context.leases.lease(statement.route.service)
        changing = isinstance(lease, NoLease) and lease.changing
        until = self._wait_until(
            statement, lease, began=began, change_expected=changing
        )
        return self._context.timers.now() + pause_s > until

    def _no_fresh_instance_reply(self, statement: PendingStatement) -> Reply:
        """Returns the answer to a read for which no instance is known to be fresh."""
        lease = self._context.leases.lease(statement.route.service)
        changing = isinstance(lease, NoLease) and lease.changing
        return failed_reply(
            Code.OVERLOADED,
            nothing_attempted([]).reason,
            retry_after_ms=PRIMARY_LOST_RETRY_AFTER_MS if changing else RETRY_AFTER_MS,
        )

    def try_admit_read(self, target: Target) -> bool:
        """Returns whether a read that replicas could serve may be sent to a target.

        For a primary this takes a token of its rate limiter.
        """
        if target.lease is None:
            return True
        return self._context.read_limiter_of(target.name).try_acquire()

    async def _read(self, statement: PendingStatement) -> Reply:
        # Names of instances that may have run the read, but did not answer. If there
        # are any, the final answer must not say that the read has not run.
        unanswered: list[str] = []
        reply = await self._read_in_rounds(statement, unanswered)
        outcome = reply.outcome
        if not (unanswered and isinstance(outcome, Failed) and outcome.not_run):
            return reply
        return failed_reply(
            Code.TIMEOUT,
            f"{unanswered[0]} did not answer; last failure: {outcome.reason}",
            retry_after_ms=outcome.retry_after_ms or RETRY_AFTER_MS,
        )

    async def _read_in_rounds(
        self, statement: PendingStatement, unanswered: list[str]
    ) -> Reply:
        began = self._context.timers.now()
        pause_s = ROUND_PAUSE_S
        while True:
            if isinstance(statement.route.consistency, AnyCommit):
                target = await self.find_primary(statement)
                if isinstance(target, Failed):
                    return Reply(outcome=target, state=SessionState.IDLE)
                attempted: Target | None = target
                result = await self.attempts.run(
                    target, statement, until=statement.deadline
                )
                if isinstance(result, AnswerLost):
                    unanswered.append(target.name)
            elif await self._awaits_sample(statement):
                continue
            else:
                attempted, result = await self._seek_in_round(statement, unanswered)
            answer = self._final_read_answer(statement, result)
            if answer is not None:
                return answer
            log_retry(statement, attempted, result)
            if attempted is None and self.should_refuse_read(
                statement, began=began, pause_s=pause_s
            ):
                return self._no_fresh_instance_reply(statement)
            await self._context.timers.sleep(pause_s)
            pause_s = min(pause_s * 2, MAX_ROUND_PAUSE_S)

    async def _awaits_sample(self, statement: PendingStatement) -> bool:
        """Waits for a position sample that other reads are about to bring.

        Without a sample only the primary can serve a read. Reads that arrive together
        would all queue there, although the first answer lets replicas serve the rest.

        Returns:
            Whether there was something to wait for; the read is then ranked anew.
        """
        context = self._context
        positions = context.positions_of(statement.route.service)
        lacks_sample = (
            context.min_position(statement.route, statement.own_commit) is None
        )
        if not lacks_sample or not positions.is_sought:
            return False
        return await positions.wait_for_change(until=statement.unattempted_until())

    async def _seek_in_round(
        self, statement: PendingStatement, unanswered: list[str]
    ) -> tuple[Target | None, AttemptResult]:
        """Runs a round; counts it as one that seeks a sample if there is none."""
        context = self._context
        if context.min_position(statement.route, statement.own_commit) is not None:
            return await self._read_round(statement, unanswered)
        with context.positions_of(statement.route.service).seeking():
            return await self._read_round(statement, unanswered)

    def _final_read_answer(
        self, statement: PendingStatement, result: AttemptResult
    ) -> Reply | None:
        out_of_time = self._context.timers.now() + MIN_EXECUTION_S >= statement.deadline
        match result:
            case Reply(outcome=Failed() as failure):
                return result if out_of_time or not failure.read_retryable else None
            case Reply():
                return result
            case AnswerLost(reason=reason):
                return failed_reply(Code.TIMEOUT, reason) if out_of_time else None
            case NotSent():
                return (
                    overloaded_reply(result)
                    if out_of_time or result.overloaded
                    else None
                )

    async def _read_round(
        self, statement: PendingStatement, unanswered: list[str]
    ) -> tuple[Target | None, AttemptResult]:
        """Sends a read to one instance after the other until one serves it.

        If an instance does not answer within the hedge delay, its attempt goes on
        while the next instance is attempted, and the first final answer counts.

        Args:
            statement: The read.
            unanswered: List that the names of instances without an answer are
                appended to.

        Returns:
            Target and result of the last attempt; the target is None if there was no
            attempt.
        """
        offered = self.targets(statement)
        targets = iter(offered)
        running: dict[asyncio.Task[AttemptResult], Target] = {}
        last_attempt: tuple[Target | None, AttemptResult] = (
            None,
            nothing_attempted(offered),
        )
        try:
            while True:
                has_more = self._start_next_attempt(targets, statement, running)
                if not running:
                    return last_attempt
                done = await self._wait_for_first(running, statement, has_more=has_more)
                for task in done:
                    target = running.pop(task)
                    result = task.result()
                    if isinstance(result, AnswerLost):
                        unanswered.append(target.name)
                    last_attempt = target, result
                    if isinstance(result, Reply) and _is_final(result):
                        self._note_read_served(target)
                        return last_attempt
                    log_retry(statement, target, result)
                if self._context.timers.now() + MIN_EXECUTION_S >= statement.deadline:
                    return last_attempt
        finally:
            # The remaining attempts go on, so that late answers still leave their
            # connections reusable.
            for task, target in running.items():
                unanswered.append(target.name)
                self._background.add(task)
                task.add_done_callback(self._background.discard)
                if self._context.pools.fair:
                    # What still waits for a connection could do so until its deadline.
                    task.cancel()

    def _note_read_served(self, target: Target) -> None:
        if target.lease is not None:
            self._context.read_limiter_of(target.name).note_served()

    def _start_next_attempt(
        self,
        targets: Iterator[Target],
        statement: PendingStatement,
        running: dict[asyncio.Task[AttemptResult], Target],
    ) -> bool:
        target = next((item for item in targets if self.try_admit_read(item)), None)
        if target is None:
            return False
        task = asyncio.create_task(
            self.attempts.run(target, statement, until=statement.deadline)
        )
        running[task] = target
        return True

    async def _wait_for_first(
        self,
        running: dict[asyncio.Task[AttemptResult], Target],
        statement: PendingStatement,
        *,
        has_more: bool,
    ) -> set[asyncio.Task[AttemptResult]]:
        left_s = max(statement.deadline - self._context.timers.now(), 0)
        wait_s = min(HEDGE_DELAY_S, left_s) if has_more else left_s
        done, _ = await asyncio.wait(
            running, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
        )
        return done


def _is_final(reply: Reply) -> bool:
    """Returns whether no other instance could give a read a better answer."""
    return isinstance(reply.outcome, Done) or not reply.outcome.read_retryable


def log_retry(
    statement: PendingStatement, target: Target | None, result: AttemptResult
) -> None:
    """Logs why an attempt gave no final answer."""
    match result:
        case Reply(outcome=Failed(reason=reason)):
            pass
        case AnswerLost(reason=reason) | NotSent(reason=reason):
            pass
        case _:
            reason = ""
    log.info(
        "attempt gave no final answer",
        id=statement.id,
        service=statement.route.service,
        instance=None if target is None else target.name,
        role=None if target is None else target.role,
        floor=None if target is None else str(target.position),
        result=result_label(result),
        position=str(result.position) if isinstance(result, Reply) else None,
        reason=reason,
    )
