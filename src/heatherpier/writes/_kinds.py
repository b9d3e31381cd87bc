"""Classifies writes by whether they can share a transaction with their record."""

import functools
import re
from dataclasses import dataclass

TRANSACTIONAL_KEYWORDS = frozenset(
    {"INSERT", "UPDATE", "DELETE", "REPLACE", "SELECT", "WITH", "VALUES", "TABLE"}
)
STANDALONE_KEYWORDS = frozenset(
    {"CREATE", "ALTER", "DROP", "TRUNCATE", "RENAME", "ANALYZE", "OPTIMIZE"}
)
KIND_CACHE_ENTRIES = 4096

# The patterns below must not match words in literals and comments, which are
# replaced first. Versioned comments /*! ... */ stay, since MySQL executes them.
LITERAL_OR_COMMENT_PATTERN = re.compile(
    r"(?P<literal>'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\")"
    r"|/\*(?!!).*?\*/|(?:--\s|#)[^\n]*",
    re.DOTALL,
)
RECORD_TABLE_PATTERN = re.compile(r"\bheatherpier_requests\b", re.IGNORECASE)
SESSION_STATE_PATTERN = re.compile(
    r"\b(GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS|LAST_INSERT_ID|FOUND_ROWS|ROW_COUNT"
    r"|CONNECTION_ID)\s*\(",
    re.IGNORECASE,
)
USER_VARIABLE_PATTERN = re.compile(r"(?<![\w@])@[\w.$]+")
TEMPORARY_TABLE_PATTERN = re.compile(r"(CREATE|DROP)\s+TEMPORARY\b", re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class Transactional:
    """A write that runs in a transaction and can be rolled back."""


@dataclass(frozen=True, slots=True)
class Standalone:
    """A write that commits implicitly, as DDL does, without its request record."""


@dataclass(frozen=True, slots=True)
class Unsupported:
    """A write that would leave state on an upstream connection, or is unclassifiable.

    Attributes:
        reason: Reason for the caller; names the words that were found.
    """

    reason: str


WriteKind = Transactional | Standalone | Unsupported


@functools.lru_cache(maxsize=KIND_CACHE_ENTRIES)
def classify_write(sql: str) -> WriteKind:
    """Classifies the write ``sql`` by how it must be run."""
    text = LITERAL_OR_COMMENT_PATTERN.sub(_blank_out, sql).strip("; \t\r\n")
    text = text.lstrip("( \t\r\n")
    if RECORD_TABLE_PATTERN.search(text):
        return Unsupported("table heatherpier_requests is reserved for the proxy")
    if "/*!" in text:
        return Unsupported("a versioned comment /*! ... */ can't be classified")
    if ";" in text:
        return Unsupported("expected one statement, found ';' inside")
    if found := SESSION_STATE_PATTERN.search(text):
        return Unsupported(f"{found[1].upper()}() belongs to one upstream connection")
    if found := USER_VARIABLE_PATTERN.search(text):
        return Unsupported(f"user variable {found[0]} would stay on one connection")
    if found := TEMPORARY_TABLE_PATTERN.match(text):
        return Unsupported(f"{found[0].upper()} would stay on one connection")
    return _classify_by_keyword(text.split(None, 1)[0].upper() if text else "")


def _blank_out(found: re.Match[str]) -> str:
    return "?" if found["literal"] else " "


def _classify_by_keyword(word: str) -> WriteKind:
    if word in TRANSACTIONAL_KEYWORDS:
        return Transactional()
    if word in STANDALONE_KEYWORDS:
        return Standalone()
    return Unsupported(f"{word or 'an empty statement'} is not supported by the proxy")
