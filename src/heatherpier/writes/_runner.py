"""Runs one attempt of a single write and waits until a majority holds it."""

from contextlib import AbstractAsyncContextManager

from heatherpier.groups import (
    Group,
    GroupError,
    InstanceStatus,
    NotAcknowledgedError,
    fetch_status,
)
from heatherpier.limits import Admission, StatementKind
from heatherpier.requests import Answer, Request, StatementRejectedError
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    ConnectError,
    PoolBusyError,
    PooledConnection,
    Result,
    StatementError,
    UpstreamError,
)
from heatherpier.writes._attempt import (
    CONTROL_TIMEOUT_S,
    Committed,
    ServerError,
    begin,
    claim_attempt,
    commit,
    control_timeout_s,
    rollback,
)
from heatherpier.writes._errors import (
    AttemptLostError,
    CommitUnknownError,
    ContendedError,
    RejectedError,
    WriteError,
)
from heatherpier.writes._primary import find_primary
from heatherpier.writes._records import RequestRecord, update_outcome
from heatherpier.writes._resolver import Resolver

# Fraction of the time to the deadline that one answer may take, so that a connection
# that stops answering leaves time for another attempt.
ANSWER_TIME_FRACTION = 0.5
# Minimum timeout of one answer, if the deadline is not earlier.
MIN_ANSWER_TIMEOUT_S = 0.5


class AttemptRunner:
    """Runs each attempt in one database transaction together with its record.

    Args:
        timers: Timer service.
        resolver: Waits until a majority holds a position.
        admission: Limits the concurrent statements on each instance.
    """

    def __init__(
        self, *, timers: Timers, resolver: Resolver, admission: Admission
    ) -> None:
        self._timers = timers
        self._resolver = resolver
        self._admission = admission

    async def run(self, group: Group, req: Request, record: RequestRecord) -> Answer:
        """Runs the attempt on the primary and waits until a majority holds it.

        Raises:
            FinalError: The instance rejected the statement or has no capacity by the
                deadline, or the group has no primary.
            AttemptLostError: This run of the attempt never takes effect.
            CommitUnknownError: COMMIT was sent, and it is not known whether it takes
                effect.
            RecordExistsError: The attempt has a record already, or an earlier
                attempt is not refused.
            MissingTableError: The table of request records does not exist.
        """
        primary = await find_primary(group, timers=self._timers, deadline=req.deadline)
        name = primary.instance
        try:
            async with self._admit(name, req):
                remaining_s = req.deadline - self._timers.now()
                async with group.pools[name].acquire(timeout_s=remaining_s) as conn:
                    outcome = await self._run(conn, req, record, primary)
            if isinstance(outcome, WriteError):
                raise outcome
        except ConnectError as exc:
            if not isinstance(exc, PoolBusyError):
                group.report_failure(name)
            raise AttemptLostError(str(exc)) from exc
        except (AttemptLostError, CommitUnknownError) as exc:
            if not isinstance(exc, ContendedError):
                group.suspect(name)
            raise
        except RejectedError as exc:
            await self._confirm_rejection(group, req, exc, instance=name)
            raise _rejected_error(exc.cause) from exc
        try:
            await self._resolver.acknowledge(
                group, outcome.position, instance=name, deadline=req.deadline
            )
        except NotAcknowledgedError as exc:
            raise CommitUnknownError(str(exc)) from exc
        return Answer(
            result=outcome.result,
            position=outcome.position,
            instance=name,
            replica=False,
        )

    def _admit(self, name: str, req: Request) -> AbstractAsyncContextManager[None]:
        return self._admission.admit(
            name,
            priority=req.priority,
            deadline=req.deadline,
            user=req.user,
            kind=StatementKind.WRITE,
        )

    async def _run(
        self,
        conn: PooledConnection,
        req: Request,
        record: RequestRecord,
        primary: InstanceStatus,
    ) -> Committed | WriteError:
        """Runs the attempt, and returns its error if it was rolled back.

        An error that is raised inside the pool's context closes the connection. That
        is wanted for a lost connection or an open transaction only.
        """
        try:
            return await self._run_in_transaction(conn, req, record, primary)
        except WriteError as exc:
            if isinstance(exc, CommitUnknownError) or conn.in_transaction:
                raise
            return exc

    async def _run_in_transaction(
        self,
        conn: PooledConnection,
        req: Request,
        record: RequestRecord,
        primary: InstanceStatus,
    ) -> Committed:
        await begin(conn, timeout_s=self._control_timeout_s(req))
        if req.key is None:
            # The proxy generated the key for this request, so no other request can
            # hold it yet. A record that is inserted after the statement contains the
            # outcome, which saves the round trip of a later update.
            result = await self._run_statement(conn, req, primary)
            await self._claim(conn, req, record.with_outcome(result))
        else:
            # Another request with this key must find the record before it meets the
            # effects of the first one. Otherwise a write that succeeded could be
            # answered with a duplicate entry.
            await self._claim(conn, req, record)
            result = await self._run_statement(conn, req, primary)
            await self._store_outcome(conn, req, record.with_outcome(result))
        return await commit(conn, result, timers=self._timers, deadline=req.deadline)

    async def _claim(
        self, conn: PooledConnection, req: Request, record: RequestRecord
    ) -> None:
        timeout_s = self._answer_timeout_s(req)
        await claim_attempt(conn, record, timers=self._timers, timeout_s=timeout_s)

    async def _store_outcome(
        self, conn: PooledConnection, req: Request, record: RequestRecord
    ) -> None:
        try:
            timeout_s = self._control_timeout_s(req)
            await update_outcome(conn, record, timeout_s=timeout_s)
        except UpstreamError as exc:
            raise AttemptLostError(str(exc)) from exc

    async def _run_statement(
        self, conn: PooledConnection, req: Request, primary: InstanceStatus
    ) -> Result:
        try:
            return await conn.execute(req.sql, timeout_s=self._answer_timeout_s(req))
        except StatementError as exc:
            await rollback(conn)
            raise await _classify_rejection(conn, exc, primary) from exc
        except UpstreamError as exc:
            raise AttemptLostError(str(exc)) from exc

    def _control_timeout_s(self, req: Request) -> float:
        return control_timeout_s(req.deadline, timers=self._timers)

    def _answer_timeout_s(self, req: Request) -> float:
        remaining_s = req.deadline - self._timers.now()
        return max(
            remaining_s * ANSWER_TIME_FRACTION, min(remaining_s, MIN_ANSWER_TIMEOUT_S)
        )

    async def _confirm_rejection(
        self, group: Group, req: Request, exc: RejectedError, *, instance: str
    ) -> None:
        """Waits until a majority holds the data that led to the rejection.

        The data of an old primary may be dropped, and the rejection with it, so
        AttemptLostError is raised if no majority holds the data in time.
        """
        try:
            await self._resolver.acknowledge(
                group, exc.position, instance=instance, deadline=req.deadline
            )
        except NotAcknowledgedError as lost:
            raise AttemptLostError(str(lost)) from exc


async def _classify_rejection(
    conn: PooledConnection, exc: StatementError, primary: InstanceStatus
) -> RejectedError | AttemptLostError:
    """Returns a rejection only if the instance is still primary in the same term."""
    if exc.code == ServerError.READ_ONLY:
        return AttemptLostError(str(exc))
    try:
        status = await fetch_status(conn, timeout_s=CONTROL_TIMEOUT_S)
    except (UpstreamError, GroupError) as lost:
        return AttemptLostError(str(lost))
    if not status.leads() or status.adopted_term != primary.adopted_term:
        return AttemptLostError(f"{conn.name} is no longer the primary")
    return RejectedError(exc, position=status.position)


def _rejected_error(exc: StatementError) -> StatementRejectedError:
    return StatementRejectedError(
        code=exc.code, sqlstate=exc.sqlstate, message=exc.message
    )
