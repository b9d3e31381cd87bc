"""Commits callers' transactions at most once."""

from heatherpier.groups import Group, GroupError
from heatherpier.requests import (
    AlreadyRunError,
    Answer,
    FinalError,
    NotRunError,
    OutcomeUnknownError,
    ReadOnlyError,
    RefusedError,
    Request,
)
from heatherpier.timers import Timers
from heatherpier.upstreams import Result, UpstreamError
from heatherpier.writes._attempt import (
    CONTROL_TIMEOUT_S,
    Committed,
    claim_attempt,
    commit,
)
from heatherpier.writes._errors import (
    AttemptLostError,
    CommitUnknownError,
    MissingTableError,
    RecordExistsError,
    UnresolvedError,
)
from heatherpier.writes._keys import KeyGenerator
from heatherpier.writes._primary import RETRY_AFTER_MS
from heatherpier.writes._records import (
    UNKNOWN_FINGERPRINT,
    RecordState,
    RequestRecord,
    find_record,
    fingerprint_of,
)
from heatherpier.writes._resolver import NextAttempt, Ran, Resolver
from heatherpier.writes._transaction import Transaction


class Committer:
    """Assigns a key to each transaction and commits it with its record.

    Args:
        timers: Timer service.
        keys: Generates and validates idempotency keys.
        resolver: Looks up records and refuses attempts.
    """

    def __init__(
        self, *, timers: Timers, keys: KeyGenerator, resolver: Resolver
    ) -> None:
        self._timers = timers
        self._keys = keys
        self._resolver = resolver
        self._groups_with_table: set[str] = set()

    async def prepare(self, group: Group, req: Request) -> RequestRecord:
        """Returns the record that the transaction's commit will insert.

        Raises:
            RefusedError: The caller's key is malformed, too old, or too far in the
                future.
            AlreadyRunError: A transaction with the caller's key has committed.
            NotRunError: The caller gave no key, and the table of request records
                could not be created by the deadline.
            OutcomeUnknownError: It could not be determined by the deadline whether
                the caller's key has run.
        """
        record = self._new_record(req)
        try:
            await self._create_table(group, req)
        except UnresolvedError as exc:
            if req.key is not None:
                raise _outcome_unknown(record, exc) from exc
            raise _not_run(exc) from exc
        if req.key is None:
            return record
        match await self._look_up(group, record, req):
            case NextAttempt(attempt=attempt):
                return record.with_attempt(attempt)
            case Ran():
                raise AlreadyRunError(f"a transaction with key {req.key!r} committed")

    def _new_record(self, req: Request) -> RequestRecord:
        return RequestRecord(
            key=self._keys.key_of(req),
            attempt=1,
            fingerprint=UNKNOWN_FINGERPRINT,
            state=RecordState.RUN,
        )

    async def _look_up(
        self, group: Group, record: RequestRecord, req: Request
    ) -> Ran | NextAttempt:
        try:
            return await self._resolver.look_up(group, record, deadline=req.deadline)
        except UnresolvedError as exc:
            raise _outcome_unknown(record, exc) from exc

    async def _create_table(self, group: Group, req: Request) -> None:
        name = group.spec.name
        if name in self._groups_with_table:
            return
        await self._resolver.create_table(group, deadline=req.deadline)
        self._groups_with_table.add(name)

    async def answer_not_run(
        self, group: Group, record: RequestRecord, req: Request, final: FinalError
    ) -> FinalError:
        """Returns the answer for a transaction with a caller's key that did not run.

        An earlier request with the key may have run, or its COMMIT may still arrive.
        The caller gets ``final`` only once a majority holds the refusal of the
        attempt. Without a primary no refusal can be stored, so the outcome is
        unknown.

        Args:
            group: Group of the transaction.
            record: Record of its attempt.
            req: Statement that is answered.
            final: Answer that holds if no attempt of the key runs.
        """
        if isinstance(final, ReadOnlyError):
            return _outcome_unknown(record, final)
        try:
            found = await self._resolver.refuse(group, record, deadline=req.deadline)
        except UnresolvedError as exc:
            return _outcome_unknown(record, exc)
        except RefusedError as exc:
            return exc
        if isinstance(found, Ran):
            return AlreadyRunError(f"a transaction with key {record.key!r} committed")
        return final

    async def commit(
        self, transaction: Transaction, record: RequestRecord, req: Request
    ) -> Answer:
        """Commits a transaction and waits until a majority holds it.

        Raises:
            NotRunError: The transaction never takes effect.
            OutcomeUnknownError: The transaction may have taken effect.
            RefusedError: The key was used for another transaction.
            AlreadyRunError: A transaction with the caller's key has committed.
        """
        transaction.require_open()
        transaction.stop_idle_limit()
        if req.key not in (None, record.key):
            record = await self._record_for_commit_key(transaction, req)
        fingerprint = fingerprint_of(
            transaction.group.spec.name, transaction.statements
        )
        record = record.with_fingerprint(fingerprint)
        try:
            if not transaction.statements:
                return await self._commit_reads(transaction, req)
            return await self._commit_writes(transaction, record, req)
        except NotRunError as exc:
            if req.key is None:
                raise
            await transaction.release()
            raise await self.answer_not_run(
                transaction.group, record, req, exc
            ) from exc
        finally:
            await transaction.release()

    async def _record_for_commit_key(
        self, transaction: Transaction, req: Request
    ) -> RequestRecord:
        """Returns the record for a key that came with COMMIT.

        The number of the attempt is read on the transaction's own connection, since
        the pool may have no free one. If the key has run, the claim of attempt 1
        fails, and a commit of writes is answered from the existing record.
        """
        record = self._new_record(req)
        try:
            known = await find_record(
                transaction.conn, record.key, timeout_s=CONTROL_TIMEOUT_S
            )
        except (UpstreamError, GroupError) as exc:
            await transaction.release()
            raise _outcome_unknown(record, exc) from exc
        if known is None or known.state is RecordState.RUN:
            return record
        return record.with_attempt(known.attempt + 1)

    async def _commit_reads(self, transaction: Transaction, req: Request) -> Answer:
        conn = transaction.conn
        try:
            position = await transaction.confirm_reads(deadline=req.deadline)
            await conn.execute("COMMIT", timeout_s=CONTROL_TIMEOUT_S)
        except (UpstreamError, GroupError) as exc:
            # The transaction changed nothing, so "not run" is true even if the COMMIT
            # took effect.
            raise _not_run(exc) from exc
        conn.in_transaction = False
        return Answer(
            result=Result(), position=position, instance=conn.name, replica=False
        )

    async def _commit_writes(
        self, transaction: Transaction, record: RequestRecord, req: Request
    ) -> Answer:
        group, conn = transaction.group, transaction.conn
        try:
            remaining_s = req.deadline - self._timers.now() - transaction.reserve_s
            await claim_attempt(
                conn, record, timers=self._timers, timeout_s=remaining_s
            )
            committed = await commit(
                conn, Result(), timers=self._timers, deadline=req.deadline
            )
            await transaction.release()
            return await self._acknowledge(group, committed, conn.name, req)
        except (AttemptLostError, MissingTableError) as exc:
            await transaction.release()
            self._groups_with_table.discard(group.spec.name)
            group.suspect(conn.name)
            raise _not_run(exc) from exc
        except RecordExistsError as exc:
            await transaction.release()
            return await self._answer_duplicate(group, record, req, exc)
        except (CommitUnknownError, GroupError) as exc:
            group.suspect(conn.name)
            await transaction.release()
            return await self._resolve_commit(group, record, req, exc)

    async def _acknowledge(
        self, group: Group, committed: Committed, instance: str, req: Request
    ) -> Answer:
        await self._resolver.acknowledge(
            group, committed.position, instance=instance, deadline=req.deadline
        )
        return Answer(
            result=committed.result,
            position=committed.position,
            instance=instance,
            replica=False,
        )

    async def _answer_duplicate(
        self,
        group: Group,
        record: RequestRecord,
        req: Request,
        reason: RecordExistsError,
    ) -> Answer:
        """Answers a commit that was rolled back because its claim failed.

        The attempt has a record, as another request has run or refused it, or an
        earlier attempt has no refusal.
        """
        found = await self._look_up(group, record, req)
        if isinstance(found, Ran):
            return _answer(found)
        raise _not_run(reason)

    async def _resolve_commit(
        self, group: Group, record: RequestRecord, req: Request, reason: Exception
    ) -> Answer:
        """Answers a commit that may have taken effect, or may still arrive.

        The attempt is refused, unless its record is found. A transaction can't be
        run again by the proxy, so there is no retry.
        """
        try:
            found = await self._resolver.refuse(group, record, deadline=req.deadline)
        except UnresolvedError as exc:
            raise _outcome_unknown(record, exc) from exc
        if isinstance(found, Ran):
            return _answer(found)
        raise _not_run(reason)


def _answer(found: Ran) -> Answer:
    return Answer(
        result=Result(),
        position=found.position,
        instance=found.instance,
        replica=False,
    )


def _not_run(exc: Exception) -> NotRunError:
    return NotRunError(
        f"the transaction was rolled back: {exc}", retry_after_ms=RETRY_AFTER_MS
    )


def _outcome_unknown(record: RequestRecord, exc: Exception) -> OutcomeUnknownError:
    return OutcomeUnknownError(str(exc), key=record.key, retry_after_ms=RETRY_AFTER_MS)
