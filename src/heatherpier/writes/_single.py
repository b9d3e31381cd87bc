"""Runs single writes at most once and waits for a majority."""

from random import Random

from heatherpier.groups import Group
from heatherpier.limits import Admission, Backoff
from heatherpier.requests import (
    AlreadyRunError,
    Answer,
    FinalError,
    NotRunError,
    OutcomeUnknownError,
    OverloadedError,
    ReadOnlyError,
    RefusedError,
    Request,
    StatementRejectedError,
)
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers
from heatherpier.writes._attempt import REFUSAL_RESERVE_S
from heatherpier.writes._errors import (
    AttemptLostError,
    CommitUnknownError,
    MissingTableError,
    RecordExistsError,
    UnresolvedError,
    WriteError,
)
from heatherpier.writes._keys import KeyGenerator
from heatherpier.writes._kinds import Standalone, Uncarried, kind_of
from heatherpier.writes._primary import RETRY_AFTER_MS
from heatherpier.writes._records import (
    ROWS_NOT_KEPT,
    RecordState,
    RequestRecord,
    fingerprint_of,
)
from heatherpier.writes._resolver import Free, Ran, Resolver
from heatherpier.writes._runner import AttemptRunner
from heatherpier.writes._standalone import StandaloneWriter

log = get_logger("writes")


class SingleWriter:
    """Runs writes outside transactions.

    Args:
        timers: Timer service.
        keys: Makes and checks idempotency keys.
        resolver: Looks records up and refuses attempts.
        rng: Random source for retry delays.
        admission: Gives places on instances.
    """

    def __init__(
        self,
        *,
        timers: Timers,
        keys: KeyGenerator,
        resolver: Resolver,
        rng: Random,
        admission: Admission,
    ) -> None:
        self._timers = timers
        self._keys = keys
        self._backoff = Backoff(rng=rng)
        self._resolver = resolver
        self._runner = AttemptRunner(
            timers=timers, resolver=resolver, admission=admission
        )
        self._standalone = StandaloneWriter(timers=timers)

    async def execute(self, group: Group, req: Request) -> Answer:
        """Runs one write outside a transaction.

        Raises:
            ReadOnlyError: The group has no primary; the write was not run.
            StatementRejectedError: The instance rejected the statement.
            RefusedError: The statement or its key can't be served.
            OverloadedError: Its turn would come too late; it was not run.
            NotRunError: The write has no effect and never will.
            OutcomeUnknownError: The write may have taken effect.
        """
        match kind_of(req.sql):
            case Uncarried(reason=reason):
                raise RefusedError(reason)
            case Standalone():
                return await self._standalone.execute(group, req)
        record = RequestRecord(
            key=self._keys.key_of(req),
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
        # An earlier try of a caller's key may have run, or may still run.
        unknown = req.key is not None
        # Whether this try has sent a COMMIT whose effect is not known.
        unsettled = False
        attempts = 0
        while True:
            attempts += 1
            try:
                return await self._runner.run(group, req, record)
            except StatementRejectedError as exc:
                # A caller's key was claimed before the statement was rejected, so
                # no other try had it.
                settled = not unknown or req.key is not None
                return await self._end(group, req, record, exc, unknown=not settled)
            except OverloadedError as exc:
                # A refusal of the attempt would add work to the overload.
                if unsettled:
                    raise _outcome_unknown(record, exc.reason) from exc
                raise
            except FinalError as exc:
                return await self._end(group, req, record, exc, unknown=unknown)
            except AttemptLostError as exc:
                reason: WriteError = exc
            except MissingTableError as exc:
                reason = exc
                await self._create_table(group, req)
            except (RecordExistsError, CommitUnknownError) as exc:
                reason = exc
                unsettled = unsettled or isinstance(exc, CommitUnknownError)
                unknown = unknown or unsettled
                found = await self._look_up(group, req, record)
                if isinstance(found, Ran):
                    return _answer(found)
                began = attempts > 1 or isinstance(exc, CommitUnknownError)
                if began and found.attempt > record.attempt:
                    final = _not_run("another try of the key refused this one")
                    return await self._end(group, req, record, final, unknown=True)
                record = record.numbered(found.attempt)
            log.info("write interrupted", key=record.key, reason=str(reason))
            delay_s = self._backoff.delay_s(attempts)
            if req.deadline - self._timers.now() <= REFUSAL_RESERVE_S + delay_s:
                final = _not_run(str(reason))
                return await self._end(group, req, record, final, unknown=unknown)
            await self._timers.sleep(delay_s)

    async def _look_up(
        self, group: Group, req: Request, record: RequestRecord
    ) -> Ran | Free:
        try:
            return await self._resolver.look_up(group, record, deadline=req.deadline)
        except UnresolvedError as exc:
            raise _outcome_unknown(record, str(exc)) from exc

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
        if isinstance(final, ReadOnlyError):
            raise _outcome_unknown(record, final.reason) from final
        try:
            found = await self._resolver.refuse(group, record, deadline=req.deadline)
        except UnresolvedError as exc:
            raise _outcome_unknown(record, str(exc)) from exc
        if isinstance(found, Ran):
            return _answer(found)
        raise final


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


def _not_run(reason: str) -> NotRunError:
    return NotRunError(reason, retry_after_ms=RETRY_AFTER_MS)


def _outcome_unknown(record: RequestRecord, reason: str) -> OutcomeUnknownError:
    return OutcomeUnknownError(reason, key=record.key, retry_after_ms=RETRY_AFTER_MS)
