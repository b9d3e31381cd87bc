"""Runs single writes at most once and waits for a majority."""

from dataclasses import replace
from random import Random

from heatherpier.groups import (
    Group,
    GroupError,
    InstanceStatus,
    NotAcknowledgedError,
    fetch_status,
)
from heatherpier.requests import (
    AlreadyRunError,
    Answer,
    FinalError,
    NotRunError,
    OutcomeUnknownError,
    RefusedError,
    Request,
    StatementRejectedError,
)
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers
from heatherpier.upstreams import (
    ConnectError,
    PoolBusyError,
    PooledConnection,
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
    rollback,
)
from heatherpier.writes._errors import (
    AttemptLostError,
    CommitUnknownError,
    ContendedError,
    MissingTableError,
    RecordExistsError,
    RejectedError,
    UnresolvedError,
    WriteError,
)
from heatherpier.writes._keys import KeyMaker
from heatherpier.writes._kinds import Savepoint, Standalone, Uncarried, kind_of
from heatherpier.writes._primary import RETRY_AFTER_MS, find_primary
from heatherpier.writes._records import (
    ROWS_NOT_KEPT,
    RecordState,
    RequestRecord,
    fingerprint_of,
    update_outcome,
)
from heatherpier.writes._resolver import Free, Ran, Resolver
from heatherpier.writes._retry import Backoff
from heatherpier.writes._standalone import StandaloneWriter

log = get_logger("writes")

# Time before the deadline that is kept for the refusal of an attempt whose
# outcome is unknown, in seconds.
REFUSAL_RESERVE_S = 0.3
# Share of the time left that one answer may take, so that a connection that
# went silent leaves time for another attempt.
ANSWER_SHARE = 0.5
SHORTEST_ANSWER_LIMIT_S = 0.5


class Writer:
    """Runs writes of callers.

    Args:
        timers: Timer service.
        keys: Makes and checks idempotency keys.
        rng: Random source for retry delays.
    """

    def __init__(self, *, timers: Timers, keys: KeyMaker, rng: Random) -> None:
        self._timers = timers
        self._keys = keys
        self._rng = rng
        self._resolver = Resolver(timers=timers, rng=rng)
        self._standalone = StandaloneWriter(timers=timers)

    async def execute(self, group: Group, req: Request) -> Answer:
        """Runs one write outside a transaction.

        Raises:
            ReadOnlyError: The group has no primary; the write was not run.
            StatementRejectedError: The instance rejected the statement.
            RefusedError: The statement or its key can't be served.
            NotRunError: The write has no effect and never will.
            OutcomeUnknownError: The write may have taken effect.
        """
        match kind_of(req.sql):
            case Uncarried(reason=reason):
                raise RefusedError(reason)
            case Savepoint():
                raise RefusedError("no transaction is open for a savepoint")
            case Standalone():
                return await self._standalone.execute(group, req)
        record = RequestRecord(
            key=self._keys.key_of(req).text,
            attempt=1,
            fingerprint=fingerprint_of(req.group, [req.sql]),
            state=RecordState.RUN,
        )
        return await self._execute_once(group, req, record)

    async def _execute_once(
        self, group: Group, req: Request, record: RequestRecord
    ) -> Answer:
        """Repeats the attempt, under the same number, until its outcome is known.

        Running it again needs no refusal: two runs of one attempt conflict on
        the record's primary key, so the database commits at most one of them.
        """
        backoff = Backoff(self._rng)
        unknown = False
        while True:
            try:
                return await self._attempt(group, req, record)
            except FinalError as exc:
                return await self._end(group, req, record, exc, unknown=unknown)
            except AttemptLostError as exc:
                reason: WriteError = exc
            except MissingTableError as exc:
                reason = exc
                await self._create_table(group, req)
            except (RecordExistsError, CommitUnknownError) as exc:
                reason = exc
                unknown = unknown or isinstance(exc, CommitUnknownError)
                found = await self._look_up(group, req, record)
                if isinstance(found, Ran):
                    return _answer(found)
                record = replace(record, attempt=found.attempt)
            log.info("write interrupted", key=record.key, reason=str(reason))
            delay_s = backoff.next_s()
            if req.deadline - self._timers.now() <= REFUSAL_RESERVE_S + delay_s:
                final = _not_run(reason)
                return await self._end(group, req, record, final, unknown=unknown)
            await self._timers.sleep(delay_s)

    async def _look_up(
        self, group: Group, req: Request, record: RequestRecord
    ) -> Ran | Free:
        try:
            return await self._resolver.look_up(group, record, deadline=req.deadline)
        except UnresolvedError as exc:
            raise _outcome_unknown(record, exc) from exc

    async def _create_table(self, group: Group, req: Request) -> None:
        try:
            await self._resolver.create_table(group, deadline=req.deadline)
        except UnresolvedError as exc:
            log.warning("table of request records is missing", reason=str(exc))

    async def _end(
        self,
        group: Group,
        req: Request,
        record: RequestRecord,
        final: FinalError,
        *,
        unknown: bool,
    ) -> Answer:
        """Raises the final answer once no commit of the key is unsettled."""
        if not unknown:
            raise final
        try:
            found = await self._resolver.refuse(group, record, deadline=req.deadline)
        except UnresolvedError as exc:
            raise _outcome_unknown(record, exc) from exc
        if isinstance(found, Ran):
            return _answer(found)
        raise final

    async def _attempt(
        self, group: Group, req: Request, record: RequestRecord
    ) -> Answer:
        primary = await find_primary(group, timers=self._timers, deadline=req.deadline)
        name = primary.instance
        left = req.deadline - self._timers.now()
        try:
            async with group.pools[name].borrow(timeout_s=left) as conn:
                committed = await self._run(conn, req, record, primary)
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
                group, committed.position, instance=name, deadline=req.deadline
            )
        except NotAcknowledgedError as exc:
            raise CommitUnknownError(str(exc)) from exc
        return Answer(
            result=committed.result,
            position=committed.position,
            instance=name,
            replica=False,
        )

    async def _run(
        self,
        conn: PooledConnection,
        req: Request,
        record: RequestRecord,
        primary: InstanceStatus,
    ) -> Committed:
        await begin(conn)
        limit = self._answer_limit_s(req)
        await claim_attempt(conn, record, timers=self._timers, timeout_s=limit)
        try:
            limit = self._answer_limit_s(req)
            result = await conn.execute(req.sql, timeout_s=limit)
            await update_outcome(conn, record, result, timeout_s=CONTROL_TIMEOUT_S)
        except StatementError as exc:
            await rollback(conn)
            raise await _judge_rejection(conn, exc, primary) from exc
        except UpstreamError as exc:
            raise AttemptLostError(str(exc)) from exc
        return await commit(conn, result)

    def _answer_limit_s(self, req: Request) -> float:
        left = req.deadline - self._timers.now()
        return max(left * ANSWER_SHARE, min(left, SHORTEST_ANSWER_LIMIT_S))

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


async def _judge_rejection(
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


def _answer(found: Ran) -> Answer:
    """Returns the first outcome of a key.

    Raises:
        AlreadyRunError: The first answer had rows, which are not kept.
    """
    if found.record.affected_rows == ROWS_NOT_KEPT:
        raise AlreadyRunError(f"key {found.record.key!r}; its rows are not kept")
    return Answer(
        result=found.record.result(),
        position=found.position,
        instance=found.instance,
        replica=False,
    )


def _rejection(exc: StatementError) -> StatementRejectedError:
    return StatementRejectedError(
        code=exc.code, sqlstate=exc.sqlstate, message=exc.message
    )


def _not_run(reason: Exception) -> NotRunError:
    return NotRunError(str(reason), retry_after_ms=RETRY_AFTER_MS)


def _outcome_unknown(record: RequestRecord, exc: Exception) -> OutcomeUnknownError:
    return OutcomeUnknownError(str(exc), key=record.key, retry_after_ms=RETRY_AFTER_MS)
