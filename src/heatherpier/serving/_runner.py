"""Runs single statements: reads on any fresh instance, the rest on the primary."""

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
# A read that has had no answer for this long is tried elsewhere too. The slowest
# twentieth of the slowest kind of read takes longer than 0.1 s of work.
HEDGE_S = 0.25
# Pause before the instances are asked once more; doubled with each round.
ROUND_PAUSE_S = 0.02
MAX_PAUSE_S = 0.16
# Part of the latency objective for which a statement is held while there is no
# primary and no change is under way that would bring one.
NO_PRIMARY_WAIT_SHARE = 0.25
RETRY_AFTER_MS = 500
# A lost primary is replaced within 1.5 s to 3 s of its loss; a caller that comes back
# sooner is refused again, and many have only two more tries.
LOST_RETRY_MS = 1500


def failed(
    code: Code,
    reason: str,
    *,
    retry_after_ms: int | None = None,
    state: SessionState = SessionState.IDLE,
) -> Reply:
    """Returns an answer of the proxy's own that is no success."""
    outcome = Failed(code=code, reason=reason, retry_after_ms=retry_after_ms)
    return Reply(outcome=outcome, state=state)


def refuse(result: NotSent) -> Reply:
    """Returns the answer to a statement that did not reach an instance."""
    return failed(
        Code.OVERLOADED,
        result.reason,
        retry_after_ms=result.retry_after_ms or RETRY_AFTER_MS,
    )


def nothing_offered(targets: list[Target]) -> NotSent:
    """Returns why a read was offered to none of its targets."""
    if targets:
        return NotSent(
            reason=f"{targets[0].name} has no room for reads, and replicas lag",
            retry_after_ms=RETRY_AFTER_MS,
            overloaded=True,
        )
    return NotSent(reason="no instance is fresh enough", retry_after_ms=RETRY_AFTER_MS)


class Runner:
    """Runs single statements.

    Args:
        context: What sessions share.
    """

    def __init__(self, context: ServingContext) -> None:
        self._context = context
        self.attempts = Attempts(context)
        self._background: set[asyncio.Task[AttemptResult]] = set()

    async def run(self, work: PendingStatement) -> Reply:
        """Runs a statement outside of transactions and returns its final answer."""
        if work.writes:
            return await self._write(work)
        return await self._read(work)

    # The primary

    async def find_primary(self, work: PendingStatement) -> Target | Failed:
        """Returns the primary, waiting for one if there is reason to."""
        context = self._context
        service = work.route.service
        began = context.timers.now()
        while True:
            lease = context.leases.lease(service)
            wait, reason = self._wait_reason(lease)
            if wait is None:
                assert isinstance(lease, Lease)
                record = context.registry.get(lease.instance)
                if record is not None:
                    return Target(record=record, lease=lease, min_position=None)
                wait, reason = False, f"{lease.instance} is not registered"
            until = self._wait_until(work, lease, began=began, wait=wait)
            now = context.timers.now()
            if now >= until:
                return Failed(
                    code=Code.OVERLOADED,
                    reason=f"no primary: {reason}",
                    retry_after_ms=LOST_RETRY_MS if wait else RETRY_AFTER_MS,
                )
            await context.leases.wait_for_change(
                service, until=min(until, now + ROUND_PAUSE_S)
            )

    def _wait_until(
        self,
        work: PendingStatement,
        lease: Lease | NoLease,
        *,
        began: float,
        wait: bool,
    ) -> float:
        """Returns until when a statement waits for a primary."""
        if not wait:
            return min(
                work.deadline, began + work.route.objective_s * NO_PRIMARY_WAIT_SHARE
            )
        if isinstance(lease, NoLease) and lease.planned:
            return work.deadline - MIN_EXECUTION_S
        return work.unattempted_until()

    def _wait_reason(self, lease: Lease | NoLease) -> tuple[bool | None, str]:
        """Returns whether to wait long for a primary, or None if there is one."""
        if isinstance(lease, NoLease):
            return lease.changing, lease.reason
        if self._context.health.in_backoff(lease.instance):
            return True, f"{lease.instance} does not answer"
        return None, ""

    # Writes

    async def _write(self, work: PendingStatement) -> Reply:
        pause_s = ROUND_PAUSE_S
        while True:
            target = await self.find_primary(work)
            if isinstance(target, Failed):
                return Reply(outcome=target, state=SessionState.IDLE)
            result = await self.attempts.run(target, work, until=work.deadline)
            answer = self.final_write_answer(target, work, result)
            if answer is not None:
                return answer
            log_retry(work, target, result)
            await self._context.timers.sleep(pause_s)
            pause_s = min(pause_s * 2, MAX_PAUSE_S)

    def final_write_answer(
        self, target: Target, work: PendingStatement, result: AttemptResult
    ) -> Reply | None:
        """Returns the final answer of a write, or None if it may be tried again."""
        late = self._context.timers.now() + MIN_EXECUTION_S >= work.deadline
        match result:
            case AnswerLost(reason=reason):
                return failed(Code.OUTCOME_UNKNOWN, reason)
            case NotSent():
                return refuse(result) if late or result.overloaded else None
            case Reply(outcome=Failed() as failure):
                return result if late or not failure.not_run else None
            case Reply():
                assert target.lease is not None
                if self._context.leases.is_valid_or_draining(target.lease):
                    return result
                # The commit may have come after a new primary's first.
                return failed(
                    Code.OUTCOME_UNKNOWN,
                    f"{target.name} may not have been the primary any more",
                )

    # Reads

    def targets(self, work: PendingStatement) -> list[Target]:
        """Returns the instances that may serve a read, best first."""
        context = self._context
        service = work.route.service
        min_position = context.min_position(work.route, work.own_commit)
        lease = context.leases.lease(service)
        primary = lease.instance if isinstance(lease, Lease) else None
        order = context.replica_selector.rank(
            service, primary=primary, min_position=min_position
        )
        return [
            Target(record=item, lease=lease, min_position=None)
            if isinstance(lease, Lease) and item.name == primary
            else Target(record=item, lease=None, min_position=min_position)
            for item in order
        ]

    def gives_up(self, work: PendingStatement, *, began: float, pause_s: float) -> bool:
        """Tells whether to refuse a read that no instance could be offered.

        Args:
            work: The read.
            began: Monotonic time in seconds when its first round began.
            pause_s: Time in seconds until its next round.
        """
        lease = self._context.leases.lease(work.route.service)
        changing = isinstance(lease, NoLease) and lease.changing
        until = self._wait_until(work, lease, began=began, wait=changing)
        return self._context.timers.now() + pause_s > until

    def _refuse_unproved(self, work: PendingStatement) -> Reply:
        """Returns the answer to a read that no instance can prove fresh."""
        lease = self._context.leases.lease(work.route.service)
        changing = isinstance(lease, NoLease) and lease.changing
        return failed(
            Code.OVERLOADED,
            nothing_offered([]).reason,
            retry_after_ms=LOST_RETRY_MS if changing else RETRY_AFTER_MS,
        )

    def may_offer(self, target: Target) -> bool:
        """Tells whether a read that a replica could serve may go to a target."""
        if target.lease is None:
            return True
        return self._context.read_limiter_of(target.name).try_acquire()

    async def _read(self, work: PendingStatement) -> Reply:
        # Names of the instances that may have run the read without an answer.
        unanswered: list[str] = []
        reply = await self._read_in_rounds(work, unanswered)
        outcome = reply.outcome
        if not (unanswered and isinstance(outcome, Failed) and outcome.not_run):
            return reply
        return failed(
            Code.TIMEOUT,
            f"{unanswered[0]} did not answer; then: {outcome.reason}",
            retry_after_ms=outcome.retry_after_ms or RETRY_AFTER_MS,
        )

    async def _read_in_rounds(
        self, work: PendingStatement, unanswered: list[str]
    ) -> Reply:
        began = self._context.timers.now()
        pause_s = ROUND_PAUSE_S
        while True:
            if isinstance(work.route.consistency, AnyCommit):
                target = await self.find_primary(work)
                if isinstance(target, Failed):
                    return Reply(outcome=target, state=SessionState.IDLE)
                attempted: Target | None = target
                result = await self.attempts.run(target, work, until=work.deadline)
                if isinstance(result, AnswerLost):
                    unanswered.append(target.name)
            else:
                attempted, result = await self._read_round(work, unanswered)
            answer = self._final_read_answer(work, result)
            if answer is not None:
                return answer
            log_retry(work, attempted, result)
            if attempted is None and self.gives_up(work, began=began, pause_s=pause_s):
                return self._refuse_unproved(work)
            await self._context.timers.sleep(pause_s)
            pause_s = min(pause_s * 2, MAX_PAUSE_S)

    def _final_read_answer(
        self, work: PendingStatement, result: AttemptResult
    ) -> Reply | None:
        late = self._context.timers.now() + MIN_EXECUTION_S >= work.deadline
        match result:
            case Reply(outcome=Failed() as failure):
                return result if late or not failure.may_pass else None
            case Reply():
                return result
            case AnswerLost(reason=reason):
                return failed(Code.TIMEOUT, reason) if late else None
            case NotSent():
                return refuse(result) if late or result.overloaded else None

    async def _read_round(
        self, work: PendingStatement, unanswered: list[str]
    ) -> tuple[Target | None, AttemptResult]:
        """Offers a read to one instance after the other until one serves it.

        An instance that keeps silent is not given up: the next one is asked beside
        it, and the first good answer counts.

        Args:
            work: The read.
            unanswered: Gets the names of instances that have not answered.
        """
        offered = self.targets(work)
        targets = iter(offered)
        running: dict[asyncio.Task[AttemptResult], Target] = {}
        last: tuple[Target | None, AttemptResult] = (None, nothing_offered(offered))
        try:
            while True:
                more = self._start_next(targets, work, running)
                if not running:
                    return last
                done = await self._first(running, work, more=more)
                for task in done:
                    target = running.pop(task)
                    result = task.result()
                    if isinstance(result, AnswerLost):
                        unanswered.append(target.name)
                    last = target, result
                    if isinstance(result, Reply) and _is_final(result):
                        self._note_room(target)
                        return last
                    log_retry(work, target, result)
                if self._context.timers.now() + MIN_EXECUTION_S >= work.deadline:
                    return last
        finally:
            # Answers that come late still give their connections back.
            for task, target in running.items():
                unanswered.append(target.name)
                self._background.add(task)
                task.add_done_callback(self._background.discard)

    def _note_room(self, target: Target) -> None:
        if target.lease is not None:
            self._context.read_limiter_of(target.name).note_served()

    def _start_next(
        self,
        targets: Iterator[Target],
        work: PendingStatement,
        running: dict[asyncio.Task[AttemptResult], Target],
    ) -> bool:
        target = next((item for item in targets if self.may_offer(item)), None)
        if target is None:
            return False
        task = asyncio.create_task(self.attempts.run(target, work, until=work.deadline))
        running[task] = target
        return True

    async def _first(
        self,
        running: dict[asyncio.Task[AttemptResult], Target],
        work: PendingStatement,
        *,
        more: bool,
    ) -> set[asyncio.Task[AttemptResult]]:
        left_s = max(work.deadline - self._context.timers.now(), 0)
        wait_s = min(HEDGE_S, left_s) if more else left_s
        done, _ = await asyncio.wait(
            running, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
        )
        return done


def _is_final(reply: Reply) -> bool:
    """Tells whether no other instance would answer a read better."""
    return isinstance(reply.outcome, Done) or not reply.outcome.may_pass


def log_retry(
    work: PendingStatement, target: Target | None, result: AttemptResult
) -> None:
    """Logs why a try did not settle a statement."""
    match result:
        case Reply(outcome=Failed(reason=reason)):
            pass
        case AnswerLost(reason=reason) | NotSent(reason=reason):
            pass
        case _:
            reason = ""
    log.info(
        "try did not settle the statement",
        id=work.id,
        service=work.route.service,
        instance=None if target is None else target.name,
        role=None if target is None else target.role,
        floor=None if target is None else str(target.position),
        result=result_label(result),
        position=str(result.position) if isinstance(result, Reply) else None,
        reason=reason,
    )
