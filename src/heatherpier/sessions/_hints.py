"""Hints: what a caller says about its session or about one statement."""

import re
from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from typing import Any

from heatherpier.requests import Priority
from heatherpier.sessions._errors import InvalidHintError

PREFIX = "heatherpier_"
COMMENT = re.compile(r"\s*/\*\s*heatherpier:(.*?)\*/\s*", re.S | re.I)
NAME_CHARS = re.compile(r"[\x21-\x7e]+")
MAX_NAME_CHARS = 128
MAX_AGE_LIMIT_MS = 86_400_000
DEADLINE_LIMIT_MS = 600_000
WALL_TIME_LIMIT_MS = 9_999_999_999_999
FLAGS = {"1": True, "true": True, "on": True, "0": False, "false": False, "off": False}
SHOWN_CHARS = 40
# Drivers add these attributes by themselves when the application is traced.
TRACE_ATTRIBUTE = "traceparent"
IGNORED_ATTRIBUTES = frozenset({"tracestate"})


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionHints:
    """What a caller has said; None stands for a hint that is not given.

    Attributes:
        token: Session token, as text.
        session: Name of the session.
        key: Idempotency key of one statement.
        key_made_ms: Wall time in milliseconds at which the caller made the key.
        repeatable: Whether the statement may run more than once.
        max_age_ms: Largest age of a read in milliseconds.
        deadline_ms: Time in milliseconds that the statement may take.
        priority: Priority class.
        trace: Trace id.
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
        """Returns these hints with those that ``other`` gives in their place."""
        given = {
            item.name: value
            for item in fields(other)
            if (value := getattr(other, item.name)) is not None
        }
        return replace(self, **given)

    def with_value(self, name: str, text: str) -> "SessionHints":
        """Returns these hints with one set from its text.

        The word ``NULL`` takes the hint back.

        Raises:
            InvalidHintError: The name is unknown or the value is not allowed.
        """
        if name not in HINT_NAMES:
            expected = ", ".join(HINT_NAMES)
            raise InvalidHintError(f"unknown hint {name!r}, expected one of {expected}")
        changes: dict[str, Any] = {name: _parse(name, text)}
        return replace(self, **changes)


HINT_NAMES = tuple(item.name for item in fields(SessionHints))


def parse_attributes(attributes: Mapping[str, str]) -> SessionHints:
    """Returns the hints of a statement's query attributes.

    Names may carry the prefix ``heatherpier_``.

    Raises:
        InvalidHintError: A name is unknown or a value is not allowed.
    """
    hints = SessionHints()
    for name, value in attributes.items():
        if name in IGNORED_ATTRIBUTES:
            continue
        known = "trace" if name == TRACE_ATTRIBUTE else name.removeprefix(PREFIX)
        hints = hints.with_value(known, str(value))
    return hints


@dataclass(frozen=True, slots=True)
class CommentedStatement:
    """A statement without its leading comment, and the hints of that comment."""

    sql: str
    hints: SessionHints


def split_comment(sql: str) -> CommentedStatement:
    """Takes a leading comment such as ``/* heatherpier: key=claim-7 */`` off.

    Raises:
        InvalidHintError: A part of the comment is not an allowed ``name=value``.
    """
    found = COMMENT.match(sql)
    if found is None:
        return CommentedStatement(sql, SessionHints())
    hints = SessionHints()
    for part in found[1].split():
        name, separator, value = part.partition("=")
        if not separator:
            raise InvalidHintError(f"hint {part[:SHOWN_CHARS]!r}, expected name=value")
        hints = hints.with_value(name, value.strip("'\""))
    return CommentedStatement(sql[found.end() :], hints)


def _parse(name: str, text: str) -> str | int | bool | None:
    if text.upper() == "NULL":
        return None
    match name:
        case "repeatable":
            return _flag(name, text)
        case "max_age_ms":
            return _number(name, text, 0, MAX_AGE_LIMIT_MS)
        case "key_made_ms":
            return _number(name, text, 0, WALL_TIME_LIMIT_MS)
        case "deadline_ms":
            return _number(name, text, 1, DEADLINE_LIMIT_MS)
        case "priority":
            return _priority(text)
        case "token":
            return text
        case _:
            return _name(name, text)


def _number(name: str, text: str, least: int, most: int) -> int:
    # isdecimal alone would let other scripts' digits through.
    valid = text.isascii() and text.isdecimal() and len(text) <= len(str(most))
    if not valid or not least <= int(text) <= most:
        raise InvalidHintError(
            f"{name} {text[:SHOWN_CHARS]!r}, expected a whole number from {least} to {most}"
        )
    return int(text)


def _flag(name: str, text: str) -> bool:
    value = FLAGS.get(text.lower())
    if value is None:
        raise InvalidHintError(f"{name} {text[:SHOWN_CHARS]!r}, expected true or false")
    return value


def _priority(text: str) -> Priority:
    names = {item.name.lower(): item for item in Priority}
    value = names.get(text.lower())
    if value is None:
        raise InvalidHintError(
            f"priority {text[:SHOWN_CHARS]!r}, expected one of {', '.join(names)}"
        )
    return value


def _name(name: str, text: str) -> str:
    if len(text) > MAX_NAME_CHARS or not NAME_CHARS.fullmatch(text):
        raise InvalidHintError(
            f"{name} {text[:SHOWN_CHARS]!r}, expected 1 to {MAX_NAME_CHARS} "
            "printable ASCII characters without spaces"
        )
    return text
