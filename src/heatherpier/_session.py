"""Composes the session of a MySQL caller.

Applies hints and session tokens, and passes each statement to the reader, the writer or
the open transaction.
"""

from collections.abc import Collection, Mapping
from dataclasses import replace

from heatherpier.callers import (
    Begin,
    Commit,
    Ignored,
    Read,
    Rollback,
    Savepoint,
    SelectToken,
    SetAutocommit,
    SetHint,
    Statement,
    Unsupported,
    Write,
    classify,
)
from heatherpier.groups import Group
from heatherpier.reads import Reader
from heatherpier.requests import Answer, Priority, RefusedError, Request
from heatherpier.sessions import (
    SessionError,
    SessionHints,
    SessionPositions,
    TokenSigner,
    parse_attributes,
    split_comment,
)
from heatherpier.telemetry import bind_log_fields
from heatherpier.timers import Timers
from heatherpier.upstreams import Column, Result
from heatherpier.writes import Writer

# MySQL type code of the token's column.
VAR_STRING = 253
MS_PER_S = 1000
DEFAULT_TRANSACTION_IDLE_MS = 30_000


class Session:
    """Serves the statements of one caller's connection.

    Args:
        groups: Groups that the caller may use, by database; may change meanwhile.
        reader: Executes reads outside of transactions.
        writer: Executes writes and transactions.
        signer: Verifies and signs session tokens.
        timers: Timer service.
        deadline_ms: Time in milliseconds that a statement may take.
        transaction_idle_ms: Maximum time in milliseconds between two statements of
            a transaction.
        max_age_ms: Maximum age in milliseconds of the data that reads see, or None
            for reads that must see the session's writes.
        user: User name of the caller.
    """

    def __init__(
        self,
        *,
        groups: Mapping[str, Group],
        reader: Reader,
        writer: Writer,
        signer: TokenSigner,
        timers: Timers,
        deadline_ms: int,
        transaction_idle_ms: int = DEFAULT_TRANSACTION_IDLE_MS,
        max_age_ms: int | None = None,
        user: str = "",
    ) -> None:
        self._groups = groups
        self._reader = reader
        self._writer = writer
        self._signer = signer
        self._timers = timers
        self._user = user
        self._defaults = SessionHints(deadline_ms=deadline_ms, max_age_ms=max_age_ms)
        self._hints = SessionHints()
        self._positions = SessionPositions()
        self._transactions = writer.open_caller(
            on_commit=self._record_position, idle_limit_s=transaction_idle_ms / MS_PER_S
        )

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._transactions.in_transaction

    @property
    def autocommit(self) -> bool:
        """Whether a statement outside a transaction commits by itself."""
        return self._transactions.autocommit

    @property
    def databases(self) -> Collection[str]:
        """Names of the databases that the caller may use."""
        return self._groups.keys()

    async def execute(
        self, sql: str, *, database: str | None, hints: Mapping[str, str]
    ) -> Result:
        """Runs one statement.

        Args:
            sql: Text of the statement, which may have a comment with hints.
            database: Current database of the connection, or None.
            hints: Hints of this statement, from its query attributes.

        Raises:
            FinalError: The final answer is not a result.
        """
        try:
            commented = split_comment(sql)
            statement_hints = parse_attributes(hints).overridden(commented.hints)
            return await self._dispatch(
                commented.sql, database=database, statement_hints=statement_hints
            )
        except SessionError as exc:
            raise RefusedError(str(exc)) from exc

    async def _dispatch(
        self, sql: str, *, database: str | None, statement_hints: SessionHints
    ) -> Result:
        statement: Statement = classify(sql)
        match statement:
            case SetHint(name=name, value=value):
                self._set_hint(name, value)
                return Result()
            case Ignored():
                return Result()
            case Unsupported(reason=reason):
                raise RefusedError(reason)
            case SelectToken():
                self._apply_hints(statement_hints)
                return self._token_result()
        hints = self._consume_hints(statement_hints)
        match statement:
            case Begin() | Commit() | Rollback() | SetAutocommit():
                await self._execute_control(
                    sql, statement, database=database, hints=hints
                )
                return Result()
            case Savepoint():
                req = self._transaction_request(sql, self._group(database), hints)
                return (await self._transactions.execute_savepoint(req)).result
            case Read() | Write() if self._transactions.takes_statements:
                group = self._group(database)
                req = self._transaction_request(sql, group, hints)
                changes = isinstance(statement, Write)
                answer = await self._transactions.execute(group, req, changes=changes)
                return self._record_position(answer, group)
            case Read():
                group = self._group(database)
                req = self._read_request(sql, group, hints)
                return self._record_position(
                    await self._reader.execute(group, req), group
                )
            case Write():
                group = self._group(database)
                req = self._request(sql, group.spec.name, hints)
                return self._record_position(
                    await self._writer.execute(group, req), group
                )

    async def _execute_control(
        self,
        sql: str,
        statement: Begin | Commit | Rollback | SetAutocommit,
        *,
        database: str | None,
        hints: SessionHints,
    ) -> None:
        """Begins or ends a transaction, or sets autocommit."""
        match statement:
            case Begin(read_only=read_only):
                group = self._group(database)
                req = self._transaction_request(sql, group, hints)
                await self._transactions.begin(group, req, read_only=read_only)
            case Commit():
                await self._transactions.commit(self._request(sql, "", hints))
            case Rollback():
                await self._transactions.rollback()
            case SetAutocommit(on=on):
                req = self._request(sql, "", hints)
                await self._transactions.set_autocommit(on, req)

    async def close(self) -> None:
        """Ends the session; an open transaction is rolled back."""
        await self._transactions.rollback()

    def _group(self, database: str | None) -> Group:
        group = self._groups.get(database or "")
        if group is None:
            raise RefusedError(f"unknown database {database!r}")
        return group

    def _set_hint(self, name: str, value: str) -> None:
        """Sets a hint of the connection.

        A key applies to the next statement only, and a token takes effect at once.
        """
        hints = self._hints.with_value(name, value)
        self._positions.enter(hints, signer=self._signer)
        self._hints = hints.with_value("token", "NULL")

    def _consume_hints(self, statement_hints: SessionHints) -> SessionHints:
        """Returns the hints of one statement and removes the connection's key."""
        hints = self._apply_hints(statement_hints)
        without_key = self._hints.with_value("key", "NULL")
        self._hints = without_key.with_value("key_made_ms", "NULL")
        return hints

    def _apply_hints(self, statement_hints: SessionHints) -> SessionHints:
        hints = self._defaults.overridden(self._hints).overridden(statement_hints)
        self._positions.enter(hints, signer=self._signer)
        bind_log_fields(session=hints.session or "", trace=hints.trace or "")
        return hints

    def _request(self, sql: str, group: str, hints: SessionHints) -> Request:
        assert hints.deadline_ms is not None
        return Request(
            sql=sql,
            group=group,
            deadline=self._timers.now() + hints.deadline_ms / MS_PER_S,
            key=hints.key,
            key_made_ms=hints.key_made_ms,
            repeatable=bool(hints.repeatable),
            priority=Priority.WRITE if hints.priority is None else hints.priority,
            trace=hints.trace or "",
            user=self._user,
            session=hints.session or "",
        )

    def _read_request(self, sql: str, group: Group, hints: SessionHints) -> Request:
        return replace(
            self._request(sql, group.spec.name, hints),
            min_position=self._positions.min_position(group.spec.name),
            max_age_ms=hints.max_age_ms,
            priority=read_priority(
                hints.priority, accepts_stale=hints.max_age_ms is not None
            ),
        )

    def _transaction_request(
        self, sql: str, group: Group, hints: SessionHints
    ) -> Request:
        req = self._request(sql, group.spec.name, hints)
        return replace(req, min_position=self._positions.min_position(req.group))

    def _record_position(self, answer: Answer, group: Group) -> Result:
        if answer.position is not None:
            self._positions.advance(group, answer.position)
        return answer.result

    def _token_result(self) -> Result:
        column = Column(name="@heatherpier_token", type_code=VAR_STRING)
        return Result(
            columns=(column,), rows=((self._positions.encode(self._signer),),)
        )


def read_priority(hinted: Priority | None, *, accepts_stale: bool) -> Priority:
    """Returns the priority of a read outside of a transaction.

    It is never that of a write, whatever its hint says.

    Args:
        hinted: Priority that the caller gave, or None.
        accepts_stale: Whether the read accepts data of a stated age.
    """
    if hinted is None:
        return Priority.AGED_READ if accepts_stale else Priority.SESSION_READ
    return max(hinted, Priority.SESSION_READ)
