"""Statements that open, end and mark transactions."""

import re
from dataclasses import dataclass

TRANSACTION_WORD = re.compile(
    r"(BEGIN|START\s+TRANSACTION|COMMIT|ROLLBACK|SAVEPOINT|RELEASE)\b", re.I
)
MODE = r"(?:WITH\s+CONSISTENT\s+SNAPSHOT|READ\s+WRITE|READ\s+ONLY)"
BEGIN = re.compile(
    rf"(?:BEGIN(?:\s+WORK)?|START\s+TRANSACTION(?:\s+{MODE}(?:\s*,\s*{MODE})*)?)$", re.I
)
READ_ONLY = re.compile(r"READ\s+ONLY", re.I)
END = re.compile(
    r"(COMMIT|ROLLBACK)(?:\s+WORK)?(?:\s+AND\s+NO\s+CHAIN)?(?:\s+NO\s+RELEASE)?$", re.I
)
NAME = r"(?:\w+|`[^`]+`)"
SAVEPOINT = re.compile(
    rf"(?:SAVEPOINT|RELEASE\s+SAVEPOINT|ROLLBACK(?:\s+WORK)?\s+TO(?:\s+SAVEPOINT)?)"
    rf"\s+{NAME}$",
    re.I,
)


@dataclass(frozen=True, slots=True)
class Begin:
    """Opens a transaction."""

    read_only: bool = False


@dataclass(frozen=True, slots=True)
class Commit:
    """Ends a transaction and keeps its writes."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Ends a transaction and drops its writes."""


@dataclass(frozen=True, slots=True)
class Savepoint:
    """Sets, drops or returns to a savepoint."""


@dataclass(frozen=True, slots=True)
class UnknownForm:
    """Begins like a transaction statement, but goes on in a way not served."""


TransactionStatement = Begin | Commit | Rollback | Savepoint | UnknownForm


def classify_transaction(text: str) -> TransactionStatement | None:
    """Returns what a statement does to the transaction, or None if nothing.

    Args:
        text: One statement without comments around it.
    """
    if not TRANSACTION_WORD.match(text):
        return None
    text = text.rstrip("; \t\r\n")
    if BEGIN.match(text):
        return Begin(read_only=READ_ONLY.search(text) is not None)
    if found := END.match(text):
        return Commit() if found[1].upper() == "COMMIT" else Rollback()
    if SAVEPOINT.match(text):
        return Savepoint()
    return UnknownForm()
