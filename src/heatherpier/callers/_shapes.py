"""Sorts statements by their text without comments and literals."""

import functools
import re

import sqlglot
from sqlglot import expressions as exp

from heatherpier.callers._functions import (
    CONNECTION_FUNCTIONS,
    KEYWORDS,
    PURE_FUNCTIONS,
)
from heatherpier.callers._kinds import Kind, Read, Unsupported, Write

SHAPES_CACHED = 4096
CACHED_SHAPE_CHARS = 4096
# A longer query is not parsed, so it is not surely a read.
PARSED_SHAPE_CHARS = 16_384

# What has no end runs to the end of the text, so that one pass is enough.
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
# Names before a parenthesis, quoted ones too, with the dot of a qualified one.
CALLED = re.compile(r"(\.?) ?(`[^`]*+`|(?<![\w$])[\w$]++) ?\(")
USER_VARIABLE = re.compile(r"(?<![@\w])@(?!@)[\w`'\"$.]{1,64}")
TABLE_NAME = re.compile(r"[\w`$.]+(?:\s+[\w`$%']+)?\s*;?\s*$")
EXPLAIN = re.compile(r"\W*\w+\s+(?:ANALYZE\s+)?(?:FORMAT\s*=\s*\w+\s+)?", re.I)
TEMPORARY = re.compile(r"(?:CREATE|DROP)\s+TEMPORARY\b", re.I)
CONTROL = re.compile(r"CALL\s+(?:[\w`]+\s*\.\s*)?`?group_", re.I)

PLAIN_NAMES = PURE_FUNCTIONS | KEYWORDS
SIDE_EFFECTS = (
    exp.Lock,
    exp.Into,
    exp.Insert,
    exp.Update,
    exp.Delete,
    exp.Command,
    exp.SessionParameter,
)
PARSED_WORDS = frozenset({"SELECT", "WITH", "VALUES", "TABLE"})
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

NOT_CARRIED = "would not follow the caller from one connection to the next"


def shape_of(sql: str) -> str:
    """Returns ``sql`` without comments, with all literals replaced alike.

    The body of an executable comment stays, marked by a ``/*!``.
    """
    return TOKEN.sub(_shorten, sql).strip()


def _shorten(found: re.Match[str]) -> str:
    match found.lastgroup:
        case "string":
            return "'0'"
        case "number":
            return "0"
        case "comment" | "space":
            return " "
        case _:
            return found[0]


def classify_shape(shape: str) -> Kind:
    """Returns how a statement of this shape must be served."""
    if len(shape) > CACHED_SHAPE_CHARS:
        return _classify_any(shape)
    return _classify_cached(shape)


@functools.lru_cache(maxsize=SHAPES_CACHED)
def _classify_cached(shape: str) -> Kind:
    return _classify_any(shape)


def _classify_any(shape: str) -> Kind:
    if "/*!" not in shape:
        return _classify(shape)
    kind = _classify(EXECUTABLE.sub(r" \1 ", shape).strip())
    # An instance may or may not run the body, depending on its version.
    return Write() if kind == Read() else kind


def _classify(text: str) -> Kind:
    found = FIRST_WORD.match(text)
    word = found[1].upper() if found else ""
    second = (found[2] or "").upper() if found else ""
    if not word:
        return Unsupported("the statement is empty")
    if ";" in text.rstrip("; \t\r\n"):
        return Unsupported("expected one statement, got more")
    if CONTROL.match(text):
        return Unsupported("control statements of a group are not open to callers")
    if TEMPORARY.match(text):
        return Unsupported(f"a temporary table {NOT_CARRIED}")
    if word in PARSED_WORDS:
        return _classify_query(text)
    if word in WRITE_WORDS:
        return _classify_write(text)
    if word in ("SHOW", "DESCRIBE", "DESC", "EXPLAIN"):
        return _classify_inquiry(text, word, second)
    if word == "SET":
        return Unsupported(f"SET of a session variable {NOT_CARRIED}")
    return Unsupported(f"a statement that begins with {word[:20]!r} is not served")


def _classify_inquiry(text: str, word: str, second: str) -> Kind:
    if word == "SHOW":
        if second in METADATA_WORDS:
            return Read()
        return Unsupported(f"SHOW {second[:20]} tells of one instance only")
    body = EXPLAIN.sub("", text, count=1)
    found = FIRST_WORD.match(body)
    if found and found[1].upper() in PARSED_WORDS:
        return _classify_query(body)
    return Read() if TABLE_NAME.match(body) else Write()


def _classify_write(text: str) -> Kind:
    return _refused_call(text) or _refused_variable(text) or Write()


def _classify_query(text: str) -> Kind:
    refused = _refused_call(text) or _refused_variable(text)
    if refused is not None:
        return refused
    return Read() if _is_plain(text) else Write()


def _refused_call(text: str) -> Unsupported | None:
    for name in CONNECTION_FUNCTIONS:
        if re.search(rf"\b{name}\s*\(", text, re.I):
            return Unsupported(f"{name} is not served, since its lock {NOT_CARRIED}")
    return None


def _refused_variable(text: str) -> Unsupported | None:
    found = USER_VARIABLE.search(text)
    if found is None:
        return None
    return Unsupported(f"user variable {found[0][:40]!r} {NOT_CARRIED}")


def _is_plain(text: str) -> bool:
    if len(text) > PARSED_SHAPE_CHARS:
        return False
    names = CALLED.findall(text)
    if any(dot or name.upper() not in PLAIN_NAMES for dot, name in names):
        return False
    try:
        tree = sqlglot.parse_one(text, read="mysql")
    except (sqlglot.errors.SqlglotError, RecursionError):
        return False
    if not isinstance(tree, exp.Query | exp.Values):
        return False
    return tree.find(*SIDE_EFFECTS) is None
