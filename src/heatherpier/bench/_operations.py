"""Runs the operations of a session and records how each of them ended."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from heatherpier.bench._caller import CallerSession
from heatherpier.bench._driver import (
    CallerError,
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
from heatherpier.bench._outcomes import RETRIABLE_READ_CODES, is_final, outcome_after
from heatherpier.upstreams import Result

OPERATION_TIMEOUT_S = 10.0
TRANSACTION_PARTS = 2
# Sessions claim among this many rows at a time, so that some claims conflict.
CLAIM_ROW_SPAN = 20


class Operations:
    """Runs operations on one session, one at a time.

    Args:
        session: Session that sends the statements.
        mix: Statements of the load.
        rng: Chooses the rows to claim.
    """

    def __init__(self, session: CallerSession, *, mix: Mix, rng: random.Random) -> None:
        self.session = session
        self._mix = mix
        self._rng = rng
        self._required: set[str] = set()

    async def run(self, kind: StatementClass, *, arrived: float) -> None:
        """Runs one operation and records how it ended.

        Args:
            kind: Class of the operation.
            arrived: Monotonic time in seconds of its arrival.
        """
        self.session.maybe_switch_proxy()
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
            row = self._choose_row()
            sql = self._mix.claim(op, row=row)
        else:
            sql = self._mix.insert(op, session.name)
        outcome, code, attempts, result = Outcome.NOT_RUN, 0, 0, Result()
        ended, has_token = arrived, False
        while self._now() < arrived + OPERATION_TIMEOUT_S:
            attempts += 1
            try:
                result = await session.execute(sql, key=f"key-{op}")
                ended = self._now()
                outcome, code = Outcome.ACKNOWLEDGED, 0
                await session.refresh_token()
                has_token = True
                break
            except CallerError as exc:
                if outcome is not Outcome.ACKNOWLEDGED:
                    outcome, code = outcome_after(outcome, exc)
                    ended = self._now()
                if is_final(exc):
                    break
                await session.back_off(exc)
        if has_token and kind is StatementClass.WRITE:
            self._required.add(f"op:{op}/1/1")
        self._record_write(
            op,
            kind,
            arrived=arrived,
            ended=ended,
            outcome=outcome,
            code=code,
            attempts=attempts,
            affected_rows=result.affected_rows,
            row=row,
        )

    def _choose_row(self) -> int:
        start = len(self.session.history.writes) // 3
        return (start + self._rng.randrange(CLAIM_ROW_SPAN)) % ROWS_PER_GROUP + 1

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
            session.close_connection()
            await session.back_off(exc)
        else:
            outcome, code = await self._commit()
        ended = self._now()
        if outcome is Outcome.ACKNOWLEDGED:
            try:
                await session.refresh_token()
            except CallerError as exc:
                # Without the token the session does not know the position of its
                # commit, so its later reads need not show the rows.
                await session.back_off(exc)
            else:
                self._required.update(
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
            self.session.close_connection()
            return outcome_after(Outcome.NOT_RUN, exc)
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
        attempts: int = 1,
        affected_rows: int = 0,
        row: int = 0,
    ) -> None:
        self.session.history.writes.append(
            WriteRecord(
                op=op,
                session=self.session.name,
                group=self.session.context.group,
                kind=kind,
                parts=parts,
                started=arrived,
                ended=ended,
                outcome=outcome,
                affected_rows=affected_rows,
                code=code,
                attempts=attempts,
                row=row,
            )
        )

    async def _session_read(self, *, arrived: float) -> None:
        session = self.session

        async def read() -> None:
            required = frozenset(self._required)
            result = await session.execute(self._mix.own_rows(session.name))
            session.history.reads.append(
                ReadRecord(
                    session=session.name,
                    group=session.context.group,
                    started=arrived,
                    ended=self._now(),
                    required=required,
                    seen=frozenset(str(row[0]) for row in result.rows),
                    proxy=session.proxy,
                )
            )
            await session.refresh_token()

        await self._retry_read(StatementClass.SESSION_READ, read, arrived=arrived)

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
                    group=session.context.group,
                    sent=sent,
                    ended=self._now(),
                    max_age_s=max_age_ms / 1000,
                    count=int(result.rows[0][0]),
                )
            )

        await self._retry_read(StatementClass.AGED_READ, read, arrived=arrived)

    async def _retry_read(
        self,
        kind: StatementClass,
        read: Callable[[], Awaitable[None]],
        *,
        arrived: float,
    ) -> None:
        while self._now() < arrived + OPERATION_TIMEOUT_S:
            answered_before = len(self.session.history.reads)
            try:
                await read()
                return
            except CallerError as exc:
                if len(self.session.history.reads) > answered_before:
                    return
                code = getattr(exc, "code", 0)
                self._record_failed_read(kind, code)
                if is_final(exc) and code not in RETRIABLE_READ_CODES:
                    return
                await self.session.back_off(exc)
        self._record_failed_read(kind, 0)

    def _record_failed_read(self, kind: StatementClass, code: int) -> None:
        self.session.history.failed_reads.append(
            FailedRead(
                group=self.session.context.group, kind=kind, at=self._now(), code=code
            )
        )
