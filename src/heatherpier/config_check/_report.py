"""The report of a check, for people and for programs."""

from collections.abc import Sequence
from dataclasses import asdict

import msgspec

from heatherpier.config_check._changes import Change
from heatherpier.config_check._findings import Finding


def report_lines(
    findings: Sequence[Finding], changes: Sequence[Change] | None
) -> list[str]:
    """Returns the report for people.

    Args:
        findings: Faults of the configuration.
        changes: Differences from the configuration in force, or None if it is not
            known.
    """
    lines = [f"{item.place}: {item.text} [{item.code}]" for item in findings]
    if changes is not None:
        lines += [f"{item.place}: {item.text}" for item in changes]
        lines.append(f"{len(changes)} differences from the configuration in force")
    lines.append(f"{len(findings)} findings")
    return lines


def report_json(findings: Sequence[Finding], changes: Sequence[Change] | None) -> str:
    """Returns the report as a JSON object; see `report_lines` for the arguments."""
    report = {
        "findings": [asdict(item) for item in findings],
        "changes": None if changes is None else [asdict(item) for item in changes],
    }
    return msgspec.json.format(msgspec.json.encode(report), indent=1).decode()
