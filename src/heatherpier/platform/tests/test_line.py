import pytest

from heatherpier.platform._errors import MalformedLineError
from heatherpier.platform._line import (
    CODES,
    format_failure,
    format_min_position,
    format_position,
    format_ready,
    parse_failure,
    parse_position,
    parse_ready,
    parse_statement,
)
from heatherpier.positions import LogPosition
from heatherpier.statements import (
    Access,
    Begin,
    Code,
    Commit,
    Deallocate,
    Execute,
    Failed,
    Prepare,
    Read,
    Rollback,
    SessionState,
    SetValue,
    Unknown,
    Write,
)

STATEMENTS = {
    "BEGIN": Begin(read_only=False),
    "BEGIN READ": Begin(read_only=True),
    "COMMIT": Commit(),
    "ROLLBACK": Rollback(),
    "READ 1a4": Read(),
    "WRITE 1a4 some data": Write(),
    "SET tenant t 1": SetValue(name="tenant", value="t 1"),
    "PREPARE s1 WRITE q2c": Prepare(name="s1", access=Access.WRITE, shape="q2c"),
    "EXEC s1 1a4 data": Execute(name="s1", arguments="1a4 data"),
    "EXEC s1": Execute(name="s1", arguments=""),
    "DEALLOC s1": Deallocate(name="s1"),
}
MALFORMED = ["", "READ", "WRITE", "SET tenant", "PREPARE s1 q2c", "EXEC", "DEALLOC"]
MALFORMED += ["BEGIN WRITE", "COMMIT now", "AFTER 1.2 READ a", "STATUS", "read a"]


@pytest.mark.parametrize(("text", "statement"), STATEMENTS.items())
def test_statements_are_parsed(text, statement):
    assert parse_statement(text) == statement


@pytest.mark.parametrize("text", MALFORMED)
def test_malformed_statements_are_unknown(text):
    assert isinstance(parse_statement(text), Unknown)


@pytest.mark.parametrize("text", ["3.1207", "-"])
def test_positions_survive_a_round_trip(text):
    assert format_position(parse_position(text)) == text


@pytest.mark.parametrize("text", ["", "3", "3.", ".7", "3.x", "-1.2", "3.1.2"])
def test_malformed_positions_are_rejected(text):
    with pytest.raises(MalformedLineError, match="position"):
        parse_position(text)


@pytest.mark.parametrize("state", SessionState)
def test_ready_message_survives_a_round_trip(state):
    position = LogPosition(3, 7)
    word, _, fields = format_ready(state, position).partition(" ")
    assert word == "READY"
    ready = parse_ready(fields)
    assert (ready.state, ready.position) == (state, position)


def test_unknown_state_is_rejected():
    with pytest.raises(MalformedLineError, match="state"):
        parse_ready("X 1.2")


@pytest.mark.parametrize("code", CODES.values())
def test_codes_survive_a_round_trip(code):
    text = format_failure(Failed(code=code, reason="why"))
    assert parse_failure(text.removeprefix("ERR ")) == Failed(code=code, reason="why")


def test_unknown_code_counts_as_failed():
    assert parse_failure("NEWCODE what").code is Code.FAILED


def test_failure_states_when_to_retry():
    failure = Failed(code=Code.OVERLOADED, reason="full", retry_after_ms=50)
    assert format_failure(failure) == "ERR OVERLOAD full; retry after 50 ms"


def test_minimum_position_precedes_the_text():
    assert format_min_position(LogPosition(3, 7), "READ a") == "AFTER 3.7 READ a"
    assert format_min_position(None, "READ a") == "READ a"
