"""Commits a caller's transaction at most once."""

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
from heatherpier.writes._resolver import Free, Ran, Resolver
from heatherpier.writes._transaction import Transaction


class Committer:
    """Keys transactions and commits them.

    Args:
        timers: Timer service.
        keys: Makes and checks idempotency keys.
        resolver: Looks records up and refuses attempts.
    """

    def __init__(
        self, *, timers: Timers, keys: KeyGenerator, resolver: Resolver
    ) -> None:
        self._timers = timers
        self._keys = keys
        self._resolver = resolver
        self._prepared: set[str] = set()

    async def prepare(self, group: Group, req: Request) -> RequestRecord:
        """Returns the record that the transaction's commit will insert.

        Raises:
            RefusedError: The caller's key has a wrong form or is too old.
            AlreadyRunError: A transaction with the caller's key has committed.
            NotRunError: The table of records can't be made by the deadline.
            OutcomeUnknownError: Whether the key has run can't be told by then.
        """
        record = self._record(req)
        try:
            await self._create_table(group, req)
        except UnresolvedError as exc:
            if req.key is not None:
                raise _outcome_unknown(record, exc) from exc
            raise _not_run(exc) from exc
        if req.key is None:
            return record
        match await self._look_up(group, record, req):
            case Free(attempt=attempt):
                return record.numbered(attempt)
            case Ran():
                raise AlreadyRunError(f"a transaction with key {req.key!r} committed")

    def _record(self, req: Request) -> RequestRecord:
        return RequestRecord(
            key=self._keys.key_of(req),
            attempt=1,
            fingerprint=UNKNOWN_FINGERPRINT,
            state=RecordState.RUN,
        )

    async def _look_up(
        self, group: Group, record: RequestRecord, req: Request
    ) -> Ran | Free:
        try:
            return await self._resolver.look_up(group, record, deadline=req.deadline)
        except UnresolvedError as exc:
            raise _outcome_unknown(record, exc) from exc

    async def _create_table(self, group: Group, req: Request) -> None:
        name = group.spec.name
        if name in self._prepared:
            return
        await self._resolver.create_table(group, deadline=req.deadline)
        self._prepared.add(name)

    async def deny(
        self, group: Group, record: RequestRecord, req: Request, final: FinalError
    ) -> FinalError:
        """Returns the answer to a caller whose keyed transaction did not run.

        An earlier try of the key may have run, or its COMMIT may still arrive, so
        the attempt is refused before the caller is told.

        Args:
            group: Group of the transaction.
            record: Record of its attempt.
            req: The statement that is answered.
            final: What this try alone would be answered.
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
        """Commits a transaction and waits for a majority.

        Raises:
            NotRunError: The transaction never takes effect.
            OutcomeUnknownError: It may have taken effect.
            RefusedError: Its key was used for another transaction.
        """
        transaction.require_open()
        transaction.stop_watch()
        if req.key not in (None, record.key):
            record = await self._rekey(transaction, req)
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
            raise await self.deny(transaction.group, record, req, exc) from exc
        finally:
            await transaction.release()

    async def _rekey(self, transaction: Transaction, req: Request) -> RequestRecord:
        """Returns the record of a key that came with COMMIT.

        The transaction's own connection tells the number of the attempt, as the
        pool may have no other.
        """
        record = self._record(req)
        try:
            known = await find_record(
                transaction.conn, record.key, timeout_s=CONTROL_TIMEOUT_S
            )
        except (UpstreamError, GroupError) as exc:
            await transaction.release()
            raise _outcome_unknown(record, exc) from exc
        if known is None or known.state is RecordState.RUN:
            return record
        return record.numbered(known.attempt + 1)

    async def _commit_reads(self, transaction: Transaction, req: Request) -> Answer:
        conn = transaction.conn
        try:
            position = await transaction.confirm(deadline=req.deadline)
            await conn.execute("COMMIT", timeout_s=CONTROL_TIMEOUT_S)
        except (UpstreamError, GroupError) as exc:
            # It changed nothing, so this holds even if the COMMIT took effect.
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
            left = req.deadline - self._timers.now() - transaction.reserve_s
            await claim_attempt(conn, record, timers=self._timers, timeout_s=left)
            committed = await commit(
                conn, Result(), timers=self._timers, deadline=req.deadline
            )
            await transaction.release()
            return await self._acknowledge(group, committed, conn.name, req)
        except (AttemptLostError, MissingTableError) as exc:
            await transaction.release()
            self._prepared.discard(group.spec.name)
            group.suspect(conn.name)
            raise _not_run(exc) from exc
        except RecordExistsError as exc:
            await transaction.release()
            return await self._repeat(group, record, req, exc)
        except (CommitUnknownError, GroupError) as exc:
            group.suspect(conn.name)
            await transaction.release()
            return await self._settle(group, record, req, exc)

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

    async def _repeat(
        self,
        group: Group,
        record: RequestRecord,
        req: Request,
        reason: RecordExistsError,
    ) -> Answer:
        """Answers a commit that was rolled back because its key is taken."""
        found = await self._look_up(group, record, req)
        if isinstance(found, Ran):
            return _answer(found)
        raise _not_run(reason)

    async def _settle(
        self, group: Group, record: RequestRecord, req: Request, reason: Exception
    ) -> Answer:
        """Answers a commit that may have taken effect."""
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
