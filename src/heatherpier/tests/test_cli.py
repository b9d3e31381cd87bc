"""Tests the output and exit codes of the command line."""

import json
from pathlib import Path

import pytest

from heatherpier._cli import main

EXAMPLES = Path(__file__).parents[3] / "examples"


def run(capsys, *argv):
    with pytest.raises(SystemExit) as caught:
        main(list(argv))
    captured = capsys.readouterr()
    return caught.value.code, captured.out, captured.err


def test_check_accepts_a_valid_document(capsys):
    code, out, _ = run(capsys, "check", str(EXAMPLES / "document.json"))
    assert (code, out) == (0, "valid: 1 services\n")


@pytest.mark.parametrize(
    ("argv", "expected", "words"),
    [
        (["check", "no-such-file"], 2, "no-such-file: can't be read"),
        (["check", str(EXAMPLES / "proxy.json")], 2, "services: is missing"),
        (["proxy", "--settings=no-such-file"], 2, "no-such-file"),
        (["status", "--admin=127.0.0.1:1"], 1, "no status from '127.0.0.1:1'"),
    ],
)
def test_error_is_one_line_that_names_the_value(capsys, argv, expected, words):
    code, out, err = run(capsys, *argv)
    assert code == expected
    assert out == ""
    assert err.count("\n") == 1
    assert words in err


@pytest.mark.parametrize("name", ["settings", "document"])
def test_schema_is_json(capsys, name):
    code, out, _ = run(capsys, "schema", name)
    assert code == 0
    assert json.loads(out)["type"] == "object"


def test_wrong_arguments_exit_with_code_2(capsys):
    code, _, err = run(capsys, "no-such-command")
    assert code == 2
    assert "Usage:" in err


def test_help_shows_examples(capsys):
    code, out, _ = run(capsys, "--help")
    assert not code
    assert "Examples:" in out
