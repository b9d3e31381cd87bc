"""The ``config check`` sub-command: findings and differences of a configuration."""

import json
from dataclasses import dataclass
from pathlib import Path

from heatherpier._document_draft import draft_of_document
from heatherpier._engine_ports import UnreadableRowError
from heatherpier._platform_proxy import read_draft
from heatherpier.config_check import (
    Draft,
    find_changes,
    find_faults,
    report_json,
    report_lines,
)
from heatherpier.settings import InvalidSettingsError, load_document

EXIT_OK = 0
EXIT_FINDINGS = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckResult:
    """Result of the sub-command.

    Attributes:
        text: The report.
        code: Exit code.
    """

    text: str
    code: int


def check_configuration(
    path: Path, *, against: Path | None, as_json: bool
) -> CheckResult:
    """Checks a configuration.

    Args:
        path: The configuration.
        against: The configuration in force, or None if it is not known.
        as_json: Whether the report is for programs.

    Raises:
        InvalidSettingsError: A file can't be read or decoded.
    """
    draft = load_draft(path)
    current = None if against is None else load_draft(against)
    findings = find_faults(draft, current=current)
    changes = None if current is None else find_changes(current, draft)
    text = (
        report_json(findings, changes)
        if as_json
        else "\n".join(report_lines(findings, changes))
    )
    return CheckResult(text=text, code=EXIT_FINDINGS if findings else EXIT_OK)


def load_draft(path: Path) -> Draft:
    """Returns the draft of a document or of a platform's configuration.

    Only the latter has routes; a document has services with their groups.

    Raises:
        InvalidSettingsError: The file can't be read or decoded.
    """
    try:
        body = path.read_bytes()
        content = json.loads(body)
    except OSError as exc:
        raise InvalidSettingsError(
            str(path), [f"can't be read: {exc.strerror}"]
        ) from exc
    except ValueError as exc:
        raise InvalidSettingsError(str(path), [f"is not JSON: {exc}"]) from exc
    if not isinstance(content, dict) or "routes" not in content:
        return draft_of_document(load_document(path))
    try:
        return read_draft(body)
    except UnreadableRowError as exc:
        raise InvalidSettingsError(str(path), [str(exc)]) from exc
