"""The operations of a session, each ending in one record."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from heatherpier.bench._caller import SERVER_SHUTDOWN, CallerSession
from heatherpier.bench._driver import (
    AnsweredError,
    CallerError,
    UnreachableError,
)
from heatherpier.bench._history import (
    AgedReadRecord,
    FailedRead,
    Outcome,
    ReadRecord,
    StatementClass,
    WriteRecord,
)
from heatherpier.bench._mixes import ROWS_PER_GROUP, Mix
from heatherpier.requests import (
    NotRunError,
    OutcomeUnknownError,
    OverloadedError,
    ReadOnlyError,
    TooStaleError,
)
from heatherpier.upstreams import Result

GIVE_UP_S = 15.0
TRANSACTION_PARTS = 2
# Rows that sessions claim from at the same time, so that some meet.
CLAIM_SPREAD = 20
ALREADY_RUN = 7007
MAYBE_RUN = frozenset({OutcomeUnknownError.code, ALREADY_RUN, SERVER_SHUTDOWN})
REPEAT_READ = frozenset({NotRunError.code, TooStaleError.code})
TRY_AGAIN = frozenset(
    {
        OutcomeUnknownError.code,
        OverloadedError.code,
        ReadOnlyError.code,
        SERVER_SHUTDOWN,
    }
)


class Operations:
    """Runs operations on a session.

    Args:
        session: The session.
        mix: Statements of the load.
        rng: Chooses rows.
    """

    def __init__(self, session: CallerSession, *, mix: Mix, rng: random.Random) -> None:
        self.session = session
        self._mix = mix
        self._rng = rng
        self._owed: set[str] = set()

    async def run(self, kind: StatementClass, *, arrived: float) -> None:
        """Runs one operation of class ``kind`` that arrived at ``arrived``."""
        self.session.maybe_roam()
        match kind:
            case StatementClass.WRITE | StatementClass.CLAIM:
                await self._write(kind, arrived=arrived)
            case StatementClass.TRANSACTION:
                await self._transaction(arrived=arrived)
            case StatementClass.SESSION_READ:
                await self._session_read(arrived=arrived)
            case StatementClass.AGED_READ:
                await self._aged_read(arrived=arrived)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _write(self, kind: StatementClass, *, arrived: float) -> None:
        session, op = self.session, self.session.next_op()
        row = 0
        if kind is StatementClass.CLAIM:
            row = self._row_to_claim()
            sql = self._mix.claim(op, row=row)
        else:
            sql = self._mix.insert(op, session.name)
        outcome, code, tries, result = Outcome.NOT_RUN, 0, 0, Result()
        ended, told = arrived, False
        while self._now() < arrived + GIVE_UP_S:
            tries += 1
            try:
                result = await session.execute(sql, key=f"key-{op}")
                ended = self._now()
                outcome, code = Outcome.ACKNOWLEDGED, 0
                await session.refresh_token()
                told = True
                break
            except CallerError as exc:
                if outcome is not Outcome.ACKNOWLEDGED:
                    outcome, code = _after_failure(outcome, exc)
                    ended = self._now()
                if _is_final(exc):
                    break
                await session.back_off(exc)
        if told and kind is StatementClass.WRITE:
            self._owed.add(f"op:{op}/1/1")
        self._record_write(
            op,
            kind,
            arrived=arrived,
            ended=ended,
            outcome=outcome,
            code=code,
            tries=tries,
            affected_rows=result.affected_rows,
            row=row,
        )

    def _row_to_claim(self) -> int:
        start = len(self.session.history.writes) // 3
        return (start + self._rng.randrange(CLAIM_SPREAD)) % ROWS_PER_GROUP + 1

    async def _transaction(self, *, arrived: float) -> None:
        session, op = self.session, self.session.next_op()
        parts = range(1, TRANSACTION_PARTS + 1)
        inserts = [
            self._mix.insert(op, session.name, part=part, parts=TRANSACTION_PARTS)
            for part in parts
        ]
        outcome, code = Outcome.NOT_RUN, 0
        try:
            await session.execute("BEGIN")
            for sql in inserts:
                await session.continue_transaction(sql)
        except CallerError as exc:
            code = getattr(exc, "code", 0)
            session.drop_link()
            await session.back_off(exc)
        else:
            outcome, code = await self._commit()
        ended = self._now()
        if outcome is Outcome.ACKNOWLEDGED:
            try:
                await session.refresh_token()
            except CallerError as exc:
                # The session never learnt the position of its own commit.
                await session.back_off(exc)
            else:
                self._owed.update(
                    f"op:{op}/{part}/{TRANSACTION_PARTS}" for part in parts
                )
        self._record_write(
            op,
            StatementClass.TRANSACTION,
            arrived=arrived,
            ended=ended,
            outcome=outcome,
            code=code,
            parts=TRANSACTION_PARTS,
        )

    async def _commit(self) -> tuple[Outcome, int]:
        try:
            await self.session.continue_transaction("COMMIT")
        except CallerError as exc:
            self.session.drop_link()
            return _after_failure(Outcome.NOT_RUN, exc)
        return Outcome.ACKNOWLEDGED, 0

    def _record_write(
        self,
        op: str,
        kind: StatementClass,
        *,
        arrived: float,
        ended: float,
        outcome: Outcome,
        code: int,
        parts: int = 1,
        tries: int = 1,
        affected_rows: int = 0,
        row: int = 0,
    ) -> None:
        self.session.history.writes.append(
            WriteRecord(
                op=op,
                session=self.session.name,
                group=self.session.place.group,
                kind=kind,
                parts=parts,
                started=arrived,
                ended=ended,
                outcome=outcome,
                affected_rows=affected_rows,
                code=code,
                tries=tries,
                row=row,
            )
        )

    async def _session_read(self, *, arrived: float) -> None:
        session = self.session

        async def read() -> None:
            owed = frozenset(self._owed)
            result = await session.execute(self._mix.own_rows(session.name))
            session.history.reads.append(
                ReadRecord(
                    session=session.name,
                    group=session.place.group,
                    started=arrived,
                    ended=self._now(),
                    owed=owed,
                    seen=frozenset(str(row[0]) for row in result.rows),
                    proxy=session.proxy,
                )
            )
            await session.refresh_token()

        await self._repeat_read(StatementClass.SESSION_READ, read, arrived=arrived)

    async def _aged_read(self, *, arrived: float) -> None:
        session = self.session
        max_age_ms = self._mix.max_age_ms

        async def read() -> None:
            sent = self._now()
            result = await session.execute(
                self._mix.count(), max_age_ms=str(max_age_ms)
            )
            session.history.aged_reads.append(
                AgedReadRecord(
                    session=session.name,
                    group=session.place.group,
                    sent=sent,
                    ended=self._now(),
                    max_age_s=max_age_ms / 1000,
                    count=int(result.rows[0][0]),
                )
            )

        await self._repeat_read(StatementClass.AGED_READ, read, arrived=arrived)

    async def _repeat_read(
        self,
        kind: StatementClass,
        read: Callable[[], Awaitable[None]],
        *,
        arrived: float,
    ) -> None:
        while self._now() < arrived + GIVE_UP_S:
            done = len(self.session.history.reads)
            try:
                await read()
                return
            except CallerError as exc:
                if len(self.session.history.reads) > done:
                    return
                code = getattr(exc, "code", 0)
                self._record_failed_read(kind, code)
                if _is_final(exc) and code not in REPEAT_READ:
                    return
                await self.session.back_off(exc)
        self._record_failed_read(kind, 0)

    def _record_failed_read(self, kind: StatementClass, code: int) -> None:
        self.session.history.failed_reads.append(
            FailedRead(
                group=self.session.place.group, kind=kind, at=self._now(), code=code
            )
        )


def _after_failure(before: Outcome, exc: CallerError) -> tuple[Outcome, int]:
    match exc:
        case UnreachableError():
            return before, 0
        case AnsweredError(code=code) if code == NotRunError.code:
            return Outcome.NOT_RUN, code
        case AnsweredError(code=code) if code not in MAYBE_RUN:
            # True of this try; an earlier one may still have taken effect.
            return before, code
        case AnsweredError(code=code):
            return Outcome.UNKNOWN, code
        case _:
            return Outcome.UNKNOWN, 0


def _is_final(exc: CallerError) -> bool:
    return isinstance(exc, AnsweredError) and exc.code not in TRY_AGAIN
