"""Classifies the statements of callers."""

import re
from dataclasses import dataclass

from heatherpier.callers._kinds import Read, Unsupported, Write
from heatherpier.callers._normalized import classify_normalized, normalize
from heatherpier.callers._transactions import (
    Begin,
    Commit,
    Rollback,
    Savepoint,
    UnsupportedForm,
    classify_transaction,
)

MAX_HINT_CHARS = 8192
# The value is a string or one word, so that nothing behind it is taken for its end.
SET_HINT = re.compile(
    r"""SET\s+@heatherpier_(\w+)\s*:?=\s*(?:'([^']*)'|"([^"]*)"|([^\s,;'"]+))\s*;?\s*$""",
    re.I,
)
ANY_SET_HINT = re.compile(r"SET\s+@heatherpier_", re.I)
SELECT_TOKEN = re.compile(r"SELECT\s+@heatherpier_token\s*;?\s*$", re.I)
SET_AUTOCOMMIT = re.compile(
    r"SET\s+(?:SESSION\s+|@@(?:session\.)?)?autocommit\s*=\s*"
    r"(?:(1|ON|TRUE)|0|OFF|FALSE)\s*;?\s*$",
    re.I,
)
LEADING_COMMENTS = re.compile(r"(?:\s+|/\*(?!!).*?\*/|(?:--\s|#)[^\n]*\n)+", re.S)
SET_CHARSET = re.compile(r"SET\s+(NAMES|CHARACTER\s+SET)\b", re.I)


@dataclass(frozen=True, slots=True)
class SetAutocommit:
    """Turns autocommit on or off for the caller's connection.

    Attributes:
        on: Whether autocommit is turned on.
    """

    on: bool


@dataclass(frozen=True, slots=True)
class SetHint:
    """Sets a hint for the caller's connection.

    Attributes:
        name: Name of the hint in lower case, without the prefix ``heatherpier_``.
        value: Its value, without quotes.
    """

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class SelectToken:
    """Reads the session token."""


@dataclass(frozen=True, slots=True)
class Ignored:
    """Sets the character set, which affects no answer."""


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
    """Returns the class of a statement, by which the proxy decides how to serve it."""
    text = sql.strip()
    if comments := LEADING_COMMENTS.match(text):
        text = text[comments.end() :]
    if SELECT_TOKEN.match(text):
        return SelectToken()
    if len(text) <= MAX_HINT_CHARS and (found := SET_HINT.match(text)):
        value = next(item for item in found.groups()[1:] if item is not None)
        return SetHint(found[1].lower(), value)
    if ANY_SET_HINT.match(text):
        return Unsupported(f"{text[:60]!r}, expected SET with one hint and its value")
    if found := SET_AUTOCOMMIT.match(text):
        return SetAutocommit(found[1] is not None)
    if SET_CHARSET.match(text):
        return Ignored()
    transaction = classify_transaction(text)
    if isinstance(transaction, UnsupportedForm):
        return Unsupported(f"{text[:60]!r} is not a supported transaction statement")
    if transaction is not None:
        return transaction
    return classify_normalized(normalize(text))
