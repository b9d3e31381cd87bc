"""The transactions of one caller: which is open, and what ends it."""

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
from heatherpier.writes._kinds import Standalone, Uncarried, kind_of
from heatherpier.writes._records import RequestRecord
from heatherpier.writes._single import SingleWriter
from heatherpier.writes._transaction import Transaction


@dataclass(frozen=True, slots=True, kw_only=True)
class _Open:
    """A transaction with the record that its commit will insert.

    Attributes:
        transaction: The transaction.
        record: The record.
        keyed: Whether its key is the caller's.
    """

    transaction: Transaction
    record: RequestRecord
    keyed: bool


class CallerTransactions:
    """Opens and ends the transactions of one caller.

    Args:
        opener: Opens transactions.
        committer: Commits them.
        writer: Runs statements that commit by themselves.
        on_commit: Takes in the answer of every commit, implicit ones too.
        idle_limit_s: Longest time in seconds between two statements.

    Attributes:
        autocommit: Whether a statement outside a transaction commits by itself.
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
        self._open: _Open | None = None
        self.autocommit = True

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open and can go on."""
        return self._open is not None and self._open.transaction.lost is None

    @property
    def takes_statements(self) -> bool:
        """Whether the next statement belongs to a transaction."""
        return self._open is not None or not self.autocommit

    async def begin(self, group: Group, req: Request, *, read_only: bool) -> None:
        """Opens a transaction; one that is open commits first, as in MySQL.

        Raises:
            FinalError: It could not be opened, or the open one not be committed.
        """
        await self._commit_implicitly(req)
        record = await self._committer.prepare(group, req)
        keyed = req.key is not None
        try:
            transaction = await self._opener.open(
                group, req, read_only=read_only, idle_limit_s=self._idle_limit_s
            )
        except (NotRunError, ReadOnlyError) as exc:
            if not keyed:
                raise
            raise await self._committer.deny(group, record, req, exc) from exc
        self._open = _Open(transaction=transaction, record=record, keyed=keyed)

    async def execute(self, group: Group, req: Request, *, changes: bool) -> Answer:
        """Runs one statement inside the transaction, opening one if none is open.

        Args:
            group: Group of the statement.
            req: The statement.
            changes: Whether it may change something.

        Raises:
            FinalError: The final answer is not a result.
        """
        kind = kind_of(req.sql) if changes else None
        if isinstance(kind, Uncarried):
            raise RefusedError(kind.reason)
        if isinstance(kind, Standalone):
            # MySQL commits the open transaction before DDL, too.
            await self._commit_implicitly(req)
            return await self._writer.execute(group, replace(req, key=None))
        if self._open is None:
            await self.begin(group, req, read_only=False)
        return await self._run(req, changes=changes)

    async def mark(self, req: Request) -> Answer:
        """Sets, drops or returns to a savepoint.

        Raises:
            FinalError: The final answer is not a result.
        """
        return await self._run(req, changes=True)

    async def _run(self, req: Request, *, changes: bool) -> Answer:
        opened = self._require_open(req)
        try:
            return await opened.transaction.execute(req, changes=changes)
        except NotRunError as exc:
            raise await self._final(opened, req, exc) from exc

    async def _final(self, opened: _Open, req: Request, exc: NotRunError) -> FinalError:
        """Returns what a lost transaction is answered with from now on."""
        transaction = opened.transaction
        if not opened.keyed or transaction.final is not None:
            return exc
        transaction.final = await self._committer.deny(
            transaction.group, opened.record, req, exc
        )
        return transaction.final

    def _require_open(self, req: Request) -> _Open:
        if self._open is None:
            raise RefusedError("no transaction is open")
        if req.key not in (None, self._open.record.key):
            raise RefusedError(f"key {req.key!r} must come with BEGIN or COMMIT")
        return self._open

    async def commit(self, req: Request) -> None:
        """Commits the open transaction, if any.

        Raises:
            FinalError: It was not committed, or its outcome is unknown. It has
                ended all the same.
        """
        if self._open is None:
            return
        ended, self._open = self._open, None
        transaction, record = ended.transaction, ended.record
        key = req.key or (record.key if ended.keyed else None)
        try:
            answer = await self._committer.commit(
                transaction, record, replace(req, key=key)
            )
        except NotRunError as exc:
            if transaction.lost is None:
                raise
            raise await self._final(ended, req, exc) from exc
        self._on_commit(answer, transaction.group)

    async def rollback(self) -> None:
        """Ends the open transaction, if any, without effect."""
        if self._open is None:
            return
        ended, self._open = self._open, None
        await ended.transaction.rollback()

    async def set_autocommit(self, on: bool, req: Request) -> None:
        """Turns autocommit on or off; turning it on commits, as in MySQL.

        Raises:
            FinalError: The open transaction was not committed.
        """
        turned_on = on and not self.autocommit
        self.autocommit = on
        if turned_on:
            await self._commit_implicitly(req)

    async def _commit_implicitly(self, req: Request) -> None:
        # The key of the statement that causes the commit is not the transaction's.
        await self.commit(replace(req, key=None))
