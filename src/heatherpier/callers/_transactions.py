"""Classifies statements that control transactions."""

import re
from dataclasses import dataclass

TRANSACTION_KEYWORD = re.compile(
    r"(BEGIN|START\s+TRANSACTION|COMMIT|ROLLBACK|SAVEPOINT|RELEASE)\b", re.I
)
MODE = r"(?:WITH\s+CONSISTENT\s+SNAPSHOT|READ\s+WRITE|READ\s+ONLY)"
BEGIN = re.compile(
    rf"(?:BEGIN(?:\s+WORK)?|START\s+TRANSACTION(?:\s+{MODE}(?:\s*,\s*{MODE})*)?)$", re.I
)
READ_ONLY = re.compile(r"READ\s+ONLY", re.I)
COMMIT_OR_ROLLBACK = re.compile(
    r"(COMMIT|ROLLBACK)(?:\s+WORK)?(?:\s+AND\s+NO\s+CHAIN)?(?:\s+NO\s+RELEASE)?$", re.I
)
SAVEPOINT_NAME = r"(?:\w+|`[^`]+`)"
SAVEPOINT = re.compile(
    rf"(?:SAVEPOINT|RELEASE\s+SAVEPOINT|ROLLBACK(?:\s+WORK)?\s+TO(?:\s+SAVEPOINT)?)"
    rf"\s+{SAVEPOINT_NAME}$",
    re.I,
)


@dataclass(frozen=True, slots=True)
class Begin:
    """Opens a transaction.

    Attributes:
        read_only: Whether the transaction is declared READ ONLY.
    """

    read_only: bool = False


@dataclass(frozen=True, slots=True)
class Commit:
    """Commits the open transaction."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Rolls back the open transaction."""


@dataclass(frozen=True, slots=True)
class Savepoint:
    """Sets a savepoint, releases it or rolls back to it."""


@dataclass(frozen=True, slots=True)
class UnsupportedForm:
    """Starts with a transaction keyword but is not in a supported form."""


TransactionStatement = Begin | Commit | Rollback | Savepoint | UnsupportedForm


def classify_transaction(text: str) -> TransactionStatement | None:
    """Returns the effect of a statement on the transaction, or None if it has none.

    Args:
        text: One statement without leading comments.
    """
    if not TRANSACTION_KEYWORD.match(text):
        return None
    text = text.rstrip("; \t\r\n")
    if BEGIN.match(text):
        return Begin(read_only=READ_ONLY.search(text) is not None)
    if found := COMMIT_OR_ROLLBACK.match(text):
        return Commit() if found[1].upper() == "COMMIT" else Rollback()
    if SAVEPOINT.match(text):
        return Savepoint()
    return UnsupportedForm()
