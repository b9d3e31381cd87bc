"""Tracks the open transaction of one caller and its implicit commits."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from heatherpier.groups import Group
from heatherpier.requests import (
    Answer,
    FinalError,
    NotRunError,
    ReadOnlyError,
    RefusedError,
    Request,
)
from heatherpier.writes._begin import TransactionOpener
from heatherpier.writes._commit import Committer
from heatherpier.writes._kinds import Standalone, Unsupported, classify_write
from heatherpier.writes._records import RequestRecord
from heatherpier.writes._single import SingleWriter
from heatherpier.writes._transaction import Transaction


@dataclass(frozen=True, slots=True, kw_only=True)
class _OpenTransaction:
    """A transaction with the record that its commit will insert.

    Attributes:
        transaction: The transaction.
        record: Record of its attempt, without the final fingerprint.
        has_caller_key: Whether the caller gave the key with BEGIN; otherwise the
            proxy generated it.
    """

    transaction: Transaction
    record: RequestRecord
    has_caller_key: bool


class CallerTransactions:
    """Opens and ends the transactions of one caller.

    Args:
        opener: Opens transactions.
        committer: Commits transactions.
        writer: Runs DDL and other statements that commit implicitly.
        on_commit: Called with the answer and group of each commit, implicit ones too.
        idle_limit_s: Maximum time in seconds between two statements.

    Attributes:
        autocommit: Whether a statement outside a transaction is committed at once;
            otherwise it opens a transaction.
    """

    def __init__(
        self,
        *,
        opener: TransactionOpener,
        committer: Committer,
        writer: SingleWriter,
        on_commit: Callable[[Answer, Group], object],
        idle_limit_s: float,
    ) -> None:
        self._opener = opener
        self._committer = committer
        self._writer = writer
        self._on_commit = on_commit
        self._idle_limit_s = idle_limit_s
        self._open: _OpenTransaction | None = None
        self.autocommit = True

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open and not lost."""
        return self._open is not None and self._open.transaction.lost_reason is None

    @property
    def takes_statements(self) -> bool:
        """Whether the next statement runs in a transaction, open or opened by it."""
        return self._open is not None or not self.autocommit

    async def begin(self, group: Group, req: Request, *, read_only: bool) -> None:
        """Opens a transaction; commits an open one first, as MySQL does.

        Raises:
            FinalError: The transaction could not be opened, or the previous one could
                not be committed.
        """
        await self._commit_implicitly(req)
        record = await self._committer.prepare(group, req)
        has_caller_key = req.key is not None
        try:
            transaction = await self._opener.open(
                group, req, read_only=read_only, idle_limit_s=self._idle_limit_s
            )
        except (NotRunError, ReadOnlyError) as exc:
            if not has_caller_key:
                raise
            raise await self._committer.answer_not_run(group, record, req, exc) from exc
        self._open = _OpenTransaction(
            transaction=transaction, record=record, has_caller_key=has_caller_key
        )

    async def execute(self, group: Group, req: Request, *, changes: bool) -> Answer:
        """Runs one statement inside the transaction, opening one if none is open.

        Args:
            group: Group of the statement.
            req: The statement.
            changes: Whether the statement may change data.

        Raises:
            FinalError: The statement failed, or the transaction is lost.
        """
        kind = classify_write(req.sql) if changes else None
        if isinstance(kind, Unsupported):
            raise RefusedError(kind.reason)
        if isinstance(kind, Standalone):
            # MySQL also commits the open transaction before DDL.
            await self._commit_implicitly(req)
            return await self._writer.execute(group, replace(req, key=None))
        if self._open is None:
            await self.begin(group, req, read_only=False)
        return await self._run(req, changes=changes)

    async def execute_savepoint(self, req: Request) -> Answer:
        """Sets, drops or returns to a savepoint.

        Raises:
            FinalError: The statement failed, no transaction is open, or it is lost.
        """
        return await self._run(req, changes=True)

    async def _run(self, req: Request, *, changes: bool) -> Answer:
        opened = self._require_open(req)
        try:
            return await opened.transaction.execute(req, changes=changes)
        except NotRunError as exc:
            raise await self._final_error(opened, req, exc) from exc

    async def _final_error(
        self, opened: _OpenTransaction, req: Request, exc: NotRunError
    ) -> FinalError:
        """Returns the answer to all further statements of a lost transaction.

        Under a caller's key, an earlier request may have run, so the attempt is
        refused first. The result is kept, so later statements get the same answer.
        """
        transaction = opened.transaction
        if not opened.has_caller_key or transaction.final_error is not None:
            return exc
        transaction.final_error = await self._committer.answer_not_run(
            transaction.group, opened.record, req, exc
        )
        return transaction.final_error

    def _require_open(self, req: Request) -> _OpenTransaction:
        if self._open is None:
            raise RefusedError("no transaction is open")
        if req.key not in (None, self._open.record.key):
            raise RefusedError(f"key {req.key!r} must come with BEGIN or COMMIT")
        return self._open

    async def commit(self, req: Request) -> None:
        """Commits the open transaction, if any.

        Raises:
            FinalError: The transaction was not committed, or its outcome is unknown.
                It is no longer open in either case.
        """
        if self._open is None:
            return
        ended, self._open = self._open, None
        transaction, record = ended.transaction, ended.record
        key = req.key or (record.key if ended.has_caller_key else None)
        try:
            answer = await self._committer.commit(
                transaction, record, replace(req, key=key)
            )
        except NotRunError as exc:
            if transaction.lost_reason is None:
                raise
            raise await self._final_error(ended, req, exc) from exc
        self._on_commit(answer, transaction.group)

    async def rollback(self) -> None:
        """Rolls back the open transaction, if any."""
        if self._open is None:
            return
        ended, self._open = self._open, None
        await ended.transaction.rollback()

    async def set_autocommit(self, on: bool, req: Request) -> None:
        """Sets autocommit; a change from off to on commits, as in MySQL.

        Raises:
            FinalError: The open transaction was not committed.
        """
        turned_on = on and not self.autocommit
        self.autocommit = on
        if turned_on:
            await self._commit_implicitly(req)

    async def _commit_implicitly(self, req: Request) -> None:
        # The key in ``req`` belongs to the statement that causes the commit, not to
        # the transaction.
        await self.commit(replace(req, key=None))
