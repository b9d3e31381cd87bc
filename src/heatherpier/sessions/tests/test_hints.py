"""Tests of hints: their sources, precedence and values."""

import pytest

from heatherpier.requests import Priority
from heatherpier.sessions import (
    InvalidHintError,
    SessionHints,
    parse_attributes,
    split_comment,
)


@pytest.mark.parametrize(
    ("name", "text", "value"),
    [
        ("token", "abc=", "abc="),
        ("session", "desk-7", "desk-7"),
        ("key", "claim-7", "claim-7"),
        ("repeatable", "on", True),
        ("repeatable", "0", False),
        ("max_age_ms", "0", 0),
        ("deadline_ms", "600000", 600_000),
        ("priority", "batch", Priority.BATCH),
        ("trace", "00-4bf9-00f0-01", "00-4bf9-00f0-01"),
        ("key", "null", None),
    ],
)
def test_value_is_parsed_to_its_type(name, text, value):
    assert getattr(SessionHints().with_value(name, text), name) == value


@pytest.mark.parametrize(
    ("name", "text", "expected"),
    [
        ("max_age", "5", "unknown hint 'max_age', expected one of token"),
        ("max_age_ms", "-1", "'-1', expected a whole number from 0 to 86400000"),
        ("max_age_ms", "٣", "expected a whole number"),
        ("max_age_ms", "1e3", "'1e3', expected a whole number"),
        ("deadline_ms", "0", "'0', expected a whole number from 1 to 600000"),
        ("deadline_ms", "9" * 5000, "expected a whole number"),
        ("repeatable", "maybe", "'maybe', expected true or false"),
        ("priority", "urgent", "'urgent', expected one of write, session_read"),
        ("key", "two words", "'two words', expected 1 to 128 printable"),
        ("session", "s" * 129, "expected 1 to 128 printable"),
        ("trace", "", "'', expected 1 to 128 printable"),
    ],
)
def test_error_names_the_value_and_what_was_expected(name, text, expected):
    with pytest.raises(InvalidHintError, match=expected.replace("(", r"\(")):
        SessionHints().with_value(name, text)


def test_attributes_are_parsed_with_and_without_prefix():
    hints = parse_attributes({"heatherpier_key": "k", "max_age_ms": "9"})
    assert hints == SessionHints(key="k", max_age_ms=9)


def test_trace_attributes_of_drivers_are_accepted():
    hints = parse_attributes({"traceparent": "00-1-2-01", "tracestate": "x=,y"})
    assert hints == SessionHints(trace="00-1-2-01")


@pytest.mark.parametrize(
    ("sql", "rest", "hints"),
    [
        ("SELECT 1", "SELECT 1", SessionHints()),
        ("/* other */ SELECT 1", "/* other */ SELECT 1", SessionHints()),
        (
            " /* heatherpier: key='k-1'  max_age_ms=5 */\nSELECT 1",
            "SELECT 1",
            SessionHints(key="k-1", max_age_ms=5),
        ),
        ("/*heatherpier:*/ SELECT 1", "SELECT 1", SessionHints()),
    ],
)
def test_leading_comment_is_split_off(sql, rest, hints):
    split = split_comment(sql)
    assert (split.sql, split.hints) == (rest, hints)


@pytest.mark.parametrize("body", ["key", "key=a b", "colour=red"])
def test_malformed_comment_is_rejected(body):
    with pytest.raises(InvalidHintError):
        split_comment(f"/* heatherpier: {body} */ SELECT 1")


def test_later_hints_override_earlier_ones():
    first = SessionHints(key="a", max_age_ms=5)
    assert first.overridden(SessionHints(key="b")) == SessionHints(
        key="b", max_age_ms=5
    )


def test_unterminated_comment_of_spaces_takes_linear_time():
    sql = "/* heatherpier: a" + " " * 500_000 + "b"
    assert split_comment(sql).sql == sql
