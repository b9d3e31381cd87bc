"""SQL engine of a stand-in instance, on SQLite databases in memory."""

import functools
import json
import sqlite3
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import sqlglot
from sqlglot import expressions as exp

from heatherpier.upstreams import Column, Result, StatementError

DUPLICATE_KEY = 1062
SYNTAX_ERROR = 1064
NO_SUCH_TABLE = 1146

VAR_STRING = 253
LONGLONG = 8
DOUBLE = 5


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One committed transaction.

    Attributes:
        term: Term of the primary that wrote it.
        index: Index in the log, from 1.
        statements: The writes, in order. Empty for the first entry of a term.
    """

    term: int
    index: int
    statements: tuple[str, ...]


def encode_entries(entries: Iterable[LogEntry]) -> str:
    """Returns entries as JSON."""
    return json.dumps([[e.term, e.index, list(e.statements)] for e in entries])


def decode_entries(text: str) -> list[LogEntry]:
    """Decodes the result of `encode_entries`."""
    return [LogEntry(t, i, tuple(s)) for t, i, s in json.loads(text)]


class Engine:
    """Runs MySQL statements on two copies of the data.

    Reads outside the writing transaction use the committed copy. The only writing
    transaction runs on the working copy; when it commits, its statements are
    replayed on the committed copy.
    """

    def __init__(self) -> None:
        self._committed = _open()
        self._working = _open()

    def read(self, sql: str, *, in_transaction: bool = False) -> Result:
        """Runs a read, inside the writing transaction or outside of it."""
        return _run(self._working if in_transaction else self._committed, sql)

    def write(self, sql: str) -> Result:
        """Runs a statement of the writing transaction."""
        return _run(self._working, sql)

    def begin(self) -> None:
        """Opens the writing transaction."""
        self._working.execute("BEGIN")

    def commit(self, statements: Iterable[str]) -> None:
        """Commits the writing transaction and makes its writes visible to all reads.

        Args:
            statements: The writes of the transaction, in order.
        """
        self._working.execute("COMMIT")
        for sql in statements:
            _run(self._committed, sql)

    def rollback(self) -> None:
        """Rolls back the writing transaction, if one is open."""
        if self._working.in_transaction:
            self._working.execute("ROLLBACK")

    def apply(self, entry: LogEntry) -> None:
        """Applies a replicated transaction to both copies."""
        for db in (self._committed, self._working):
            for sql in entry.statements:
                _run(db, sql)

    def reset(self, entries: Iterable[LogEntry]) -> None:
        """Drops all data and replays ``entries``."""
        self._committed.close()
        self._working.close()
        self._committed = _open()
        self._working = _open()
        for entry in entries:
            self.apply(entry)


def _open() -> sqlite3.Connection:
    return sqlite3.connect(":memory:", isolation_level=None)


@functools.lru_cache(maxsize=4096)
def _translate(sql: str) -> str:
    trees = [tree for tree in sqlglot.parse(sql, read="mysql") if tree]
    for tree in trees:
        # SQLite does not support secondary indexes inside CREATE TABLE.
        for index in list(tree.find_all(exp.IndexColumnConstraint)):
            index.pop()
    return ";".join(tree.sql(dialect="sqlite") for tree in trees)


def _run(db: sqlite3.Connection, sql: str) -> Result:
    try:
        cursor = db.execute(_translate(sql))
        rows = cursor.fetchall()
    except sqlite3.IntegrityError as exc:
        raise StatementError(
            code=DUPLICATE_KEY, sqlstate="23000", message=str(exc)
        ) from exc
    except (sqlite3.Error, sqlglot.errors.SqlglotError) as exc:
        missing = "no such table" in str(exc)
        raise StatementError(
            code=NO_SUCH_TABLE if missing else SYNTAX_ERROR,
            sqlstate="42S02" if missing else "42000",
            message=str(exc),
        ) from exc
    if cursor.description is None:
        return Result(
            affected_rows=max(cursor.rowcount, 0), last_insert_id=cursor.lastrowid or 0
        )
    columns = tuple(
        Column(name=description[0], type_code=_column_type(rows, column_index))
        for column_index, description in enumerate(cursor.description)
    )
    return Result(columns=columns, rows=tuple(rows))


def _column_type(rows: list[tuple[Any, ...]], column_index: int) -> int:
    value = next(
        (row[column_index] for row in rows if row[column_index] is not None), None
    )
    match value:
        case int():
            return LONGLONG
        case float():
            return DOUBLE
        case _:
            return VAR_STRING
