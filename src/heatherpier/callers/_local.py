"""Answers queries of drivers and ORMs about the connection, without an instance."""

import fnmatch
import re
from collections.abc import Iterable
from dataclasses import dataclass

from heatherpier.callers._normalized import normalize
from heatherpier.callers._variables import (
    ACCEPTED_VALUES,
    SYSTEM_VARIABLES,
    UTF8_CHARSETS,
)
from heatherpier.requests import RefusedError
from heatherpier.upstreams import Column, Result

VAR_STRING = 253
LONGLONG = 8
# Longer statements are not answered locally. Queries that drivers send on their own
# are shorter.
MAX_LOCAL_CHARS = 2000

LEADING_COMMENTS = re.compile(r"(?:\s+|/\*(?!!).*?\*/)*", re.S)
FIRST_WORD = re.compile(r"(\w+)")
LOCAL_WORDS = frozenset({"SELECT", "SET", "SHOW", "USE"})
SCOPE = r"(?:@@(?:session\.|global\.|local\.)?|session\s+|local\s+)"
VARIABLE = re.compile(r"@@(?:session\.|global\.|local\.)?(\w+)$", re.I)
ALIAS = re.compile(r"(.+?)\s+(?:AS\s+)?[`'\"]?(\w+)[`'\"]?$", re.I | re.S)
SELECT = re.compile(r"SELECT\s+(.+?)(?:\s+LIMIT\s+1)?\s*;?\s*$", re.I | re.S)
USE = re.compile(r"USE\s+(`[^`]+`|[\w$-]+)\s*;?\s*$", re.I)
SHOW_VARIABLES = re.compile(
    r"SHOW\s+(?:(?:SESSION|GLOBAL)\s+)?VARIABLES"
    r"(?:\s+LIKE\s+'([^']*)'|\s+WHERE\s+(.+?))?\s*;?\s*$",
    re.I | re.S,
)
SHOW_DIAGNOSTICS = re.compile(r"SHOW\s+(WARNINGS|ERRORS)\b", re.I)
SHOW_DATABASES = re.compile(r"SHOW\s+(?:DATABASES|SCHEMAS)\s*;?\s*$", re.I)
SET_NAMES = re.compile(
    r"SET\s+(?:NAMES|CHARACTER\s+SET|CHARSET)\s+['\"]?(\w+)['\"]?"
    r"(?:\s+COLLATE\s+['\"]?\w+['\"]?)?\s*;?\s*$",
    re.I,
)
SET_TRANSACTION = re.compile(
    r"SET\s+(?:SESSION\s+)?TRANSACTION\s+(.+?)\s*;?\s*$", re.I | re.S
)
ISOLATION = re.compile(r"ISOLATION\s+LEVEL\s+(.+)$", re.I)
ASSIGNMENT = re.compile(rf"{SCOPE}?(\w+)\s*:?=\s*(.+)$", re.I | re.S)
LIST_ITEM = re.compile(r"(?:[^,'\"(]|'[^']*'|\"[^\"]*\"|\([^)]*\))+")
QUOTED_STRING = re.compile(r"'([^']*)'")
CONNECTION_STATE_FUNCTION = re.compile(
    r"\b(LAST_INSERT_ID\s*\(\s*\)|ROW_COUNT\s*\(|FOUND_ROWS\s*\()", re.I
)


@dataclass(slots=True)
class ConnectionState:
    """State of a caller's connection that the proxy keeps itself.

    Attributes:
        user: User name.
        connection_id: MySQL connection id, as CONNECTION_ID() returns it.
        database: Selected database, or None if none is selected.
        databases: Databases that the user may select.
        last_insert_id: Generated id of the last insert.
        row_count: Rows that the last statement changed, or -1 after a read.
        found_rows: Rows that the last read returned.
    """

    user: str = ""
    connection_id: int = 0
    database: str | None = None
    databases: Iterable[str] = ()
    last_insert_id: int = 0
    row_count: int = -1
    found_rows: int = 0


@dataclass(frozen=True, slots=True)
class LocalAnswer:
    """An answer from the proxy itself.

    Attributes:
        result: Result to return to the caller.
    """

    result: Result


@dataclass(frozen=True, slots=True)
class Forward:
    """A statement for the session to run.

    Attributes:
        sql: The caller's statement, without assignments that the proxy accepted itself.
    """

    sql: str


@dataclass(frozen=True, slots=True)
class SelectDatabase:
    """A request to select another database.

    Attributes:
        name: Name of the database.
    """

    name: str


Reply = LocalAnswer | Forward | SelectDatabase


def reply_to(sql: str, state: ConnectionState, *, in_transaction: bool) -> Reply:
    """Returns the answer to ``sql``, or the action that it requires.

    Args:
        sql: The caller's statement.
        state: State of the caller's connection.
        in_transaction: Whether the caller has an open transaction. Its statements run
            on one connection, so functions of connection state are forwarded.

    Raises:
        RefusedError: The statement sets or reads a value that the proxy does not
            support.
    """
    text = sql[_end_of_comments(sql) :]
    found = FIRST_WORD.match(text)
    word = found[1].upper() if found else ""
    match word if len(text) <= MAX_LOCAL_CHARS else "":
        case "SELECT":
            reply = _reply_to_select(text, state)
        case "SET":
            reply = _reply_to_set(text)
        case "SHOW":
            reply = _reply_to_show(text, state)
        case "USE":
            reply = _reply_to_use(text)
        case _:
            reply = None
    if reply is not None:
        return reply
    if not in_transaction:
        _refuse_connection_state_functions(sql)
    return Forward(sql)


def _end_of_comments(sql: str) -> int:
    found = LEADING_COMMENTS.match(sql)
    return found.end() if found else 0


def _refuse_connection_state_functions(sql: str) -> None:
    upper = sql.upper()
    if "LAST_INSERT_ID" not in upper and "_ROWS" not in upper and "ROW_" not in upper:
        return
    found = CONNECTION_STATE_FUNCTION.search(normalize(sql))
    if found:
        raise RefusedError(
            f"{found[1].split('(')[0].upper()}() is supported only in a SELECT of its "
            "own or in a transaction"
        )


def _reply_to_select(text: str, state: ConnectionState) -> Reply | None:
    if "@@" not in text and "()" not in text and state.database is not None:
        return None
    found = SELECT.match(text)
    if found is None:
        return None
    cells = [_cell(item.strip(), state) for item in LIST_ITEM.findall(found[1])]
    known_cells = [cell for cell in cells if cell is not None]
    if not known_cells or len(known_cells) != len(cells):
        return None
    return LocalAnswer(_single_row_result(known_cells))


@dataclass(frozen=True, slots=True)
class _Cell:
    name: str
    value: str | int | None


def _cell(item: str, state: ConnectionState) -> _Cell | None:
    name, expression = item, item
    if aliased := ALIAS.match(item):
        expression, name = aliased[1], aliased[2]
    if variable := VARIABLE.match(expression):
        key = variable[1].lower()
        if key not in SYSTEM_VARIABLES:
            raise RefusedError(f"unknown system variable {key!r:.60}")
        return _Cell(name, SYSTEM_VARIABLES[key])
    if expression.isdigit() and state.database is None:
        return _Cell(name, int(expression))
    functions: dict[str, str | int | None] = {
        "VERSION()": SYSTEM_VARIABLES["version"],
        "DATABASE()": state.database,
        "SCHEMA()": state.database,
        "CONNECTION_ID()": state.connection_id,
        "USER()": f"{state.user}@%",
        "CURRENT_USER()": f"{state.user}@%",
        "SESSION_USER()": f"{state.user}@%",
        "LAST_INSERT_ID()": state.last_insert_id,
        "ROW_COUNT()": state.row_count,
        "FOUND_ROWS()": state.found_rows,
    }
    call = re.sub(r"\s+", "", expression).upper()
    return _Cell(name, functions[call]) if call in functions else None


def _single_row_result(cells: list[_Cell]) -> Result:
    return Result(
        columns=tuple(_column(cell.name, cell.value) for cell in cells),
        rows=(tuple(cell.value for cell in cells),),
    )


def _column(name: str, value: str | int | None) -> Column:
    return Column(
        name=name, type_code=LONGLONG if isinstance(value, int) else VAR_STRING
    )


def _reply_to_show(text: str, state: ConnectionState) -> Reply | None:
    if SHOW_DIAGNOSTICS.match(text):
        names = ("Level", "Code", "Message")
        return LocalAnswer(Result(columns=tuple(_column(name, "") for name in names)))
    if SHOW_DATABASES.match(text):
        rows = tuple((name,) for name in sorted(state.databases))
        return LocalAnswer(Result(columns=(_column("Database", ""),), rows=rows))
    found = SHOW_VARIABLES.match(text)
    if found is None:
        return None
    patterns = QUOTED_STRING.findall(found[2]) if found[2] else [found[1] or "%"]
    columns = (_column("Variable_name", ""), _column("Value", ""))
    return LocalAnswer(Result(columns=columns, rows=_variables_like(patterns)))


def _variables_like(patterns: list[str]) -> tuple[tuple[str, str], ...]:
    globs = [
        pattern.lower().replace("\\_", "_").replace("%", "*").replace("_", "?")
        for pattern in patterns
    ]
    return tuple(
        (name, value)
        for name, value in SYSTEM_VARIABLES.items()
        if any(fnmatch.fnmatchcase(name, glob) for glob in globs)
    )


def _reply_to_use(text: str) -> Reply | None:
    found = USE.match(text)
    return SelectDatabase(found[1].strip("`")) if found else None


def _reply_to_set(text: str) -> Reply | None:
    if found := SET_NAMES.match(text):
        return _accept_charset(found[1])
    if found := SET_TRANSACTION.match(text):
        return _accept_characteristics(found[1])
    items = [item.strip().rstrip(";") for item in LIST_ITEM.findall(text[len("SET") :])]
    remaining = [item for item in items if not _is_accepted_assignment(item)]
    if not remaining:
        return LocalAnswer(Result())
    # The session accepts a single remaining assignment, of autocommit or of a hint, and
    # rejects anything else.
    return (
        Forward(f"SET {', '.join(remaining)}") if len(remaining) < len(items) else None
    )


def _accept_charset(name: str) -> Reply:
    if name.upper() not in (*UTF8_CHARSETS, "ASCII", "DEFAULT"):
        raise RefusedError(
            f"character set {name!r:.40} is not supported; expected utf8mb4"
        )
    return LocalAnswer(Result())


def _accept_characteristics(text: str) -> Reply:
    for item in text.split(","):
        item = " ".join(item.upper().split())
        if item == "READ WRITE":
            continue
        found = ISOLATION.match(item)
        level = found[1].strip().replace(" ", "-") if found else item
        if level not in (ACCEPTED_VALUES["transaction_isolation"] or ()):
            raise RefusedError(
                f"transaction characteristic {item!r:.60} is not supported; "
                "transactions are REPEATABLE READ and READ WRITE"
            )
    return LocalAnswer(Result())


def _is_accepted_assignment(item: str) -> bool:
    found = ASSIGNMENT.match(item)
    if found is None or found[1].lower() not in ACCEPTED_VALUES:
        return False
    name, value = found[1].lower(), found[2].strip().strip("'\"")
    accepted = ACCEPTED_VALUES[name]
    if accepted is not None and value.upper() not in accepted:
        raise RefusedError(
            f"{name} = {value!r:.60} is not supported; expected one of "
            f"{', '.join(accepted)}"
        )
    return True
