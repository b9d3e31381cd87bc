"""The table of `bench balancing`."""

from heatherpier.bench import _balancing_report
from heatherpier.bench._balancing import Balanced


def test_table_has_a_line_for_each_run(monkeypatch, capsys):
    """Guards against a command that no longer runs."""
    monkeypatch.setattr(_balancing_report, "AGES_S", (1.0,))
    monkeypatch.setattr(_balancing_report, "SHAPES", ((3, 6, 0.03),))
    _balancing_report.print_balancing(seed=1)
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[0] for line in lines[2:4]] == ["26", "144"]
    assert lines[-1].startswith(" 3 instances: before")


def test_a_choice_costs_a_small_part_of_a_statement():
    """Guards against a choice that costs as much as forwarding a statement may."""
    assert _balancing_report.choice_s(Balanced, instances=3, seed=1) < 0.00025
