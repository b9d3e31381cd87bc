"""Tests the errors of the ``serve`` sub-command about its settings file."""

import pytest

from heatherpier._cli import main
from heatherpier._serve import SETTINGS_VARIABLE


@pytest.mark.parametrize("value", [None, ""])
def test_serve_without_settings_names_the_variable(monkeypatch, capsys, value):
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    if value is not None:
        monkeypatch.setenv(SETTINGS_VARIABLE, value)
    with pytest.raises(SystemExit) as caught:
        main(["serve"])
    assert caught.value.code == 2
    assert SETTINGS_VARIABLE in capsys.readouterr().err


def test_serve_names_a_file_that_cannot_be_read(tmp_path, capsys):
    with pytest.raises(SystemExit) as caught:
        main(["serve", f"--settings={tmp_path / 'absent.yaml'}"])
    assert caught.value.code == 2
    assert "absent.yaml" in capsys.readouterr().err
