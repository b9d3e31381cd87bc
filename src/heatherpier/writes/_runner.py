"""Runs one attempt of a single write and waits for a majority."""

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
    control_limit_s,
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

# Share of the time left that one answer may take, so that a connection that
# went silent leaves time for another attempt.
ANSWER_SHARE = 0.5
MIN_ANSWER_LIMIT_S = 0.5


class AttemptRunner:
    """Runs attempts in one database transaction each, with their record.

    Args:
        timers: Timer service.
        resolver: Waits for majorities.
        admission: Gives places on instances.
    """

    def __init__(
        self, *, timers: Timers, resolver: Resolver, admission: Admission
    ) -> None:
        self._timers = timers
        self._resolver = resolver
        self._admission = admission

    async def run(self, group: Group, req: Request, record: RequestRecord) -> Answer:
        """Runs the attempt on the primary and waits for a majority.

        Raises:
            FinalError: The instance rejected the statement, its turn would come too
                late, or there is no primary.
            AttemptLostError: The attempt never takes effect.
            CommitUnknownError: Whether it takes effect is not known.
            RecordExistsError: The attempt has a record already.
            MissingTableError: There is no table of records.
        """
        primary = await find_primary(group, timers=self._timers, deadline=req.deadline)
        name = primary.instance
        try:
            async with self._place(name, req):
                left = req.deadline - self._timers.now()
                async with group.pools[name].acquire(timeout_s=left) as conn:
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
            raise _rejection(exc.cause) from exc
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

    def _place(self, name: str, req: Request) -> AbstractAsyncContextManager[None]:
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
        """Returns the error of an attempt that was rolled back.

        An error that is raised here would close the connection, too.
        """
        try:
            return await self._run_steps(conn, req, record, primary)
        except WriteError as exc:
            if isinstance(exc, CommitUnknownError) or conn.in_transaction:
                raise
            return exc

    async def _run_steps(
        self,
        conn: PooledConnection,
        req: Request,
        record: RequestRecord,
        primary: InstanceStatus,
    ) -> Committed:
        await begin(conn, timeout_s=self._control_limit_s(req))
        if req.key is None:
            # No other try can hold this key, so one round trip less will do.
            result = await self._run_statement(conn, req, primary)
            await self._claim(conn, req, record.with_outcome(result))
        else:
            # A second try must find the record before it meets the first one's
            # effects.
            await self._claim(conn, req, record)
            result = await self._run_statement(conn, req, primary)
            await self._store_outcome(conn, req, record.with_outcome(result))
        return await commit(conn, result, timers=self._timers, deadline=req.deadline)

    async def _claim(
        self, conn: PooledConnection, req: Request, record: RequestRecord
    ) -> None:
        limit = self._answer_limit_s(req)
        await claim_attempt(conn, record, timers=self._timers, timeout_s=limit)

    async def _store_outcome(
        self, conn: PooledConnection, req: Request, record: RequestRecord
    ) -> None:
        try:
            limit = self._control_limit_s(req)
            await update_outcome(conn, record, timeout_s=limit)
        except UpstreamError as exc:
            raise AttemptLostError(str(exc)) from exc

    async def _run_statement(
        self, conn: PooledConnection, req: Request, primary: InstanceStatus
    ) -> Result:
        try:
            return await conn.execute(req.sql, timeout_s=self._answer_limit_s(req))
        except StatementError as exc:
            await rollback(conn)
            raise await _classify_rejection(conn, exc, primary) from exc
        except UpstreamError as exc:
            raise AttemptLostError(str(exc)) from exc

    def _control_limit_s(self, req: Request) -> float:
        return control_limit_s(req.deadline, timers=self._timers)

    def _answer_limit_s(self, req: Request) -> float:
        left = req.deadline - self._timers.now()
        return max(left * ANSWER_SHARE, min(left, MIN_ANSWER_LIMIT_S))

    async def _confirm_rejection(
        self, group: Group, req: Request, exc: RejectedError, *, instance: str
    ) -> None:
        """Makes sure that the instance rejected the statement by lasting data."""
        try:
            await self._resolver.acknowledge(
                group, exc.position, instance=instance, deadline=req.deadline
            )
        except NotAcknowledgedError as lost:
            raise AttemptLostError(str(lost)) from exc


async def _classify_rejection(
    conn: PooledConnection, exc: StatementError, primary: InstanceStatus
) -> RejectedError | AttemptLostError:
    """Tells a rejection by the primary from one by an instance that is none."""
    if exc.code == ServerError.READ_ONLY:
        return AttemptLostError(str(exc))
    try:
        status = await fetch_status(conn, timeout_s=CONTROL_TIMEOUT_S)
    except (UpstreamError, GroupError) as lost:
        return AttemptLostError(str(lost))
    if not status.leads() or status.adopted_term != primary.adopted_term:
        return AttemptLostError(f"{conn.name} is no longer the primary")
    return RejectedError(exc, position=status.position)


def _rejection(exc: StatementError) -> StatementRejectedError:
    return StatementRejectedError(
        code=exc.code, sqlstate=exc.sqlstate, message=exc.message
    )
