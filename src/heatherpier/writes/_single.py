"""Runs single writes at most once and waits until a majority holds them."""

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
from heatherpier.writes._kinds import Standalone, Unsupported, classify_write
from heatherpier.writes._primary import RETRY_AFTER_MS
from heatherpier.writes._records import (
    ROWS_NOT_KEPT,
    RecordState,
    RequestRecord,
    fingerprint_of,
)
from heatherpier.writes._resolver import NextAttempt, Ran, Resolver
from heatherpier.writes._runner import AttemptRunner
from heatherpier.writes._standalone import StandaloneWriter

log = get_logger("writes")


class SingleWriter:
    """Runs writes outside transactions.

    Args:
        timers: Timer service.
        keys: Generates and validates idempotency keys.
        resolver: Looks up records and refuses attempts.
        rng: Random source for retry delays.
        admission: Limits the concurrent statements on each instance.
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
            RefusedError: The statement is not supported, or its key is not valid.
            OverloadedError: The instance has no capacity by the deadline; this
                request was not run.
            NotRunError: The write has no effect and never will.
            OutcomeUnknownError: The write may have taken effect.
        """
        match classify_write(req.sql):
            case Unsupported(reason=reason):
                raise RefusedError(reason)
            case Standalone():
                return await self._standalone.execute(group, req)
        record = RequestRecord(
            key=self._keys.key_of(req),
            attempt=1,
            fingerprint=fingerprint_of(req.group, [req.sql]),
            state=RecordState.RUN,
        )
        return await self._run_at_most_once(group, req, record)

    async def _run_at_most_once(
        self, group: Group, req: Request, record: RequestRecord
    ) -> Answer:
        """Repeats the attempt under the same number until its outcome is known.

        A repeat needs no refusal of the previous run: both insert the same record, so
        one log holds only one of them. If the COMMIT of the previous run is still on
        its way, the repeat waits for the lock on the record, then either fails on
        the record or finds that run rolled back.
        """
        # Whether an attempt of the key may have run or may still run. An earlier
        # request with a caller's key may have sent a COMMIT through any proxy.
        may_have_run = req.key is not None
        # Whether this request has sent a COMMIT whose effect is unknown.
        commit_unknown = False
        attempts = 0
        while True:
            attempts += 1
            try:
                return await self._runner.run(group, req, record)
            except StatementRejectedError as exc:
                # A caller's key is claimed before its statement runs. The claim
                # succeeded, so no other run of the attempt has a record in this log,
                # and a majority holds this log up to the rejection. A generated key is
                # claimed only after the statement, so the rejection does not exclude
                # that an earlier COMMIT of this request takes effect.
                never_ran = not may_have_run or req.key is not None
                return await self._finish(
                    group, req, record, exc, may_have_run=not never_ran
                )
            except OverloadedError as exc:
                # The attempt is not refused here, since that would be another write
                # on an overloaded instance. "Overloaded" says only that this request
                # was not run, so it is no answer if its own COMMIT may take effect.
                if commit_unknown:
                    raise _outcome_unknown(record, exc.reason) from exc
                raise
            except FinalError as exc:
                return await self._finish(
                    group, req, record, exc, may_have_run=may_have_run
                )
            except AttemptLostError as exc:
                reason: WriteError = exc
            except MissingTableError as exc:
                reason = exc
                await self._create_table(group, req)
            except (RecordExistsError, CommitUnknownError) as exc:
                reason = exc
                commit_unknown = commit_unknown or isinstance(exc, CommitUnknownError)
                may_have_run = may_have_run or commit_unknown
                found = await self._look_up(group, req, record)
                if isinstance(found, Ran):
                    return _answer(found)
                # Another request has refused the attempt, and its caller may have
                # been told that the write was not run. This request has started the
                # attempt before, so it must not take a new number. A request whose
                # first claim meets the refusal takes the next number, as a later
                # request would.
                attempted_before = attempts > 1 or isinstance(exc, CommitUnknownError)
                if attempted_before and found.attempt > record.attempt:
                    final = _not_run(
                        "another request with this key refused the attempt"
                    )
                    return await self._finish(
                        group, req, record, final, may_have_run=True
                    )
                record = record.with_attempt(found.attempt)
            log.info("write interrupted", key=record.key, reason=str(reason))
            delay_s = self._backoff.delay_s(attempts)
            if req.deadline - self._timers.now() <= REFUSAL_RESERVE_S + delay_s:
                final = _not_run(str(reason))
                return await self._finish(
                    group, req, record, final, may_have_run=may_have_run
                )
            await self._timers.sleep(delay_s)

    async def _look_up(
        self, group: Group, req: Request, record: RequestRecord
    ) -> Ran | NextAttempt:
        try:
            return await self._resolver.look_up(group, record, deadline=req.deadline)
        except UnresolvedError as exc:
            raise _outcome_unknown(record, str(exc)) from exc

    async def _create_table(self, group: Group, req: Request) -> None:
        try:
            await self._resolver.create_table(group, deadline=req.deadline)
        except UnresolvedError as exc:
            log.warning("creation of the request record table failed", reason=str(exc))

    async def _finish(
        self,
        group: Group,
        req: Request,
        record: RequestRecord,
        final: FinalError,
        *,
        may_have_run: bool,
    ) -> Answer:
        """Raises the final answer, or returns the outcome if the key has run.

        If an attempt may have run, the answer is raised only once a majority holds
        the refusal of the attempt. Without a primary no refusal can be stored.

        Raises:
            FinalError: ``final``, or the key was used for another statement.
            OutcomeUnknownError: The attempt could not be refused by the deadline.
        """
        if not may_have_run:
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
    """Returns the stored outcome of the attempt that ran.

    Raises:
        AlreadyRunError: The attempt returned rows, which are not stored.
    """
    if found.record.affected_rows == ROWS_NOT_KEPT:
        raise AlreadyRunError(
            f"key {found.record.key!r} has run; its rows are not stored"
        )
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
