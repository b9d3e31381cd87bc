"""Runs a read on one instance and proves that its answer may be returned."""

from dataclasses import dataclass

from heatherpier.groups import (
    Group,
    GroupError,
    InstanceStatus,
    fetch_status,
    wait_for_position,
)
from heatherpier.limits import Admission, StatementKind
from heatherpier.reads._freshness import (
    AtLeast,
    Freshness,
    NotOlder,
    freshness_in,
    is_fresh,
)
from heatherpier.reads._knowledge import PRIMARY_AND_REPLICA, GroupKnowledge, Proof
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
STATUS_TIMEOUT_S = 0.25
MIN_POSITION_WAIT_S = 0.1
# Once a read gets its slot it may run at least this long, within its deadline, even
# if the wait used up the time for this instance.
MIN_ATTEMPT_S = 0.25
CONFIRM_TIMEOUT_S = 0.3
RETRY_AFTER_BUSY_MS = 100
SERVER_SHUTDOWN = 1053


@dataclass(frozen=True, slots=True, kw_only=True)
class _Execution:
    """An instance's answer to a read, with its statuses before and after the read.

    Attributes:
        result: The rows, or the error that the statement itself caused.
        before: Status that was asked for before the read, maybe for an earlier read.
        after: Status that was asked for after the read, on the same connection.
        freshness: How fresh the data must be on this instance.
    """

    result: Result | StatementError
    before: Proof
    after: InstanceStatus
    freshness: Freshness


class Attempt:
    """Attempts of one read on the instances of a group.

    Args:
        group: The group to read from.
        knowledge: Statuses from earlier answers, and what they prove.
        req: The read.
        freshness: How fresh the data must be.
        admission: Grants slots on instances.
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
        """Attempts the read on one instance.

        Args:
            name: Name of the instance.
            until: Monotonic time in seconds when the attempt on this instance ends.
            timeout_factor: Factor on the time limits of checks, at least 1.
        """
        freshness = freshness_in(self.group, self.freshness)
        try:
            before = await self._prove(
                name, freshness, until=until, timeout_factor=timeout_factor
            )
            freshness = freshness_in(self.group, freshness)
            if not is_fresh(before.status, freshness):
                return TooStale(before.status)
            execution = await self._execute(name, before, freshness, until=until)
        except (PoolBusyError, TooManyConnectionsError):
            return Overloaded(RETRY_AFTER_BUSY_MS)
        except OverloadedError as exc:
            return Overloaded(exc.retry_after_ms or RETRY_AFTER_BUSY_MS)
        except (UpstreamError, GroupError) as exc:
            self.group.report_failure(name)
            return Unreachable(str(exc))
        return await self._verify(execution)

    async def _prove(
        self, name: str, freshness: Freshness, *, until: float, timeout_factor: float
    ) -> Proof:
        """Returns an earlier proof of freshness, or the instance's current status."""
        now = self._timers.now()
        proof = self._knowledge.find_proof(name, freshness, now=now)
        if proof is not None:
            return proof
        limit_s = min(until - now, ACQUIRE_TIMEOUT_S * timeout_factor)
        async with self.group.pools[name].acquire(timeout_s=limit_s) as conn:
            status = await self._fetch_status_before(
                conn, freshness, until=until, timeout_factor=timeout_factor
            )
        return self._knowledge.record(status, asked_at=now)

    async def _fetch_status_before(
        self,
        conn: PooledConnection,
        freshness: Freshness,
        *,
        until: float,
        timeout_factor: float,
    ) -> InstanceStatus:
        left = until - self._timers.now()
        match freshness:
            case AtLeast(min_position=min_position):
                wait_s = min(left, MIN_POSITION_WAIT_S * timeout_factor)
                return await wait_for_position(conn, min_position, timeout_s=wait_s)
            case _:
                return await fetch_status(
                    conn, timeout_s=min(left, STATUS_TIMEOUT_S * timeout_factor)
                )

    async def _execute(
        self, name: str, before: Proof, freshness: Freshness, *, until: float
    ) -> _Execution:
        """Waits for a slot, runs the read, then fetches the status.

        The status comes over the connection of the read. ``before`` may have come
        over another connection and stays valid: it describes the instance, whose log
        and adopted term outlive a connection.
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
                after = await self._fetch_status_after(conn, until=until)
        return _Execution(
            result=result, before=before, after=after, freshness=freshness
        )

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

    async def _fetch_status_after(
        self, conn: PooledConnection, *, until: float
    ) -> InstanceStatus:
        now = self._timers.now()
        status = await fetch_status(conn, timeout_s=until - now)
        return self._knowledge.record(status, asked_at=now).status

    async def _verify(self, execution: _Execution) -> Outcome:
        failure: Failure | None
        try:
            if execution.after.leads():
                failure = await self._verify_primary(execution)
            else:
                failure = await self._verify_replica(execution)
        except GroupError as exc:
            return Unproven(str(exc))
        if failure is not None:
            return failure
        if isinstance(execution.result, StatementError):
            return Rejected(_rejection(execution.result))
        return Served(
            Answer(
                result=execution.result,
                position=execution.after.position,
                instance=execution.after.instance,
                replica=not execution.after.leads(),
            )
        )

    async def _verify_primary(self, execution: _Execution) -> TooStale | None:
        """Proves that the data read on a primary are on a majority and were current.

        A majority must hold the position that was read. Without a minimum position, two
        more conditions apply. The instance must lead the same term before and after the
        read, so that it ran the read as this term's primary. After the read, a majority
        must confirm that it has not left the term, so that no later primary can have
        acknowledged a write before the read.
        """
        match execution.freshness:
            case AtLeast():
                if not is_fresh(execution.after, execution.freshness):
                    return TooStale(execution.after)
                await self._wait_until_durable(execution.after)
            case _:
                before = execution.before.status
                one_term = before.adopted_term == execution.after.adopted_term
                if not before.leads() or not one_term:
                    return TooStale(execution.after)
                await self._confirm(execution.after)
                await self.group.acknowledge(
                    execution.after.position,
                    primary=execution.after.instance,
                    deadline=self.req.deadline,
                )
        return None

    async def _verify_replica(
        self, execution: _Execution
    ) -> TooStale | Unproven | None:
        """Proves that the data read on a replica are durable and were fresh enough.

        The age is that of the status before the read, plus the time since. In a group
        of up to three instances the primary and one replica are a majority, so an entry
        that the replica holds in the entry's own term is durable. In a larger group
        only a minority may follow the replica's primary. There, a majority must hold
        the position, and for a stated age it must also confirm the term.
        """
        match execution.freshness:
            case NotOlder(max_age_ms=max_age_ms):
                # An isolated primary reports age 0 until it is demoted. The age is
                # valid only if the instance was a replica before the read and did not
                # change its term since.
                followed = (
                    not execution.before.status.leads()
                    and execution.before.status.adopted_term
                    == execution.after.adopted_term
                )
                age_ms = execution.before.age_ms(self._timers.now())
                fresh = followed and age_ms <= max_age_ms
            case _:
                fresh = is_fresh(execution.after, execution.freshness)
        if not fresh:
            return TooStale(execution.after)
        if self.group.spec.majority > PRIMARY_AND_REPLICA:
            await self._wait_until_durable(execution.after)
            if isinstance(execution.freshness, NotOlder):
                await self._confirm(execution.after)
        elif self._knowledge.can_be_discarded(execution.after):
            return Unproven(
                f"{execution.after.instance}: {execution.after.position} "
                f"may be discarded in term {execution.after.adopted_term}"
            )
        return None

    async def _wait_until_durable(self, status: InstanceStatus) -> None:
        """Waits until a majority holds the position of ``status``.

        If none does within `CONFIRM_TIMEOUT_S`, the wait goes on until the deadline
        only after a majority has confirmed the term. The read thus fails early when
        no majority can be reached.

        Raises:
            GroupError: No majority held the position or confirmed the term in time.
        """
        confirm_by = min(self.req.deadline, self._timers.now() + CONFIRM_TIMEOUT_S)
        try:
            await self.group.acknowledge(
                status.position, primary=status.instance, deadline=confirm_by
            )
        except GroupError:
            await self._confirm(status)
            await self.group.acknowledge(
                status.position, primary=status.instance, deadline=self.req.deadline
            )

    async def _confirm(self, status: InstanceStatus) -> None:
        confirm_by = min(self.req.deadline, self._timers.now() + CONFIRM_TIMEOUT_S)
        await self.group.confirm_primary(status, deadline=confirm_by)


def _rejection(exc: StatementError) -> StatementRejectedError:
    return StatementRejectedError(
        code=exc.code, sqlstate=exc.sqlstate, message=exc.message
    )
