"""Sorts writes by whether they can share a transaction with their record."""

import functools
import re
from dataclasses import dataclass

TRANSACTIONAL_WORDS = frozenset(
    {"INSERT", "UPDATE", "DELETE", "REPLACE", "SELECT", "WITH", "VALUES", "TABLE"}
)
STANDALONE_WORDS = frozenset(
    {"CREATE", "ALTER", "DROP", "TRUNCATE", "RENAME", "ANALYZE", "OPTIMIZE"}
)
SAVEPOINT_WORDS = frozenset({"SAVEPOINT", "RELEASE", "ROLLBACK"})
SHAPES_CACHED = 4096

# Words in literals and comments must not be matched.
LITERAL_OR_COMMENT = re.compile(
    r"(?P<literal>'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\")"
    r"|/\*(?!!).*?\*/|(?:--\s|#)[^\n]*",
    re.DOTALL,
)
RECORD_TABLE = re.compile(r"\bheatherpier_requests\b", re.IGNORECASE)
SESSION_STATE = re.compile(
    r"\b(GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS|LAST_INSERT_ID|FOUND_ROWS|ROW_COUNT"
    r"|CONNECTION_ID)\s*\(",
    re.IGNORECASE,
)
USER_VARIABLE = re.compile(r"(?<![\w@])@[\w.$]+")
TEMPORARY = re.compile(r"(CREATE|DROP)\s+TEMPORARY\b", re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class Transactional:
    """Runs in a transaction and can be rolled back."""


@dataclass(frozen=True, slots=True)
class Standalone:
    """Commits by itself, as DDL does, so that no record can be kept with it."""


@dataclass(frozen=True, slots=True)
class Savepoint:
    """Sets, drops or returns to a savepoint of the open transaction."""


@dataclass(frozen=True, slots=True)
class Uncarried:
    """Would leave state on an upstream connection, or can't be classified.

    Attributes:
        reason: Sentence that names the words that were found.
    """

    reason: str


Kind = Transactional | Standalone | Savepoint | Uncarried


@functools.lru_cache(maxsize=SHAPES_CACHED)
def kind_of(sql: str) -> Kind:
    """Returns how the write ``sql`` must be run."""
    text = LITERAL_OR_COMMENT.sub(_blank, sql).strip("; \t\r\n")
    text = text.lstrip("( \t\r\n")
    if RECORD_TABLE.search(text):
        return Uncarried("heatherpier_requests is kept by the proxy")
    if "/*!" in text:
        return Uncarried("a versioned comment /*! ... */ can't be classified")
    if ";" in text:
        return Uncarried("expected one statement, found ';' inside")
    if found := SESSION_STATE.search(text):
        return Uncarried(f"{found[1].upper()}() belongs to one upstream connection")
    if found := USER_VARIABLE.search(text):
        return Uncarried(f"variable {found[0]} would not follow the caller")
    if found := TEMPORARY.match(text):
        return Uncarried(f"{found[0].upper()} would not follow the caller")
    return _kind_by_word(text.split(None, 1)[0].upper() if text else "")


def _blank(found: re.Match[str]) -> str:
    return "?" if found["literal"] else " "


def _kind_by_word(word: str) -> Kind:
    if word in TRANSACTIONAL_WORDS:
        return Transactional()
    if word in STANDALONE_WORDS:
        return Standalone()
    if word in SAVEPOINT_WORDS:
        return Savepoint()
    return Uncarried(f"{word or 'an empty statement'} is not carried by the proxy")
