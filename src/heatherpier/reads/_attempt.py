"""Runs a read on one instance and proves that its answer may be shown."""

from dataclasses import dataclass

from heatherpier.groups import (
    Group,
    GroupError,
    InstanceStatus,
    fetch_status,
    wait_for_position,
)
from heatherpier.limits import Admission, StatementKind
from heatherpier.reads._freshness import AtLeast, Freshness, NotOlder, is_fresh
from heatherpier.reads._knowledge import PAIR, GroupKnowledge, Proof
from heatherpier.reads._outcomes import (
    Failure,
    Outcome,
    Overloaded,
    Rejected,
    Served,
    TooStale,
    Unproven,
    Unreachable,
)
from heatherpier.requests import (
    Answer,
    OverloadedError,
    Request,
    StatementRejectedError,
)
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    PoolBusyError,
    PooledConnection,
    Result,
    StatementError,
    TooManyConnectionsError,
    UpstreamError,
)

ACQUIRE_TIMEOUT_S = 0.25
STATUS_S = 0.25
MIN_POSITION_WAIT_S = 0.1
# A read that waited for its turn still gets this long, within its deadline.
MIN_ATTEMPT_S = 0.25
CONFIRM_S = 0.3
RETRY_AFTER_BUSY_MS = 100
SERVER_SHUTDOWN = 1053


@dataclass(frozen=True, slots=True, kw_only=True)
class _Run:
    """What an instance answered, with the statuses around it."""

    result: Result | StatementError
    before: Proof
    after: InstanceStatus


class Attempt:
    """Tries of one read.

    Args:
        group: The group to read from.
        knowledge: What earlier answers prove.
        req: The read.
        freshness: What it demands.
        admission: Gives places on instances.
        timers: Timer service.
    """

    def __init__(
        self,
        *,
        group: Group,
        knowledge: GroupKnowledge,
        req: Request,
        freshness: Freshness,
        admission: Admission,
        timers: Timers,
    ) -> None:
        self.group = group
        self._knowledge = knowledge
        self.req = req
        self.freshness = freshness
        self._admission = admission
        self._timers = timers

    async def run(self, name: str, *, until: float, timeout_factor: float) -> Outcome:
        """Tries one instance.

        Args:
            name: Name of the instance.
            until: Monotonic time in seconds when to give this instance up.
            timeout_factor: Factor on the time limits of checks, from 1.
        """
        try:
            before = await self._check(name, until=until, timeout_factor=timeout_factor)
            if not is_fresh(before.status, self.freshness):
                return TooStale(before.status)
            run = await self._run(name, before, until=until)
        except (PoolBusyError, TooManyConnectionsError):
            return Overloaded(RETRY_AFTER_BUSY_MS)
        except OverloadedError as exc:
            return Overloaded(exc.retry_after_ms or RETRY_AFTER_BUSY_MS)
        except (UpstreamError, GroupError) as exc:
            self.group.report_failure(name)
            return Unreachable(str(exc))
        return await self._verify(run)

    async def _check(self, name: str, *, until: float, timeout_factor: float) -> Proof:
        now = self._timers.now()
        proof = self._knowledge.proof(name, self.freshness, now=now)
        if proof is not None:
            return proof
        limit_s = min(until - now, ACQUIRE_TIMEOUT_S * timeout_factor)
        async with self.group.pools[name].acquire(timeout_s=limit_s) as conn:
            status = await self._ask_before(
                conn, until=until, timeout_factor=timeout_factor
            )
        return self._knowledge.take(status, asked_at=now)

    async def _ask_before(
        self, conn: PooledConnection, *, until: float, timeout_factor: float
    ) -> InstanceStatus:
        left = until - self._timers.now()
        match self.freshness:
            case AtLeast(min_position=min_position):
                wait_s = min(left, MIN_POSITION_WAIT_S * timeout_factor)
                return await wait_for_position(conn, min_position, timeout_s=wait_s)
            case _:
                return await fetch_status(
                    conn, timeout_s=min(left, STATUS_S * timeout_factor)
                )

    async def _run(self, name: str, before: Proof, *, until: float) -> _Run:
        """Runs the read in its turn, and asks for the status on the same connection.

        What was proved before holds on: it concerns the instance, whose log and
        terms outlast a connection.
        """
        kind = (
            StatementKind.PRIMARY_READ if before.status.leads() else StatementKind.READ
        )
        async with self._admission.admit(
            name,
            priority=self.req.priority,
            deadline=self.req.deadline,
            user=self.req.user,
            kind=kind,
        ):
            until = max(until, self._timers.now() + MIN_ATTEMPT_S)
            until = min(until, self.req.deadline)
            limit_s = min(ACQUIRE_TIMEOUT_S, until - self._timers.now())
            async with self.group.pools[name].acquire(timeout_s=limit_s) as conn:
                result = await self._read(conn, until=until)
                after = await self._ask(conn, until=until)
        return _Run(result=result, before=before, after=after)

    async def _read(
        self, conn: PooledConnection, *, until: float
    ) -> Result | StatementError:
        try:
            return await conn.execute(
                self.req.sql, timeout_s=until - self._timers.now()
            )
        except StatementError as exc:
            if exc.code == SERVER_SHUTDOWN:
                raise
            return exc

    async def _ask(self, conn: PooledConnection, *, until: float) -> InstanceStatus:
        now = self._timers.now()
        status = await fetch_status(conn, timeout_s=until - now)
        return self._knowledge.take(status, asked_at=now).status

    async def _verify(self, run: _Run) -> Outcome:
        unfit: Failure | None
        try:
            if run.after.leads():
                unfit = await self._verify_primary(run)
            else:
                unfit = await self._verify_replica(run)
        except GroupError as exc:
            return Unproven(str(exc))
        if unfit is not None:
            return unfit
        if isinstance(run.result, StatementError):
            return Rejected(_rejection(run.result))
        return Served(
            Answer(
                result=run.result,
                position=run.after.position,
                instance=run.after.instance,
                replica=not run.after.leads(),
            )
        )

    async def _verify_primary(self, run: _Run) -> TooStale | None:
        """Proves that what a primary showed is on a majority and was current."""
        match self.freshness:
            case AtLeast():
                if not is_fresh(run.after, self.freshness):
                    return TooStale(run.after)
                await self._await_kept(run.after)
            case _:
                before = run.before.status
                one_term = before.adopted_term == run.after.adopted_term
                if not before.leads() or not one_term:
                    return TooStale(run.after)
                await self._confirm(run.after)
                await self.group.acknowledge(
                    run.after.position,
                    primary=run.after.instance,
                    deadline=self.req.deadline,
                )
        return None

    async def _verify_replica(self, run: _Run) -> TooStale | Unproven | None:
        """Proves that what a replica showed stays and was fresh enough."""
        match self.freshness:
            case NotOlder(max_age_ms=max_age_ms):
                # An isolated primary states an age of 0 until it is demoted.
                followed = (
                    not run.before.status.leads()
                    and run.before.status.adopted_term == run.after.adopted_term
                )
                age_ms = run.before.age_ms(self._timers.now())
                fresh = followed and age_ms <= max_age_ms
            case _:
                fresh = is_fresh(run.after, self.freshness)
        if not fresh:
            return TooStale(run.after)
        if self.group.spec.majority > PAIR:
            await self._await_kept(run.after)
            if isinstance(self.freshness, NotOlder):
                await self._confirm(run.after)
        elif self._knowledge.can_vanish(run.after):
            return Unproven(
                f"{run.after.instance}: {run.after.position} may vanish in term "
                f"{run.after.adopted_term}"
            )
        return None

    async def _await_kept(self, status: InstanceStatus) -> None:
        """Waits for a majority, but in vain only while one can be reached."""
        soon = min(self.req.deadline, self._timers.now() + CONFIRM_S)
        try:
            await self.group.acknowledge(
                status.position, primary=status.instance, deadline=soon
            )
        except GroupError:
            await self._confirm(status)
            await self.group.acknowledge(
                status.position, primary=status.instance, deadline=self.req.deadline
            )

    async def _confirm(self, status: InstanceStatus) -> None:
        soon = min(self.req.deadline, self._timers.now() + CONFIRM_S)
        await self.group.confirm_primary(status, deadline=soon)


def _rejection(exc: StatementError) -> StatementRejectedError:
    return StatementRejectedError(
        code=exc.code, sqlstate=exc.sqlstate, message=exc.message
    )
