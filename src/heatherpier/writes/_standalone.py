"""Runs statements that commit implicitly, such as DDL."""

from heatherpier.groups import (
    Group,
    GroupError,
    InstanceStatus,
    fetch_last_commit,
)
from heatherpier.requests import (
    Answer,
    NotRunError,
    OutcomeUnknownError,
    RefusedError,
    Request,
    StatementRejectedError,
)
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    ConnectError,
    PooledConnection,
    Result,
    StatementError,
    UpstreamError,
)
from heatherpier.writes._attempt import CONTROL_TIMEOUT_S, Committed, ServerError
from heatherpier.writes._primary import RETRY_AFTER_MS, find_primary


class StandaloneWriter:
    """Runs each statement once, outside a transaction and without a record.

    MySQL commits DDL implicitly, so no record can share its transaction. Once the
    statement is sent, only its answer shows whether it ran, so it is not retried.

    Args:
        timers: Timer service.
    """

    def __init__(self, *, timers: Timers) -> None:
        self._timers = timers

    async def execute(self, group: Group, req: Request) -> Answer:
        """Runs one statement.

        Raises:
            ReadOnlyError: The group has no primary; the statement was not run.
            RefusedError: The request has a key, which can't be stored with it.
            StatementRejectedError: The instance rejected the statement.
            NotRunError: The statement was not sent, or the instance is read-only.
            OutcomeUnknownError: The statement was sent, and its answer or its
                acknowledgement by a majority did not arrive.
        """
        if req.key is not None:
            raise RefusedError(
                f"key {req.key!r} can't be stored for a statement with implicit commit"
            )
        primary = await find_primary(group, timers=self._timers, deadline=req.deadline)
        committed = await self._run(group, req, primary)
        try:
            await group.acknowledge(
                committed.position, primary=primary.instance, deadline=req.deadline
            )
        except GroupError as exc:
            raise _outcome_unknown(exc) from exc
        return Answer(
            result=committed.result,
            position=committed.position,
            instance=primary.instance,
            replica=False,
        )

    async def _run(
        self, group: Group, req: Request, primary: InstanceStatus
    ) -> Committed:
        remaining_s = req.deadline - self._timers.now()
        try:
            async with group.pools[primary.instance].acquire(
                timeout_s=remaining_s
            ) as conn:
                result = await self._execute(conn, req)
                position = await fetch_last_commit(conn, timeout_s=CONTROL_TIMEOUT_S)
                return Committed(result=result, position=position)
        except ConnectError as exc:
            raise NotRunError(str(exc), retry_after_ms=RETRY_AFTER_MS) from exc
        except (UpstreamError, GroupError) as exc:
            group.suspect(primary.instance)
            raise _outcome_unknown(exc) from exc

    async def _execute(self, conn: PooledConnection, req: Request) -> Result:
        try:
            remaining_s = req.deadline - self._timers.now()
            return await conn.execute(req.sql, timeout_s=remaining_s)
        except StatementError as exc:
            if exc.code == ServerError.READ_ONLY:
                raise NotRunError(str(exc), retry_after_ms=RETRY_AFTER_MS) from exc
            raise StatementRejectedError(
                code=exc.code, sqlstate=exc.sqlstate, message=exc.message
            ) from exc


def _outcome_unknown(exc: Exception) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        f"an implicitly committed statement may have run: {exc}",
        retry_after_ms=RETRY_AFTER_MS,
    )
