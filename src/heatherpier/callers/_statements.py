"""Sorts a caller's statements by how they must be served."""

import functools
import re
from dataclasses import dataclass

import sqlglot
from sqlglot import expressions as exp

from heatherpier.callers._transactions import (
    Begin,
    Commit,
    Rollback,
    Savepoint,
    UnknownForm,
    classify_transaction,
)

HINT = re.compile(r"SET\s+@heatherpier_(\w+)\s*:?=\s*(.+?)\s*;?\s*$", re.I | re.S)
TOKEN = re.compile(r"SELECT\s+@heatherpier_token\s*;?\s*$", re.I)
AUTOCOMMIT = re.compile(
    r"SET\s+(?:SESSION\s+|@@(?:session\.)?)?autocommit\s*=\s*"
    r"(?:(1|ON|TRUE)|0|OFF|FALSE)\s*;?\s*$",
    re.I,
)
COMMENTS = re.compile(r"(?:\s+|/\*(?!!).*?\*/|(?:--\s|#)[^\n]*\n)+", re.S)
LITERAL = re.compile(r"'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\"|\b\d+\b")
HARMLESS_SET = re.compile(r"SET\s+(NAMES|CHARACTER\s+SET)\b", re.I)
SHAPES_CACHED = 4096


@dataclass(frozen=True, slots=True)
class Read:
    """A statement that surely changes nothing and holds no lock."""


@dataclass(frozen=True, slots=True)
class Write:
    """Any statement that is not surely a plain read."""


@dataclass(frozen=True, slots=True)
class SetAutocommit:
    """Turns autocommit on or off for the caller's connection."""

    on: bool


@dataclass(frozen=True, slots=True)
class SetHint:
    """Sets a hint for the caller's connection."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class SelectToken:
    """Asks for the session token."""


@dataclass(frozen=True, slots=True)
class Ignored:
    """Sets something that changes no answer."""


@dataclass(frozen=True, slots=True)
class Unsupported:
    """A statement that can't be carried over to an instance."""

    reason: str


Statement = (
    Read
    | Write
    | Begin
    | Commit
    | Rollback
    | Savepoint
    | SetAutocommit
    | SetHint
    | SelectToken
    | Ignored
    | Unsupported
)


def classify(sql: str) -> Statement:
    """Returns how ``sql`` must be served."""
    text = sql.strip()
    if comments := COMMENTS.match(text):
        text = text[comments.end() :]
    if TOKEN.match(text):
        return SelectToken()
    if found := HINT.match(text):
        return SetHint(found[1].lower(), found[2].strip("'\""))
    if found := AUTOCOMMIT.match(text):
        return SetAutocommit(found[1] is not None)
    if HARMLESS_SET.match(text):
        return Ignored()
    transaction = classify_transaction(text)
    if isinstance(transaction, UnknownForm):
        return Unsupported(f"{text[:60]!r} is not a form that the proxy serves")
    if transaction is not None:
        return transaction
    return _classify_shape(LITERAL.sub("0", text))


@functools.lru_cache(maxsize=SHAPES_CACHED)
def _classify_shape(text: str) -> Statement:
    try:
        parsed = [item for item in sqlglot.parse(text, read="mysql") if item]
    except sqlglot.errors.SqlglotError:
        return Write()
    if len(parsed) != 1:
        return Unsupported(f"expected one statement, got {len(parsed)}")
    return _classify_expression(parsed[0])


def _classify_expression(tree: exp.Expression) -> Statement:
    match tree:
        case exp.Transaction() | exp.Commit() | exp.Rollback():
            return Unsupported("a transaction statement of a form not served")
        case exp.Set():
            return Unsupported("SET of a session variable would not follow the caller")
        case exp.Select() | exp.Union() if _is_plain(tree):
            return Read()
        case _:
            return Write()


def _is_plain(tree: exp.Expression) -> bool:
    side_effects = (
        exp.Lock,
        exp.Into,
        exp.Anonymous,
        exp.Parameter,
        exp.Insert,
        exp.Update,
        exp.Delete,
    )
    return tree.find(*side_effects) is None
