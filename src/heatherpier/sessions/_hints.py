"""Hints, by which a caller describes its session or one statement."""

import re
from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from typing import Any

from heatherpier.requests import Priority
from heatherpier.sessions._errors import InvalidHintError

ATTRIBUTE_PREFIX = "heatherpier_"
HINT_COMMENT = re.compile(r"\s*/\*\s*heatherpier:(.*?)\*/\s*", re.S | re.I)
PRINTABLE_ASCII = re.compile(r"[\x21-\x7e]+")
MAX_NAME_CHARS = 128
MAX_AGE_LIMIT_MS = 86_400_000
DEADLINE_LIMIT_MS = 600_000
WALL_TIME_LIMIT_MS = 9_999_999_999_999
FLAG_VALUES = {
    "1": True,
    "true": True,
    "on": True,
    "0": False,
    "false": False,
    "off": False,
}
MAX_QUOTED_CHARS = 40
# Drivers add the W3C Trace Context attributes when the application is traced.
TRACE_ATTRIBUTE = "traceparent"
# The second attribute of the same standard, which the proxy does not use.
IGNORED_ATTRIBUTES = frozenset({"tracestate"})


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionHints:
    """Hints of a connection or a statement. None stands for a hint that is not given.

    Attributes:
        token: Session token in its text form.
        session: Name of the session.
        key: Idempotency key of one statement.
        key_made_ms: Wall time at which the caller made the key, in milliseconds.
        repeatable: Whether the statement may run more than once.
        max_age_ms: Maximum age of the data that a read returns, in milliseconds.
        deadline_ms: Time limit of the statement, in milliseconds.
        priority: Priority class of the statement.
        trace: Trace id, for logs.
    """

    token: str | None = None
    session: str | None = None
    key: str | None = None
    key_made_ms: int | None = None
    repeatable: bool | None = None
    max_age_ms: int | None = None
    deadline_ms: int | None = None
    priority: Priority | None = None
    trace: str | None = None

    def overridden(self, other: "SessionHints") -> "SessionHints":
        """Returns these hints, replaced by those of ``other`` where it gives any."""
        given = {
            item.name: value
            for item in fields(other)
            if (value := getattr(other, item.name)) is not None
        }
        return replace(self, **given)

    def with_value(self, name: str, text: str) -> "SessionHints":
        """Returns these hints with the hint ``name`` parsed from ``text``.

        The text ``NULL``, in any letter case, unsets the hint.

        Raises:
            InvalidHintError: The name is unknown or the value is invalid.
        """
        if name not in HINT_NAMES:
            expected = ", ".join(HINT_NAMES)
            raise InvalidHintError(f"unknown hint {name!r}, expected one of {expected}")
        changes: dict[str, Any] = {name: _parse(name, text)}
        return replace(self, **changes)


HINT_NAMES = tuple(item.name for item in fields(SessionHints))


def parse_attributes(attributes: Mapping[str, str]) -> SessionHints:
    """Parses the query attributes of a statement into hints.

    Names may have the prefix ``heatherpier_``.

    Raises:
        InvalidHintError: A name is unknown or a value is invalid.
    """
    hints = SessionHints()
    for name, value in attributes.items():
        if name in IGNORED_ATTRIBUTES:
            continue
        hint_name = (
            "trace" if name == TRACE_ATTRIBUTE else name.removeprefix(ATTRIBUTE_PREFIX)
        )
        hints = hints.with_value(hint_name, str(value))
    return hints


@dataclass(frozen=True, slots=True)
class CommentedStatement:
    """A statement without its leading hint comment, and the hints of that comment."""

    sql: str
    hints: SessionHints


def split_comment(sql: str) -> CommentedStatement:
    """Splits off a leading comment such as ``/* heatherpier: key=claim-7 */``.

    Raises:
        InvalidHintError: A part of the comment is not a valid ``name=value``.
    """
    found = HINT_COMMENT.match(sql)
    if found is None:
        return CommentedStatement(sql, SessionHints())
    hints = SessionHints()
    for part in found[1].split():
        name, separator, value = part.partition("=")
        if not separator:
            raise InvalidHintError(
                f"hint {part[:MAX_QUOTED_CHARS]!r}, expected name=value"
            )
        hints = hints.with_value(name, value.strip("'\""))
    return CommentedStatement(sql[found.end() :], hints)


def _parse(name: str, text: str) -> str | int | bool | None:
    if text.upper() == "NULL":
        return None
    match name:
        case "repeatable":
            return _parse_flag(name, text)
        case "max_age_ms":
            return _parse_number(name, text, 0, MAX_AGE_LIMIT_MS)
        case "key_made_ms":
            return _parse_number(name, text, 0, WALL_TIME_LIMIT_MS)
        case "deadline_ms":
            return _parse_number(name, text, 1, DEADLINE_LIMIT_MS)
        case "priority":
            return _parse_priority(text)
        case "token":
            return text
        case _:
            return _parse_name(name, text)


def _parse_number(name: str, text: str, minimum: int, maximum: int) -> int:
    # `isdecimal` also accepts the digits of other scripts.
    valid = text.isascii() and text.isdecimal() and len(text) <= len(str(maximum))
    if not valid or not minimum <= int(text) <= maximum:
        raise InvalidHintError(
            f"{name} {text[:MAX_QUOTED_CHARS]!r}, expected a whole number "
            f"from {minimum} to {maximum}"
        )
    return int(text)


def _parse_flag(name: str, text: str) -> bool:
    value = FLAG_VALUES.get(text.lower())
    if value is None:
        raise InvalidHintError(
            f"{name} {text[:MAX_QUOTED_CHARS]!r}, expected true or false"
        )
    return value


def _parse_priority(text: str) -> Priority:
    names = {item.name.lower(): item for item in Priority}
    value = names.get(text.lower())
    if value is None:
        raise InvalidHintError(
            f"priority {text[:MAX_QUOTED_CHARS]!r}, expected one of {', '.join(names)}"
        )
    return value


def _parse_name(name: str, text: str) -> str:
    if len(text) > MAX_NAME_CHARS or not PRINTABLE_ASCII.fullmatch(text):
        raise InvalidHintError(
            f"{name} {text[:MAX_QUOTED_CHARS]!r}, expected 1 to {MAX_NAME_CHARS} "
            "printable ASCII characters without spaces"
        )
    return text
