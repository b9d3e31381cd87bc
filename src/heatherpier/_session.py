"""One caller's session: hints, token and where each statement goes."""

from collections.abc import Mapping

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
from heatherpier.requests import Answer, RefusedError, Request
from heatherpier.sessions import InvalidTokenError, SessionToken, TokenSigner
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
    ) -> None:
        self._groups = groups
        self._reader = reader
        self._writer = writer
        self._signer = signer
        self._timers = timers
        self._deadline_ms = deadline_ms
        self._token = SessionToken()
        self.in_transaction = False
        self.autocommit = True

    async def execute(
        self, sql: str, *, database: str | None, hints: Mapping[str, str]
    ) -> Result:
        """Runs one statement.

        Raises:
            FinalError: The final answer is not a result.
        """
        statement: Statement = classify(sql)
        match statement:
            case SelectToken():
                return self._token_result()
            case SetHint(name="token", value=value):
                self._adopt_token(value)
                return Result()
            case SetHint(name=name):
                raise RefusedError(f"unknown hint {name!r}")
            case SetAutocommit() | Ignored():
                return Result()
            case Unsupported(reason=reason):
                raise RefusedError(reason)
            case Begin() | Commit() | Rollback():
                raise RefusedError("transactions are not served yet")
            case Read():
                group = self._group(database)
                return self._take(
                    await self._reader.execute(group, self._request(sql, group)), group
                )
            case Write():
                group = self._group(database)
                return self._take(
                    await self._writer.execute(group, self._request(sql, group)), group
                )

    async def close(self) -> None:
        """Ends the session."""

    def _group(self, database: str | None) -> Group:
        group = self._groups.get(database or "")
        if group is None:
            raise RefusedError(f"unknown database {database!r}")
        return group

    def _request(self, sql: str, group: Group) -> Request:
        return Request(
            sql=sql,
            group=group.spec.name,
            deadline=self._timers.now() + self._deadline_ms / MS_PER_S,
            floor=self._token.floor(group.spec.name),
        )

    def _take(self, answer: Answer, group: Group) -> Result:
        if answer.position is not None:
            self._token = self._token.raised(group.spec.name, answer.position)
        return answer.result

    def _adopt_token(self, text: str) -> None:
        try:
            self._token = self._token.merged(self._signer.decode(text))
        except InvalidTokenError as exc:
            raise RefusedError(str(exc)) from exc

    def _token_result(self) -> Result:
        column = Column(name="@heatherpier_token", type_code=VAR_STRING)
        return Result(columns=(column,), rows=((self._signer.encode(self._token),),))
