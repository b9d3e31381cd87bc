"""``heatherpier config check`` on both file formats."""

import json
from pathlib import Path

import pytest

from heatherpier.tests.test_cli import run

EXAMPLES = Path(__file__).parents[3] / "examples"
CONFIG = {
    "version": 2,
    "routes": [
        {
            "host": "claims",
            "kind": "bounded_staleness",
            "service": "claims",
            "timeoutMs": 3015,
            "targetLatencyMs": 503,
            "priority": 1,
            "maxStalenessMs": 1500,
        }
    ],
    "services": [{"name": "claims", "maxConns": 75}],
    "tenants": [
        {"name": "north-club", "apiKeys": ["key-n"], "ratePerS": 80, "burst": 20}
    ],
}


@pytest.fixture
def write(tmp_path):
    """Returns a function that writes a configuration and returns its path."""

    def write_file(name, content):
        path = tmp_path / name
        text = content if isinstance(content, str) else json.dumps(content)
        path.write_text(text, encoding="utf-8")
        return str(path)

    return write_file


def test_clean_configuration_exits_with_0(capsys, write):
    code, out, _ = run(capsys, "config", "check", write("new.json", CONFIG))
    assert (code, out) == (0, "0 findings\n")


def test_findings_exit_with_1_and_name_their_place(capsys, write):
    route = CONFIG["routes"][0] | {"maxStalenessMs": 0, "service": "claimz"}
    path = write("new.json", CONFIG | {"routes": [route]})
    code, out, _ = run(capsys, "config", "check", path)
    assert code == 1
    assert [line.rpartition("[")[2] for line in out.splitlines()] == [
        "unknown-service]",
        "missing-age-limit]",
        "unused-service]",
        "3 findings",
    ]


def test_difference_is_not_a_finding_and_shows_no_key(capsys, write):
    """Guards against keys in the output, also for programs."""
    tenant = CONFIG["tenants"][0] | {"apiKeys": ["key-n", "key-2"], "ratePerS": 60}
    new = write("new.json", CONFIG | {"version": 3, "tenants": [tenant]})
    current = write("current.json", CONFIG)
    code, out, _ = run(capsys, "config", "check", new, "--against", current)
    assert code == 0
    assert out.splitlines() == [
        "configuration: version 3, was 2",
        "organisation north-club: rate 60 a second, was 80 a second",
        "organisation north-club: keys: 1 added; it has 2",
        "3 differences from the configuration in force",
        "0 findings",
    ]
    _, out, _ = run(capsys, "config", "check", new, "--against", current, "--json")
    report = json.loads(out)
    assert report["findings"] == []
    assert len(report["changes"]) == 3
    assert "key-" not in out


def test_document_is_recognised_by_its_content(capsys, write):
    path = EXAMPLES / "document.json"
    assert run(capsys, "config", "check", str(path))[:2] == (0, "0 findings\n")
    document = json.loads(path.read_text(encoding="utf-8"))
    document["services"][0]["slots"] = 19
    new = write("new.json", document)
    code, out, _ = run(capsys, "config", "check", new, f"--against={path}", "--json")
    report = json.loads(out)
    assert code == 1
    assert [item["code"] for item in report["findings"]] == ["too-few-connections"]
    assert report["changes"] == [
        {"place": "service assist-core-1", "text": "slots 19, was 3"}
    ]


@pytest.mark.parametrize(
    ("content", "words"),
    [
        ("{", "is not JSON"),
        ("[]", "expected an object"),
        ({"routes": [], "services": "x", "version": 1}, "$.services"),
        ({"services": []}, "services"),
    ],
)
def test_unreadable_configuration_exits_with_2(capsys, write, content, words):
    code, out, err = run(capsys, "config", "check", write("new.json", content))
    assert (code, out) == (2, "")
    assert words in err


def test_missing_file_exits_with_2(capsys, write):
    new = write("new.json", CONFIG)
    code, _, err = run(capsys, "config", "check", new, "--against=no-such-file")
    assert code == 2
    assert "no-such-file: can't be read" in err
