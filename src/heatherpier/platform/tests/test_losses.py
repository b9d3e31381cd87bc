import json

import pytest

from heatherpier.platform import MalformedRecordError
from heatherpier.platform._plays import read_play
from heatherpier.platform.losses import (
    EXIT_INVALID,
    UNEXPLAINED,
    Cause,
    losses_by_cause,
    main,
)

FULL = {"n": 100, "late": 0, "refused": 0, "failed": 0, "worth": 1.0}
REPORT = {
    "windows": [
        {**FULL, "name": "0"},
        {**FULL, "name": "2", "late": 20, "refused": 8, "failed": 2, "worth": 0.8},
        {**FULL, "name": "20", "refused": 4, "worth": 0.96},
    ],
    "events": [{"at_s": 1.5, "to_s": 3.0, "kind": "node_kill", "what": "front-a-1"}],
    "prices": [],
}
LOG = """\
built in 0.2 s
   2.1 front-a-1 {"message":"statement not served","reason":"i-3f: 5 waiters, 1 connections"}
   2.5 front-a-2 {"message":"statement not served","reason":"i-4a: 7 waiters, 2 connections"}
   2.6 front-a-2 {"message":"statement not served","reason":"no primary: front-a-1 replaces i-3f"}
   2.7 front-a-2 {"message":"attempt gave no final answer","reason":"i-3f: lagging"}
   2.8 front-a-2 {"message":"statement not served","rea  2.8 front-a-1 {"message":"x"}
"""


@pytest.fixture
def files(tmp_path):
    report, log = tmp_path / "report.json", tmp_path / "play.log"
    report.write_text(json.dumps(REPORT))
    log.write_text(LOG)
    return report, log


def test_losses_are_divided_by_ending_and_logged_reason(files):
    losses = losses_by_cause(read_play(*files))
    expected = {
        Cause(ending="refused", reason="INSTANCE: N waiters, N connections"): 16 / 3,
        Cause(ending="refused", reason="no primary: PROXY replaces INSTANCE"): 8 / 3,
        Cause(ending="refused", reason=UNEXPLAINED): 4.0,
        Cause(ending="failed", reason="node_kill"): 2.0,
        Cause(ending="late", reason="node_kill"): 10.0,
    }
    found = {cause: lost for cause, lost in losses.items() if lost > 1e-9}
    assert found == pytest.approx(expected)


def test_the_causes_add_up_to_the_loss_of_the_play(files):
    play = read_play(*files)
    lost = sum(item.requests * (1 - item.earned) for item in play.windows)
    assert sum(losses_by_cause(play).values()) == pytest.approx(lost)


def test_without_a_log_refusals_are_not_explained(files):
    losses = losses_by_cause(read_play(files[0], None))
    assert losses[Cause(ending="refused", reason=UNEXPLAINED)] == pytest.approx(12.0)


def test_the_table_names_causes_and_worst_windows(files, capsys):
    assert main([str(item) for item in files]) == 0
    text = capsys.readouterr().out
    assert "lost 24.0 of 300 requests' worth" in text
    assert "refused: no primary: PROXY replaces INSTANCE" in text
    assert "from 2 s: earned 0.800" in text
    assert "from 0 s" not in text


@pytest.mark.parametrize(
    "text", ["", "{}", '{"windows": [{"name": "x"}], "events": []}']
)
def test_a_malformed_report_is_refused_by_name(files, text):
    files[0].write_text(text)
    with pytest.raises(MalformedRecordError, match="report.json"):
        read_play(*files)


def test_wrong_arguments_are_told_in_one_line(files, capsys):
    assert main([]) == EXIT_INVALID
    assert main([str(files[0].with_name("missing.json"))]) == EXIT_INVALID
    assert "missing.json" in capsys.readouterr().err
