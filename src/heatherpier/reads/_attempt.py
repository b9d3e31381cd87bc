"""Runs a read on one instance and proves that its answer may be shown."""

from dataclasses import dataclass

from heatherpier.groups import (
    Group,
    GroupError,
    InstanceStatus,
    fetch_status,
    wait_for_position,
)
from heatherpier.reads._freshness import AtLeast, Freshness, NotOlder, is_fresh
from heatherpier.reads._knowledge import PAIR, GroupKnowledge, Proof
from heatherpier.reads._outcomes import (
    Behind,
    Failure,
    Full,
    Outcome,
    Rejected,
    Served,
    Unproven,
    Unreachable,
)
from heatherpier.requests import Answer, Request, StatementRejectedError
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    PoolBusyError,
    PooledConnection,
    Result,
    StatementError,
    UpstreamError,
)

BORROW_S = 0.25
STATUS_S = 0.25
FLOOR_WAIT_S = 0.1
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
        timers: Timer service.
    """

    def __init__(
        self,
        *,
        group: Group,
        knowledge: GroupKnowledge,
        req: Request,
        freshness: Freshness,
        timers: Timers,
    ) -> None:
        self._group = group
        self._knowledge = knowledge
        self._req = req
        self._freshness = freshness
        self._timers = timers

    async def run(self, name: str, *, until: float, patience: float) -> Outcome:
        """Tries one instance.

        Args:
            name: Name of the instance.
            until: Monotonic time in seconds when to give this instance up.
            patience: Factor on the time limits of checks, from 1.
        """
        try:
            async with self._group.pools[name].borrow(
                timeout_s=min(BORROW_S * patience, until - self._timers.now())
            ) as conn:
                before = await self._check(conn, name, until=until, patience=patience)
                if not is_fresh(before.status, self._freshness):
                    return Behind(before.status)
                result = await self._read(conn, until=until)
                after = await self._ask(conn, until=until)
        except PoolBusyError:
            return Full(RETRY_AFTER_BUSY_MS)
        except (UpstreamError, GroupError) as exc:
            self._group.report_failure(name)
            return Unreachable(str(exc))
        return await self._judge(_Run(result=result, before=before, after=after))

    async def _check(
        self, conn: PooledConnection, name: str, *, until: float, patience: float
    ) -> Proof:
        now = self._timers.now()
        proof = self._knowledge.proof(name, self._freshness, now=now)
        if proof is not None:
            return proof
        left = until - now
        match self._freshness:
            case AtLeast(floor=floor):
                wait_s = min(left, FLOOR_WAIT_S * patience)
                status = await wait_for_position(conn, floor, timeout_s=wait_s)
            case _:
                wait_s = min(left, STATUS_S * patience)
                status = await fetch_status(conn, timeout_s=wait_s)
        return self._knowledge.take(status, asked_at=now)

    async def _read(
        self, conn: PooledConnection, *, until: float
    ) -> Result | StatementError:
        try:
            return await conn.execute(
                self._req.sql, timeout_s=until - self._timers.now()
            )
        except StatementError as exc:
            if exc.code == SERVER_SHUTDOWN:
                raise
            return exc

    async def _ask(self, conn: PooledConnection, *, until: float) -> InstanceStatus:
        now = self._timers.now()
        status = await fetch_status(conn, timeout_s=until - now)
        return self._knowledge.take(status, asked_at=now).status

    async def _judge(self, run: _Run) -> Outcome:
        unfit: Failure | None
        try:
            if run.after.leads():
                unfit = await self._judge_primary(run)
            else:
                unfit = await self._judge_replica(run)
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

    async def _judge_primary(self, run: _Run) -> Behind | None:
        """Proves that what a primary showed is on a majority and was current."""
        match self._freshness:
            case AtLeast():
                if not is_fresh(run.after, self._freshness):
                    return Behind(run.after)
                await self._await_kept(run.after)
            case _:
                before = run.before.status
                one_term = before.adopted_term == run.after.adopted_term
                if not before.leads() or not one_term:
                    return Behind(run.after)
                await self._confirm(run.after)
                await self._group.acknowledge(
                    run.after.position,
                    primary=run.after.instance,
                    deadline=self._req.deadline,
                )
        return None

    async def _judge_replica(self, run: _Run) -> Behind | Unproven | None:
        """Proves that what a replica showed stays and was fresh enough."""
        match self._freshness:
            case NotOlder(max_age_ms=max_age_ms):
                fresh = run.before.age_ms(self._timers.now()) <= max_age_ms
            case _:
                fresh = is_fresh(run.after, self._freshness)
        if not fresh:
            return Behind(run.after)
        if self._group.spec.majority > PAIR:
            await self._await_kept(run.after)
            if isinstance(self._freshness, NotOlder):
                await self._confirm(run.after)
        elif self._knowledge.can_vanish(run.after):
            return Unproven(
                f"{run.after.instance}: {run.after.position} may vanish in term "
                f"{run.after.adopted_term}"
            )
        return None

    async def _await_kept(self, status: InstanceStatus) -> None:
        """Waits for a majority, but in vain only while one can be reached."""
        soon = min(self._req.deadline, self._timers.now() + CONFIRM_S)
        try:
            await self._group.acknowledge(
                status.position, primary=status.instance, deadline=soon
            )
        except GroupError:
            await self._confirm(status)
            await self._group.acknowledge(
                status.position, primary=status.instance, deadline=self._req.deadline
            )

    async def _confirm(self, status: InstanceStatus) -> None:
        soon = min(self._req.deadline, self._timers.now() + CONFIRM_S)
        await self._group.confirm_primary(status, deadline=soon)


def _rejection(exc: StatementError) -> StatementRejectedError:
    return StatementRejectedError(
        code=exc.code, sqlstate=exc.sqlstate, message=exc.message
    )
