"""Executes the statements of one connection to a stand-in instance."""

import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from heatherpier.bench._instance import Instance
from heatherpier.groups import InstanceStatus, Role
from heatherpier.positions import LogPosition
from heatherpier.upstreams import Column, Result, StatementError

CALL = re.compile(r"CALL\s+group_(\w+)\s*\((.*)\)\s*;?$", re.IGNORECASE | re.DOTALL)
ROLLBACK_TO = re.compile(r"ROLLBACK\s+(WORK\s+)?TO\s", re.IGNORECASE)
READ_KEYWORDS = frozenset({"SELECT", "WITH", "SHOW", "EXPLAIN", "VALUES"})
UNKNOWN_PROCEDURE = 1305
VAR_STRING = 253
LONGLONG = 8

STATUS_COLUMNS = (
    Column(name="instance", type_code=VAR_STRING),
    Column(name="role", type_code=VAR_STRING),
    Column(name="adopted_term", type_code=LONGLONG),
    Column(name="proposer", type_code=VAR_STRING),
    Column(name="primary", type_code=VAR_STRING),
    Column(name="term", type_code=LONGLONG),
    Column(name="index", type_code=LONGLONG),
    Column(name="age_ms", type_code=LONGLONG),
    Column(name="contact_ms", type_code=LONGLONG),
)


class InstanceSession:
    """Session of one connection: its open transaction and its last commit.

    Args:
        instance: The instance that runs the statements.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._term: int | None = None
        self._statements: list[str] = []
        self._savepoints: dict[str, int] = {}
        self._explicit = False
        self._autocommit = True
        self._last_commit = LogPosition(0, 0)

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._explicit or self._term is not None

    @property
    def autocommit(self) -> bool:
        """Whether a statement outside a transaction commits automatically."""
        return self._autocommit

    async def execute(self, sql: str) -> Result:
        """Runs one statement.

        Raises:
            StatementError: The instance rejected it; it had no effect.
        """
        await self._instance.wait_until_resumed()
        try:
            return await self._run(sql)
        finally:
            # A process that was paused meanwhile sends no answer until it resumes.
            await self._instance.wait_until_resumed()

    async def _run(self, sql: str) -> Result:
        if self._instance.faults.slow_ms:
            await self._instance.timers.sleep(self._instance.faults.slow_ms / 1000)
        keyword = sql.split(None, 1)[0].upper().rstrip(";") if sql.strip() else ""
        match keyword:
            case "CALL":
                return await self._call(sql)
            case "BEGIN" | "START":
                self._explicit = True
                return Result()
            case "COMMIT":
                return self._commit()
            case "SAVEPOINT" | "RELEASE":
                return await self._savepoint(sql)
            case "ROLLBACK" if ROLLBACK_TO.match(sql):
                return await self._savepoint(sql)
            case "ROLLBACK":
                self.rollback()
                return Result()
            case "SET":
                return self._set(sql)
        if keyword in READ_KEYWORDS:
            async with self._occupy_slot():
                is_writing = self._term is not None
                self._instance.count_read(sql)
                return self._instance.engine.read(sql, in_transaction=is_writing)
        if self._term is None:
            # A statement that waits for the write lock occupies no slot. Otherwise the
            # waiting statements could take all slots, and the transaction that holds
            # the lock could not run its next statement.
            self._term = await self._instance.begin_write()
        async with self._occupy_slot():
            return self._write(sql)

    async def _savepoint(self, sql: str) -> Result:
        if self._term is None:
            self._term = await self._instance.begin_write()
        result = self._instance.engine.write(sql)
        keyword, name = sql.split()[0].upper(), sql.rstrip("; ").split()[-1]
        if keyword == "SAVEPOINT":
            self._savepoints[name] = len(self._statements)
        if keyword == "ROLLBACK":
            del self._statements[self._savepoints[name] :]
        return result

    @asynccontextmanager
    async def _occupy_slot(self) -> AsyncIterator[None]:
        async with self._instance.slots:
            if self._instance.faults.work_ms:
                await self._instance.timers.sleep(self._instance.faults.work_ms / 1000)
            yield

    def rollback(self) -> None:
        """Rolls back the open transaction, if any."""
        if self._term is not None:
            self._instance.roll_back(self._term)
        self._clear_transaction()

    def _clear_transaction(self) -> None:
        self._term = None
        self._statements = []
        self._explicit = False

    def _set(self, sql: str) -> Result:
        found = re.search(r"autocommit\s*=\s*(\w+)", sql, re.IGNORECASE)
        if found:
            self._autocommit = found[1].upper() in ("1", "ON", "TRUE")
        return Result()

    def _write(self, sql: str) -> Result:
        try:
            self._instance.require_primary(self._term)
            result = self._instance.engine.write(sql)
        except StatementError:
            if not self._explicit and self._autocommit:
                self.rollback()
            raise
        self._statements.append(sql)
        if not self._explicit and self._autocommit:
            self._commit()
        return result

    def _commit(self) -> Result:
        if self._term is None:
            self._clear_transaction()
            return Result()
        try:
            self._instance.require_primary(self._term)
        except StatementError:
            self.rollback()
            raise
        self._last_commit = self._instance.commit(tuple(self._statements))
        self._clear_transaction()
        return Result()

    async def _call(self, sql: str) -> Result:
        found = CALL.match(sql.strip())
        name = found[1].lower() if found else ""
        arguments = _split_arguments(found[2]) if found else []
        instance = self._instance
        match name, arguments:
            case "status", []:
                pass
            case "adopt_term", [term, proposer]:
                instance.adopt(int(term), proposer)
            case "promote", [term, proposer]:
                instance.promote(int(term), proposer)
            case "follow", [term, primary]:
                instance.follow(int(term), primary)
            case "wait", [term, index, timeout_ms]:
                position = LogPosition(int(term), int(index))
                await instance.wait_for(position, timeout_s=int(timeout_ms) / 1000)
            case "last_commit", []:
                return _row_result(
                    term=self._last_commit.term, index=self._last_commit.index
                )
            case "fetch", [term, after_term, after_index]:
                after = LogPosition(int(after_term), int(after_index))
                fetched = await instance.serve_fetch(int(term), after)
                found_after, body, at_end = fetched.rows[0]
                return _row_result(found=found_after, entries=body, at_end=at_end)
            case "log", [after, limit]:
                return _row_result(
                    entries=instance.log_json(int(after), limit=int(limit))
                )
            case "reads", []:
                counts = instance.reads
                return _row_result(
                    primary=counts[Role.PRIMARY], replica=counts[Role.REPLICA]
                )
            case _:
                raise StatementError(
                    code=UNKNOWN_PROCEDURE,
                    sqlstate="42000",
                    message=f"no procedure for {sql[:80]!r}",
                )
        return _status_result(instance.status())


def _split_arguments(text: str) -> list[str]:
    return [part.strip().strip("'") for part in text.split(",") if part.strip()]


def _row_result(**values: int | str) -> Result:
    columns = tuple(
        Column(name=name, type_code=LONGLONG if isinstance(value, int) else VAR_STRING)
        for name, value in values.items()
    )
    return Result(columns=columns, rows=(tuple(values.values()),))


def _status_result(status: InstanceStatus) -> Result:
    row = (
        status.instance,
        status.role.value,
        status.adopted_term,
        status.proposer,
        status.primary,
        status.position.term,
        status.position.index,
        status.age_ms,
        status.contact_ms,
    )
    return Result(columns=STATUS_COLUMNS, rows=(row,))
