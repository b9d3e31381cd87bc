"""Sorts a caller's statements by how they must be served."""

import re
from dataclasses import dataclass

from heatherpier.callers._kinds import Read, Unsupported, Write
from heatherpier.callers._shapes import classify_shape, shape_of
from heatherpier.callers._transactions import (
    Begin,
    Commit,
    Rollback,
    Savepoint,
    UnknownForm,
    classify_transaction,
)

HINT_CHARS = 8192
HINT = re.compile(r"SET\s+@heatherpier_(\w+)\s*:?=\s*(.+?)\s*;?\s*$", re.I | re.S)
TOKEN = re.compile(r"SELECT\s+@heatherpier_token\s*;?\s*$", re.I)
AUTOCOMMIT = re.compile(
    r"SET\s+(?:SESSION\s+|@@(?:session\.)?)?autocommit\s*=\s*"
    r"(?:(1|ON|TRUE)|0|OFF|FALSE)\s*;?\s*$",
    re.I,
)
COMMENTS = re.compile(r"(?:\s+|/\*(?!!).*?\*/|(?:--\s|#)[^\n]*\n)+", re.S)
HARMLESS_SET = re.compile(r"SET\s+(NAMES|CHARACTER\s+SET)\b", re.I)


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
    if len(text) <= HINT_CHARS and (found := HINT.match(text)):
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
    return classify_shape(shape_of(text))
