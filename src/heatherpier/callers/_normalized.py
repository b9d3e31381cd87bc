"""Normalizes statements and classifies the normalized text."""

import functools
import re

import sqlglot
from sqlglot import expressions as exp

from heatherpier.callers._functions import (
    KEYWORDS,
    LOCK_FUNCTIONS,
    SIDE_EFFECT_FREE_FUNCTIONS,
)
from heatherpier.callers._kinds import Kind, Read, Unsupported, Write

CACHED_CLASSIFICATIONS = 4096
MAX_CACHED_CHARS = 4096
# A longer query is not parsed, so it is classified as a write.
MAX_PARSED_CHARS = 16_384

# An unterminated token extends to the end of the text, so no part is scanned twice and
# matching takes linear time.
TOKEN = re.compile(
    r"""
      (?P<keep>`[^`]*+(?:`|\Z))
    | (?P<executable>/\*!\d*(?:.*?)(?:\*/|\Z))
    | (?P<comment>/\*.*?(?:\*/|\Z) | --(?=\s|\Z)[^\n]*+ | \#[^\n]*+)
    | (?P<string>'(?:[^'\\]|\\.|'')*+(?:'|\\?\Z) | "(?:[^"\\]|\\.|"")*+(?:"|\\?\Z))
    | (?P<number>(?<![\w$.])\d++(?:\.\d++)?\b)
    | (?P<space>\s++)
    """,
    re.S | re.X,
)
EXECUTABLE = re.compile(r"/\*!\d*(.*?)(?:\*/|\Z)", re.S)
FIRST_WORD = re.compile(r"\W*(\w+)(?:\s+(\w+))?")
# Name before a parenthesis, quoted or not, and the dot before it if it is qualified.
CALLED_NAME = re.compile(r"(\.?) ?(`[^`]*+`|(?<![\w$])[\w$]++) ?\(")
USER_VARIABLE = re.compile(r"(?<![@\w])@(?!@)[\w`'\"$.]{1,64}")
TABLE_NAME = re.compile(r"[\w`$.]+(?:\s+[\w`$%']+)?\s*;?\s*$")
EXPLAIN = re.compile(r"\W*\w+\s+(?:ANALYZE\s+)?(?:FORMAT\s*=\s*\w+\s+)?", re.I)
TEMPORARY = re.compile(r"(?:CREATE|DROP)\s+TEMPORARY\b", re.I)
GROUP_CONTROL = re.compile(r"CALL\s+(?:[\w`]+\s*\.\s*)?`?group_", re.I)

ALLOWED_NAMES = SIDE_EFFECT_FREE_FUNCTIONS | KEYWORDS
SIDE_EFFECTS = (
    exp.Lock,
    exp.Into,
    exp.Insert,
    exp.Update,
    exp.Delete,
    exp.Command,
    exp.SessionParameter,
)
QUERY_WORDS = frozenset({"SELECT", "WITH", "VALUES", "TABLE"})
WRITE_WORDS = frozenset(
    [
        "INSERT",
        "UPDATE",
        "DELETE",
        "REPLACE",
        "CREATE",
        "ALTER",
        "DROP",
        "TRUNCATE",
        "RENAME",
        "CALL",
        "ANALYZE",
        "OPTIMIZE",
        "GRANT",
        "REVOKE",
        "DO",
    ]
)
METADATA_WORDS = frozenset(
    [
        "TABLES",
        "FULL",
        "EXTENDED",
        "COLUMNS",
        "FIELDS",
        "INDEX",
        "INDEXES",
        "KEYS",
        "CREATE",
        "TABLE",
        "DATABASES",
        "SCHEMAS",
        "COLLATION",
        "CHARACTER",
        "CHARSET",
        "ENGINES",
        "TRIGGERS",
        "PROCEDURE",
        "FUNCTION",
        "EVENTS",
        "PLUGINS",
        "WARNINGS",
        "ERRORS",
    ]
)

BOUND_TO_CONNECTION = (
    "is bound to one connection, but the next statement may run on another"
)


def normalize(sql: str) -> str:
    """Returns ``sql`` without comments and with constants in place of literals.

    Executable comments (``/*! ... */``) stay as they are.
    """
    return TOKEN.sub(_replace_token, sql).strip()


def _replace_token(found: re.Match[str]) -> str:
    match found.lastgroup:
        case "string":
            return "'0'"
        case "number":
            return "0"
        case "comment" | "space":
            return " "
        case _:
            return found[0]


def classify_normalized(text: str) -> Kind:
    """Returns whether a normalized statement is a read, a write or unsupported.

    Args:
        text: Statement as `normalize` returns it.
    """
    if len(text) > MAX_CACHED_CHARS:
        return _classify_uncached(text)
    return _classify_cached(text)


@functools.lru_cache(maxsize=CACHED_CLASSIFICATIONS)
def _classify_cached(text: str) -> Kind:
    return _classify_uncached(text)


def _classify_uncached(text: str) -> Kind:
    if "/*!" not in text:
        return _classify(text)
    kind = _classify(EXECUTABLE.sub(r" \1 ", text).strip())
    # The instance runs the body or not, depending on its version, so the statement is
    # not surely a read.
    return Write() if kind == Read() else kind


def _classify(text: str) -> Kind:
    found = FIRST_WORD.match(text)
    word = found[1].upper() if found else ""
    second = (found[2] or "").upper() if found else ""
    if not word:
        return Unsupported("the statement is empty")
    if ";" in text.rstrip("; \t\r\n"):
        return Unsupported("expected one statement, got several")
    if GROUP_CONTROL.match(text):
        return Unsupported(
            "procedures that control a database group are not open to callers"
        )
    if TEMPORARY.match(text):
        return Unsupported(f"a temporary table {BOUND_TO_CONNECTION}")
    if word in QUERY_WORDS:
        return _classify_query(text)
    if word in WRITE_WORDS:
        return _classify_write(text)
    if word in ("SHOW", "DESCRIBE", "DESC", "EXPLAIN"):
        return _classify_metadata_statement(text, word, second)
    if word == "SET":
        return Unsupported(f"SET of a session variable {BOUND_TO_CONNECTION}")
    return Unsupported(f"a statement that begins with {word[:20]!r} is not supported")


def _classify_metadata_statement(text: str, word: str, second: str) -> Kind:
    if word == "SHOW":
        if second in METADATA_WORDS:
            return Read()
        return Unsupported(f"SHOW {second[:20]} describes only one instance")
    body = EXPLAIN.sub("", text, count=1)
    found = FIRST_WORD.match(body)
    if found and found[1].upper() in QUERY_WORDS:
        return _classify_query(body)
    return Read() if TABLE_NAME.match(body) else Write()


def _classify_write(text: str) -> Kind:
    return _find_unsupported_call(text) or _find_unsupported_variable(text) or Write()


def _classify_query(text: str) -> Kind:
    unsupported = _find_unsupported_call(text) or _find_unsupported_variable(text)
    if unsupported is not None:
        return unsupported
    return Read() if _is_plain_read(text) else Write()


def _find_unsupported_call(text: str) -> Unsupported | None:
    for name in LOCK_FUNCTIONS:
        if re.search(rf"\b{name}\s*\(", text, re.I):
            return Unsupported(
                f"{name} is not supported, since its lock {BOUND_TO_CONNECTION}"
            )
    return None


def _find_unsupported_variable(text: str) -> Unsupported | None:
    found = USER_VARIABLE.search(text)
    if found is None:
        return None
    return Unsupported(f"user variable {found[0][:40]!r} {BOUND_TO_CONNECTION}")


def _is_plain_read(text: str) -> bool:
    if len(text) > MAX_PARSED_CHARS:
        return False
    names = CALLED_NAME.findall(text)
    if any(dot or name.upper() not in ALLOWED_NAMES for dot, name in names):
        return False
    try:
        tree = sqlglot.parse_one(text, read="mysql")
    except (sqlglot.errors.SqlglotError, RecursionError):
        return False
    if not isinstance(tree, exp.Query | exp.Values):
        return False
    return tree.find(*SIDE_EFFECTS) is None
