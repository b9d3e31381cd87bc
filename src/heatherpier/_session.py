"""One caller's session: hints, token and where each statement goes."""

from collections.abc import Mapping
from dataclasses import replace

from heatherpier.callers import (
    Begin,
    Commit,
    Ignored,
    Read,
    Rollback,
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
    SessionFloors,
    SessionHints,
    TokenSigner,
    parse_attributes,
    split_comment,
)
from heatherpier.timers import Timers
from heatherpier.upstreams import Column, Result
from heatherpier.writes import Writer

VAR_STRING = 253
MS_PER_S = 1000


class Session:
    """Serves the statements of one caller's connection.

    Args:
        groups: Groups that the caller may use, by database.
        reader: Serves reads.
        writer: Serves writes.
        signer: Reads and writes session tokens.
        timers: Timer service.
        deadline_ms: Time in milliseconds that a statement may take.
        max_age_ms: Age in milliseconds that reads accept, or None for reads
            that must see the session's writes.
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
        self._floors = SessionFloors()
        self.in_transaction = False
        self.autocommit = True

    async def execute(
        self, sql: str, *, database: str | None, hints: Mapping[str, str]
    ) -> Result:
        """Runs one statement.

        Raises:
            FinalError: The final answer is not a result.
        """
        try:
            commented = split_comment(sql)
            given = parse_attributes(hints).overridden(commented.hints)
            return await self._dispatch(commented.sql, database=database, given=given)
        except SessionError as exc:
            raise RefusedError(str(exc)) from exc

    async def _dispatch(
        self, sql: str, *, database: str | None, given: SessionHints
    ) -> Result:
        statement: Statement = classify(sql)
        match statement:
            case SetHint(name=name, value=value):
                self._set_hint(name, value)
                return Result()
            case SetAutocommit() | Ignored():
                return Result()
            case Unsupported(reason=reason):
                raise RefusedError(reason)
            case SelectToken():
                self._enter(given)
                return self._token_result()
        hints = self._take_hints(given)
        match statement:
            case Begin() | Commit() | Rollback():
                raise RefusedError("transactions are not served yet")
            case Read():
                group = self._group(database)
                req = self._read_request(sql, group, hints)
                return self._take(await self._reader.execute(group, req), group)
            case Write():
                group = self._group(database)
                req = self._request(sql, group, hints)
                return self._take(await self._writer.execute(group, req), group)

    async def close(self) -> None:
        """Ends the session."""

    def _group(self, database: str | None) -> Group:
        group = self._groups.get(database or "")
        if group is None:
            raise RefusedError(f"unknown database {database!r}")
        return group

    # Hints

    def _set_hint(self, name: str, value: str) -> None:
        """Sets a hint of the connection; a key lasts until the next statement."""
        hints = self._hints.with_value(name, value)
        self._floors.enter(hints, signer=self._signer)
        self._hints = hints.with_value("token", "NULL")

    def _take_hints(self, given: SessionHints) -> SessionHints:
        """Returns the hints of one statement and uses the connection's key up."""
        hints = self._enter(given)
        self._hints = self._hints.with_value("key", "NULL")
        return hints

    def _enter(self, given: SessionHints) -> SessionHints:
        hints = self._defaults.overridden(self._hints).overridden(given)
        self._floors.enter(hints, signer=self._signer)
        return hints

    # Requests

    def _request(self, sql: str, group: Group, hints: SessionHints) -> Request:
        assert hints.deadline_ms is not None
        return Request(
            sql=sql,
            group=group.spec.name,
            deadline=self._timers.now() + hints.deadline_ms / MS_PER_S,
            key=hints.key,
            repeatable=bool(hints.repeatable),
            priority=Priority.WRITE if hints.priority is None else hints.priority,
            trace=hints.trace or "",
            user=self._user,
            session=hints.session or "",
        )

    def _read_request(self, sql: str, group: Group, hints: SessionHints) -> Request:
        aged = hints.max_age_ms is not None
        usual = Priority.AGED_READ if aged else Priority.SESSION_READ
        # A read never takes the place of a write.
        priority = max(hints.priority or usual, Priority.SESSION_READ)
        return replace(
            self._request(sql, group, hints),
            floor=self._floors.floor(group.spec.name),
            max_age_ms=hints.max_age_ms,
            priority=priority,
        )

    # Token

    def _take(self, answer: Answer, group: Group) -> Result:
        if answer.position is not None:
            self._floors.raise_to(group, answer.position)
        return answer.result

    def _token_result(self) -> Result:
        column = Column(name="@heatherpier_token", type_code=VAR_STRING)
        return Result(columns=(column,), rows=((self._floors.encode(self._signer),),))
